"""Decides which requests to refuse at once under overload.

An answer that starts late delays the answers after it. Streams that are not the
most urgent of their service are therefore refused when they would miss their
target by far, with a Retry-After time. A retry of a refused request is accepted
as long as there is time, so that no request is refused twice.

A team that asks for more than its share is refused at shorter waits than the
others, also in its most urgent streams, so that its excess delays only itself.
"""

from collections import OrderedDict
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.routes import Route, RouteTable

#: Multiple of the target from which a predicted wait leads to refusal. Under
#: load the prediction is about 1.5 times too high (POLICY.md).
_REFUSAL_FACTOR: Final = 1.6
#: Bounds on the change of that multiple for teams above and below their share.
#: At the lower bound, requests of other teams that queue behind a refused one
#: are still on time.
_LEAST_SHARE_FACTOR: Final = 0.5
_MOST_SHARE_FACTOR: Final = 1.5
#: Multiple of its share from which a team's most urgent streams are refused
#: like the others.
_MAX_URGENT_EXCESS: Final = 1.25
#: Largest fraction of the remaining time that a predicted wait may take.
_REMAINING_SHARE: Final = 0.95
#: Time for which a retry is reserved, and the largest number of reservations.
_RESERVATION_TIME: Final = timedelta(seconds=4)
_MAX_RESERVATIONS: Final = 4096
#: Bounds on the time after which a refused caller should retry.
_MIN_RETRY_AFTER: Final = timedelta(milliseconds=250)
_MAX_RETRY_AFTER: Final = timedelta(seconds=2)


@final
@attrs.define
class OverloadControl:
    """Limits waits, and reserves retries for requests that it refused."""

    _clock: Clock
    _reservations: OrderedDict[str, timedelta] = attrs.field(
        factory=OrderedDict
    )

    def longest_wait(
        self,
        table: RouteTable,
        route: Route,
        fingerprint: str,
        remaining: timedelta,
        excess: float = 1,
    ) -> timedelta:
        """Returns the longest predicted wait that is accepted.

        `excess` is the demand of the request's team as a multiple of its share.
        """
        longest = _REMAINING_SHARE * remaining
        is_stream = route.kind is CallKind.STREAMING
        is_exempt = (
            route.own_priority <= table.most_urgent_priority(route)
            and excess <= _MAX_URGENT_EXCESS
        )
        if not is_stream or is_exempt or self._has_reservation(fingerprint):
            return longest
        factor = _REFUSAL_FACTOR * _share_factor(excess)
        return min(longest, factor * (route.target or longest))

    def reserve_retry(
        self,
        fingerprint: str,
        route: Route,
        predicted: timedelta,
    ) -> timedelta:
        """Reserves a retry for a request; returns the time until the retry."""
        now = self._clock.elapsed()
        self._reservations[fingerprint] = now
        self._reservations.move_to_end(fingerprint)
        while len(self._reservations) > _MAX_RESERVATIONS:
            self._reservations.popitem(last=False)
        return min(
            max(predicted - route.target, _MIN_RETRY_AFTER),
            _MAX_RETRY_AFTER,
        )

    def _has_reservation(self, fingerprint: str) -> bool:
        reserved_at = self._reservations.get(fingerprint)
        if reserved_at is None:
            return False
        return self._clock.elapsed() - reserved_at < _RESERVATION_TIME


def _share_factor(excess: float) -> float:
    """Returns the change of the refusal threshold for a team's excess."""
    if excess <= 0:
        return _MOST_SHARE_FACTOR
    return min(max(excess**-2, _LEAST_SHARE_FACTOR), _MOST_SHARE_FACTOR)
