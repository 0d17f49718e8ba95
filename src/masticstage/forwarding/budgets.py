"""This instance's share of the repeat budget of all instances.

The bound applies to the repeats of all instances together, and none of them
sees the repeats of the others. Each instance keeps within `ratio` of the
requests that it received, plus an equal share of the slack, divided by the
largest number of instances that it has seen.
"""

from collections import deque
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Fraction of the bound that is used. The rest allows for deviations of sums
#: over moving windows.
_USED_SHARE: Final = 0.85


@attrs.frozen
class BudgetBounds:
    """Bound in any window: ratio x requests + slack repeats."""

    ratio: float
    window: timedelta
    slack: float


@attrs.define
class _Window:
    """Times of the requests and repeats of one service, in seconds."""

    requests: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)

    def discard_before(self, moment_s: float) -> None:
        """Removes the times up to and including a moment."""
        for times in (self.requests, self.repeats):
            while times and times[0] <= moment_s:
                times.popleft()


@final
@attrs.define
class RepeatBudget:
    """Limits the repeats that this instance sends, by service."""

    _clock: Clock
    _bounds: BudgetBounds
    _min_instances: int
    _windows: dict[str, _Window] = attrs.field(factory=dict)
    _instances: int = 1
    _started_at: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Stores the start time of this process."""
        self._started_at = self._clock.elapsed()

    def record_instances(self, count: int) -> None:
        """Records the number of instances; the largest one counts."""
        self._instances = max(self._instances, count)

    def record_request(self, service: str) -> None:
        """Records a request received from a caller."""
        self._window(service).requests.append(self._now_s())

    def record_repeat(self, service: str) -> None:
        """Records a repeat without checking the budget."""
        self._window(service).repeats.append(self._now_s())

    def left(self, service: str) -> float:
        """Returns how many repeats may still be sent in this window."""
        window = self._window(service)
        instances = max(self._instances, self._min_instances)
        ratio_share = self._bounds.ratio * len(window.requests)
        allowed = _USED_SHARE * (ratio_share + self._slack() / instances)
        return allowed - len(window.repeats)

    def try_take(self, service: str) -> bool:
        """Takes one repeat from the budget; returns False if none is left."""
        if self.left(service) < 1:
            return False
        self.record_repeat(service)
        return True

    def _slack(self) -> float:
        """Returns the slack, which grows from zero over the first window.

        Before a restart, the instance may have used its share in this window.
        """
        age = self._clock.elapsed() - self._started_at
        return self._bounds.slack * min(1, age / self._bounds.window)

    def _window(self, service: str) -> _Window:
        window = self._windows.setdefault(service, _Window())
        length_s = self._bounds.window.total_seconds()
        window.discard_before(self._now_s() - length_s)
        return window

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()
