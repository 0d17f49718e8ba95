"""Which requests are refused at once because they would come too late.

Under overload every answer that is started late makes others late.  Streams
that are not the most urgent of their service are refused when they would miss
their target by far, and told when to come back.  Who comes back as told is
served as long as there is time, so that nobody is sent away twice.
"""

from collections import OrderedDict
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.routes import Route, RouteTable

#: Prediction, as a multiple of the target, from which a stream is refused. The
#: prediction is about 1.5 times too high under load (POLICY.md).
_REFUSED_FROM: Final = 1.6
#: Part of the remaining time that any request may be expected to take.
_ALL_FROM: Final = 0.95
#: Time for which a promise to a caller holds, and promises kept at most.
_PROMISE: Final = timedelta(seconds=4)
_PROMISES: Final = 4096
#: Bounds on the time after which a refused caller is to come back.
_SOONEST: Final = timedelta(milliseconds=250)
_LATEST: Final = timedelta(seconds=2)


@final
@attrs.define
class OverloadControl:
    """Decides about refusals, and remembers who was told to come back."""

    _clock: Clock
    _promises: OrderedDict[str, timedelta] = attrs.field(factory=OrderedDict)

    def longest_wait(
        self,
        table: RouteTable,
        route: Route,
        fingerprint: str,
        remaining: timedelta,
    ) -> timedelta:
        """Returns the longest predicted wait with which a request starts."""
        longest = _ALL_FROM * remaining
        is_stream = route.kind is CallKind.STREAMING
        is_urgent = route.priority <= table.most_urgent(route)
        if not is_stream or is_urgent or self._is_promised(fingerprint):
            return longest
        return min(longest, _REFUSED_FROM * (route.target or longest))

    def reserve_retry(
        self,
        fingerprint: str,
        route: Route,
        predicted: timedelta,
    ) -> timedelta:
        """Returns when a refused caller is to come back, and remembers it."""
        now = self._clock.elapsed()
        self._promises[fingerprint] = now
        self._promises.move_to_end(fingerprint)
        while len(self._promises) > _PROMISES:
            self._promises.popitem(last=False)
        return min(max(predicted - route.target, _SOONEST), _LATEST)

    def _is_promised(self, fingerprint: str) -> bool:
        told_at = self._promises.get(fingerprint)
        if told_at is None:
            return False
        return self._clock.elapsed() - told_at < _PROMISE
