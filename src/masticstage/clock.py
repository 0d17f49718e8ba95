"""Clock interface, with a system clock and a manually advanced one."""

from datetime import UTC, datetime, timedelta
from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol, final

import attrs


class Clock(Protocol):
    """Source of the time of day and of elapsed time."""

    def now(self) -> datetime:
        """Returns the time of day in UTC."""

    def elapsed(self) -> timedelta:
        """Returns the monotonic time since an arbitrary start."""


@final
class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> datetime:
        """Returns the time of day in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Returns the time since boot.

        Unlike `CLOCK_MONOTONIC` it includes the time of system suspensions.
        """
        # Positional arguments take two thirds of the time.
        return timedelta(0, clock_gettime(CLOCK_BOOTTIME))


@final
@attrs.define
class ManualClock:
    """A clock that changes only by `advance`, for tests and simulations."""

    _now: datetime = datetime.fromtimestamp(0, UTC)
    _elapsed: timedelta = timedelta()

    def now(self) -> datetime:
        """Returns the set time of day."""
        return self._now

    def elapsed(self) -> timedelta:
        """Returns the sum of all advances."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Advances the time of day and the elapsed time."""
        self._now += step
        self._elapsed += step


@final
@attrs.define
class PauseDetector:
    """Detects that the process was paused between two regular ticks."""

    _clock: Clock
    _threshold: timedelta
    _last_tick: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts the first interval."""
        self._last_tick = self._clock.elapsed()

    def is_overdue(self) -> bool:
        """Returns whether the current interval exceeds the threshold."""
        return self._clock.elapsed() - self._last_tick > self._threshold

    def tick(self) -> bool:
        """Starts a new interval; True if the last one contained a pause.

        After a pause no interval starts until `reset` is called.
        """
        if self.is_overdue():
            return True
        self.reset()
        return False

    def reset(self) -> None:
        """Starts a new interval, once the views have been refreshed."""
        self._last_tick = self._clock.elapsed()


def to_milliseconds(instant: datetime) -> int:
    """Converts a time of day to milliseconds since 1970."""
    return round(instant.timestamp() * 1000)


def from_milliseconds(milliseconds: int) -> datetime:
    """Converts milliseconds since 1970 to a time of day in UTC."""
    return datetime.fromtimestamp(milliseconds / 1000, UTC)


def milliseconds(count: float) -> timedelta:
    """Returns a duration of `count` milliseconds."""
    return timedelta(milliseconds=count)
