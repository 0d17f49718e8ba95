"""Times of a planned stop, as parts of the grace period after the signal."""

from datetime import timedelta
from typing import Final

#: Longest time in which a stopping instance accepts requests: callers need it
#: to find another one.
_MAX_ACCEPT_TIME: Final = timedelta(seconds=3)
_ACCEPT_SHARE: Final = 0.375
#: Requests that are open then cannot end in time and are answered.
_ANSWER_SHARE: Final = 0.85
#: The process needs the rest to exit.
_STOP_SHARE: Final = 0.9


def accept_time(grace: timedelta) -> timedelta:
    """Returns how long after the signal requests are accepted."""
    return min(_MAX_ACCEPT_TIME, _ACCEPT_SHARE * grace)


def answer_time(grace: timedelta) -> timedelta:
    """Returns how long after the signal a request may be open."""
    return _ANSWER_SHARE * grace


def stop_time(grace: timedelta) -> timedelta:
    """Returns how long after the signal the process stops at the latest."""
    return _STOP_SHARE * grace
