"""This instance's share of the retry budget of all instances.

The bound applies to the retries of all instances together, in any window, and
none of them sees the retries of the others. Bounding the retries of the own
last window by the requests of the own last window is not enough: while traffic
moves between instances, the largest windows of each add up to more than any
window of all. So each instance bounds its retries since any moment of the last
window by terms that may be added up over all instances: an equal share of the
slack, and requests before and after that same moment.
"""

from collections import deque
from datetime import timedelta
from itertools import accumulate, islice, repeat
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Fraction of the bound that is used. The rest allows for requests that callers
#: sent in another window than that in which they arrived.
_USED_SHARE: Final = 0.95
#: Fraction of the ratio that refers to the window before a moment. It can be
#: used at once. The rest refers to the requests since that moment, which also
#: gives retries to an instance that has just started or whose traffic grows.
_EARLIER_SHARE: Final = 0.5
#: Fraction of the ratio for requests of the slot in which that moment lies.
_SAME_SLOT_SHARE: Final = min(_EARLIER_SHARE, 1 - _EARLIER_SHARE)
#: Slots of a window in which requests and retries are counted.
_SLOTS: Final = 20
#: Slots over which retries are bounded: a window may lie in one slot more, and
#: a retry may reach its upstream one slot after it was sent.
_BOUNDED_SLOTS: Final = _SLOTS + 2
_KEPT_SLOTS: Final = _BOUNDED_SLOTS + _SLOTS


@attrs.frozen
class BudgetBounds:
    """Bound in any window: ratio x requests + slack retries."""

    ratio: float
    window: timedelta
    slack: float


def _no_counts() -> deque[int]:
    return deque(repeat(0, _KEPT_SLOTS), _KEPT_SLOTS)


@attrs.define
class _Counts:
    """Requests and retries of one service by slot, newest first."""

    slot: int
    requests: deque[int] = attrs.field(factory=_no_counts)
    retries: deque[int] = attrs.field(factory=_no_counts)

    def advance_to(self, slot: int) -> None:
        """Makes a slot the newest one."""
        passed = min(slot - self.slot, _KEPT_SLOTS)
        self.requests.extendleft(repeat(0, passed))
        self.retries.extendleft(repeat(0, passed))
        self.slot = slot


@final
@attrs.define
class RetryBudget:
    """Limits the retries that this instance sends, by service."""

    _clock: Clock
    _bounds: BudgetBounds
    _min_instances: int
    _counts: dict[str, _Counts] = attrs.field(factory=dict)
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
        self._current_counts(service).requests[0] += 1

    def record_retry(self, service: str) -> None:
        """Records a retry without checking the budget."""
        self._current_counts(service).retries[0] += 1

    def used(self, service: str) -> int:
        """Returns how many retries were sent in the last window."""
        return sum(islice(self._current_counts(service).retries, _SLOTS))

    def remaining(self, service: str) -> float:
        """Returns how many retries may be sent now."""
        counts = self._current_counts(service)
        # Each sum is over the newest n slots; the oldest of the bounded slots
        # may lie partly before the window that begins in it.
        requests = [0, *accumulate(counts.requests)]
        retries = [0, *accumulate(counts.retries)]
        ratio = self._bounds.ratio
        since_rate = ratio * (1 - _EARLIER_SHARE)
        earlier_rate = ratio * _EARLIER_SHARE
        same_slot_rate = ratio * _SAME_SLOT_SHARE
        least_left = min(
            _USED_SHARE
            * (
                since_rate * requests[length - 1]
                + same_slot_rate * (requests[length] - requests[length - 1])
                + earlier_rate
                * (requests[length + _SLOTS - 1] - requests[length])
            )
            - retries[length]
            for length in range(1, _BOUNDED_SLOTS + 1)
        )
        return least_left + _USED_SHARE * self._slack_share()

    def try_retry(self, service: str) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        if self.remaining(service) < 1:
            return False
        self.record_retry(service)
        return True

    def _slack_share(self) -> float:
        """Returns this instance's share of the slack, zero in the first window.

        After a restart, the previous process may already have used the share
        in the current window.
        """
        if self._clock.elapsed() - self._started_at < self._bounds.window:
            return 0
        return self._bounds.slack / max(self._instances, self._min_instances)

    def _current_counts(self, service: str) -> _Counts:
        """Returns the counts of a service, with the current slot as newest."""
        slot = int(self._clock.elapsed() * _SLOTS / self._bounds.window)
        counts = self._counts.setdefault(service, _Counts(slot))
        counts.advance_to(slot)
        return counts
