"""How long a dispatch is waited for, and how long a stream may be silent."""

from datetime import timedelta
from typing import Final

from masticstage.forwarding.evidence import AttemptHistory
from masticstage.forwarding.routes import Route

#: Time after a route's limit in which an upstream's own last answer arrives;
#: the bound on a final answer is half a second.
_LAST_ANSWER: Final = timedelta(milliseconds=80)
#: A repeat elsewhere starts after this multiple of the expected time.
_EXPECTED_FACTOR: Final = 3.0
#: Least patience before a repeat: some round trips between regions.
_LEAST: Final = timedelta(milliseconds=350)
#: Part of the remaining time that the first of two runs may take.
_FIRST_SHARE: Final = 0.5
#: Silence within a stream after which another upstream goes on, as a
#: multiple of the longest pause that is on time.
_SILENCE_FACTOR: Final = 3.0


def first_answer_timeout(
    route: Route,
    history: AttemptHistory,
    expected_s: float,
    remaining: timedelta,
) -> timedelta:
    """Returns how long to wait for an answer or a first event."""
    whole = remaining + _LAST_ANSWER
    if not route.is_idempotent or history.runs_left <= 1:
        return whole
    patience = max(_LEAST, timedelta(seconds=_EXPECTED_FACTOR * expected_s))
    return min(whole, max(patience, _FIRST_SHARE * remaining))


def silence_timeout(
    route: Route,
    history: AttemptHistory,
    remaining: timedelta,
) -> timedelta:
    """Returns how long a started stream may be silent before a check."""
    if not history.may_dispatch() or not route.longest_pause:
        return remaining
    return min(remaining, _SILENCE_FACTOR * route.longest_pause)
