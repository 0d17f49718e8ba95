"""How many requests an upstream gets at once after a start or a recovery.

Nobody knows yet how fast it answers, and all instances see it idle at the same
time. The number of requests in flight there is therefore limited. The limit
grows by each answer in time, whichever instance got it, until the first late
answer or failure; then it is lowered, and grows by one for each time that as
many requests as it allows have been answered. It ends once it is well above the
slots of the upstream, or after a while.
"""

from datetime import timedelta
from math import inf
from typing import Final, final

import attrs

from masticstage.forwarding.health import Outcomes, decay_outcomes

#: The first limit is a share of the slots, and at least a number: a server four
#: times slower than its slots promise is not overloaded by it.
_FIRST_SHARE: Final = 0.25
#: The same if the speed is known since before a recovery.
_FIRST_SHARE_IF_KNOWN: Final = 0.5
_FEWEST_AT_FIRST: Final = 2.0
#: Factors of the limit after a late answer, and after a failure or a refusal.
_LATE_FACTOR: Final = 0.7
_FAILURE_FACTOR: Final = 0.5
#: Time after a reduction in which there is no other (s): the outcomes of
#: requests that were sent before it arrive until then.
_REACTION_S: Final = 0.3
#: Limit at which the upstream has shown its steady rate, as a multiple of the
#: slots. Up to that the shares keep instances from sending at the same moment.
_STEADY_FACTOR: Final = 2
#: Time after which the pace ends whatever was observed (s). The latency ratio
#: and the failure rate have been learnt by then.
_LONGEST_S: Final = 10.0
#: Age of the outcomes that others report (s): they decay where they are counted
#: and arrive about once a second.
_REPORT_DELAY_S: Final = 1.0
#: An answer is in time up to this multiple of the expected time, or up to this
#: share of the target if that is longer, but never beyond the target.
_EXPECTED_FACTOR: Final = 2.0
_TARGET_SHARE: Final = 0.5
_DEFAULT_TARGET_S: Final = 1.0


def is_in_time(took_s: float, expected_s: float, target: timedelta) -> bool:
    """Returns whether an answer shows that its upstream is not overloaded."""
    target_s = target.total_seconds() or _DEFAULT_TARGET_S
    longest_s = max(_EXPECTED_FACTOR * expected_s, _TARGET_SHARE * target_s)
    return took_s <= min(target_s, longest_s)


@final
@attrs.define
class Pace:
    """The limit on requests in flight at one upstream.

    `others_at_start` are the outcomes of other instances before the start,
    which say nothing about the upstream as it is now. One that has recovered
    `is_known`. Times are in seconds.
    """

    slots: int
    started_at_s: float
    others_at_start: Outcomes = Outcomes()
    is_known: bool = False
    limit: float = attrs.field(init=False)
    _is_reduced: bool = False
    _reduced_at_s: float = attrs.field(init=False)
    _others_counted: Outcomes = Outcomes()

    def __attrs_post_init__(self) -> None:
        """Starts with the first limit."""
        share = _FIRST_SHARE_IF_KNOWN if self.is_known else _FIRST_SHARE
        self.limit = max(_FEWEST_AT_FIRST, share * self.slots)
        self._reduced_at_s = -inf

    def record_answer(self, now_s: float, *, is_late: bool) -> None:
        """Adapts the limit to an answer that this instance got."""
        if is_late:
            self._reduce(now_s, _LATE_FACTOR)
        else:
            self._raise(1)

    def record_failure(self, now_s: float) -> None:
        """Lowers the limit after a failure or a refusal."""
        self._reduce(now_s, _FAILURE_FACTOR)

    def record_others(self, now_s: float, others: Outcomes) -> None:
        """Adapts the limit to the outcomes that other instances report."""
        age_s = max(0, now_s - self.started_at_s - _REPORT_DELAY_S)
        before = decay_outcomes(self.others_at_start, age_s)
        failed = max(0, others.failed - before.failed)
        answered = max(0, others.total - before.total - failed)
        counted = self._others_counted
        if failed >= counted.failed + 1 and failed > answered:
            self._reduce(now_s, _FAILURE_FACTOR)
            counted = Outcomes(failed, counted.total)
        if answered > counted.total:
            self._raise(answered - counted.total)
            counted = Outcomes(counted.failed, answered)
        self._others_counted = counted

    def has_ended(self, now_s: float) -> bool:
        """Returns whether the upstream has shown its steady rate."""
        is_steady = self.limit >= _STEADY_FACTOR * self.slots
        return is_steady or now_s - self.started_at_s > _LONGEST_S

    def _raise(self, answers: float) -> None:
        self.limit += answers / self.limit if self._is_reduced else answers

    def _reduce(self, now_s: float, factor: float) -> None:
        if now_s - self._reduced_at_s >= _REACTION_S:
            self._is_reduced = True
            self._reduced_at_s = now_s
            self.limit = max(1, factor * self.limit)


def share_of_limit(limit: float, rank: int, instances: int) -> int:
    """Returns how many requests one of several instances may have in flight.

    The shares of all ranks from 0 add up to the limit, rounded down. Counts of
    requests in flight arrive too late to prevent that all instances send at the
    same time.
    """
    whole, left = divmod(int(limit), instances)
    return whole + (rank < left)
