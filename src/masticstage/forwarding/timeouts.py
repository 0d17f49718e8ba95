"""Timeouts of dispatches and of pauses within streams."""

from datetime import timedelta
from typing import Final

from masticstage.forwarding.evidence import AttemptHistory
from masticstage.forwarding.routes import Route

#: Extra time after a route's limit in which an upstream's own last answer may
#: arrive. The caller has to get a final answer within half a second of it.
_LAST_ANSWER_GRACE: Final = timedelta(milliseconds=80)
#: Multiple of the expected time after which a request is retried elsewhere.
_EXPECTED_FACTOR: Final = 3.0
#: Shortest time before a retry: a few round trips between regions.
_MIN_TIMEOUT: Final = timedelta(milliseconds=350)
#: Fraction of the remaining time that the first of two attempts may take.
_FIRST_ATTEMPT_SHARE: Final = 0.5
#: Pause after which a stream is resumed at another upstream, as a multiple of
#: the longest pause of the route.
_IDLE_FACTOR: Final = 3.0


def first_answer_timeout(
    route: Route,
    history: AttemptHistory,
    expected_s: float,
    remaining: timedelta,
) -> timedelta:
    """Returns how long to wait for an answer or a first event."""
    longest = remaining + _LAST_ANSWER_GRACE
    if not route.is_idempotent or history.runs_left <= 1:
        return longest
    timeout = max(
        _MIN_TIMEOUT,
        timedelta(seconds=_EXPECTED_FACTOR * expected_s),
    )
    return min(longest, max(timeout, _FIRST_ATTEMPT_SHARE * remaining))


def stream_idle_timeout(
    route: Route,
    history: AttemptHistory,
    remaining: timedelta,
) -> timedelta:
    """Returns how long a started stream may be idle before a check."""
    if not history.may_dispatch() or not route.longest_pause:
        return remaining
    return min(remaining, _IDLE_FACTOR * route.longest_pause)
