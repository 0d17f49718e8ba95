"""A caller's request with the state of its attempts."""

from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.edges.dispatch_outcome import DispatchOutcome, RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_server import Reply
from masticstage.edges.streaming import StreamTimes
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import AttemptHistory

#: Sent as Retry-After when no upstream can take the request.
_NO_UPSTREAM_RETRY_AFTER: Final = timedelta(milliseconds=300)


@final
@attrs.define(eq=False)
class RequestContext:
    """A caller's request with the state of its attempts.

    `deadline` is on the monotonic clock.  `media_type` is that of the stream
    that has begun.  `reason` and `retry_after` describe the refusal that is
    sent if no further upstream can be tried and none may have run the request;
    `unknown_reason` is sent if one may have.
    """

    gateway: Gateway
    reply: Reply
    routed: RoutedRequest
    deadline: timedelta
    history: AttemptHistory
    framer: EventFramer = attrs.field(factory=EventFramer)
    times: StreamTimes = attrs.field(factory=StreamTimes)
    last_failure: DispatchOutcome | None = None
    media_type: bytes = b''
    reason: str = 'no upstream'
    unknown_reason: str = 'the outcome is unknown'
    retry_after: timedelta = _NO_UPSTREAM_RETRY_AFTER

    @property
    def remaining(self) -> timedelta:
        """Time left until the earliest limit.

        Limits are those of the caller, of the route and of a planned stop.
        """
        return self._remaining_until(self.deadline)

    @property
    def stream_remaining(self) -> timedelta:
        """Time left for a stream that has begun.

        The time for which the caller has not taken what there was does not
        count.
        """
        waited = timedelta(seconds=self.reply.waited_s)
        return self._remaining_until(self.deadline + waited)

    def _remaining_until(self, deadline: timedelta) -> timedelta:
        ends_at = self.gateway.requests_end_at()
        earliest = min(deadline, ends_at) if ends_at else deadline
        return earliest - self.gateway.clock.elapsed()
