"""This instance's share of the retry budget of all instances.

The bound applies to the retries of all instances together, and none of them
sees the retries of the others. Each instance keeps within `ratio` of the
requests that it received, plus an equal share of the slack: the slack divided
by the largest number of instances recorded so far.
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
    """Bound in any window: ratio x requests + slack retries."""

    ratio: float
    window: timedelta
    slack: float


@attrs.define
class _Window:
    """Times of the requests and retries of one service, in seconds."""

    requests: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)

    def discard_before(self, moment_s: float) -> None:
        """Removes the times up to and including a moment."""
        for times in (self.requests, self.retries):
            while times and times[0] <= moment_s:
                times.popleft()


@final
@attrs.define
class RetryBudget:
    """Limits the retries that this instance sends, by service."""

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
        """Records the number of instances; the largest so far is used."""
        self._instances = max(self._instances, count)

    def record_request(self, service: str) -> None:
        """Records a request received from a caller."""
        self._current_window(service).requests.append(self._now_s())

    def record_retry(self, service: str) -> None:
        """Records a retry without checking the budget."""
        self._current_window(service).retries.append(self._now_s())

    def used(self, service: str) -> int:
        """Returns how many retries were sent in this window."""
        return len(self._current_window(service).retries)

    def remaining(self, service: str) -> float:
        """Returns how many retries may still be sent in this window."""
        window = self._current_window(service)
        instances = max(self._instances, self._min_instances)
        ratio_share = self._bounds.ratio * len(window.requests)
        allowed = _USED_SHARE * (ratio_share + self._slack() / instances)
        return allowed - len(window.retries)

    def try_retry(self, service: str) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        if self.remaining(service) < 1:
            return False
        self.record_retry(service)
        return True

    def _slack(self) -> float:
        """Returns the slack, which grows from zero over the first window.

        After a restart, the previous process may already have used this
        instance's share in the current window.
        """
        age = self._clock.elapsed() - self._started_at
        return self._bounds.slack * min(1, age / self._bounds.window)

    def _current_window(self, service: str) -> _Window:
        """Returns the times of a service, without those before the window."""
        window = self._windows.setdefault(service, _Window())
        length_s = self._bounds.window.total_seconds()
        window.discard_before(self._now_s() - length_s)
        return window

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()
