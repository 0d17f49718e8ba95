"""This instance's part of the budget of repeats that all instances share.

The bound is on all instances together, and none sees the others' repeats.
Each stays inside `ratio` of the requests that it took itself, and an even
part of the slack, for the largest number of instances that it has seen.
"""

from collections import deque
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Part of the bound that is used; the rest covers sums over moving windows.
_SAFETY: Final = 0.85


@attrs.frozen
class BudgetBounds:
    """The shared bound: in any window, ratio x requests + slack repeats."""

    ratio: float
    window: timedelta
    slack: float


@attrs.define
class _Window:
    """Times of requests and repeats of one service, in seconds."""

    requests: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)

    def discard_before(self, moment_s: float) -> None:
        """Forgets what left the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] <= moment_s:
                times.popleft()


@final
@attrs.define
class RepeatBudget:
    """Repeats that this instance may still send, by service."""

    _clock: Clock
    _bounds: BudgetBounds
    _least_instances: int
    _windows: dict[str, _Window] = attrs.field(factory=dict)
    _instances: int = 1
    _started: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Notes the start of this life."""
        self._started = self._clock.elapsed()

    def record_instances(self, count: int) -> None:
        """Notes how many instances there are; the largest count holds."""
        self._instances = max(self._instances, count)

    def record_request(self, service: str) -> None:
        """Notes a request that a caller sent here."""
        self._window(service).requests.append(self._now_s())

    def record_repeat(self, service: str) -> None:
        """Notes a repeat that was sent for another reason."""
        self._window(service).repeats.append(self._now_s())

    def left(self, service: str) -> float:
        """Returns how many repeats may still be sent in this window."""
        window = self._window(service)
        instances = max(self._instances, self._least_instances)
        earned = self._bounds.ratio * len(window.requests)
        allowed = _SAFETY * (earned + self._slack() / instances)
        return allowed - len(window.repeats)

    def try_take(self, service: str) -> bool:
        """Takes one repeat out of the budget, if there is one."""
        if self.left(service) < 1:
            return False
        self.record_repeat(service)
        return True

    def _slack(self) -> float:
        """Returns the slack; a new instance starts without any.

        Its last life may have used its part within the same window.
        """
        age = self._clock.elapsed() - self._started
        return self._bounds.slack * min(1, age / self._bounds.window)

    def _window(self, service: str) -> _Window:
        window = self._windows.setdefault(service, _Window())
        length_s = self._bounds.window.total_seconds()
        window.discard_before(self._now_s() - length_s)
        return window

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()
