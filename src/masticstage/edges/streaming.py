"""Forwards the events of an open stream as they arrive."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import final

import attrs
import trio

from masticstage.edges.dispatch import DispatchOutcome
from masticstage.edges.gateway import Gateway
from masticstage.edges.health_checks import is_healthy
from masticstage.edges.http_client import Connection
from masticstage.edges.http_server import Reply
from masticstage.exceptions import BrokenConnectionError, UpstreamFailedError
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.events import EventFramer
from masticstage.membership import Liveness

_STREAM_ERRORS = (BrokenConnectionError, UpstreamFailedError)


@final
@attrs.define
class StreamTimes:
    """When events of one answer were forwarded (monotonic clock)."""

    first: timedelta | None = None
    longest_pause: timedelta = timedelta()
    _last: timedelta = timedelta()

    def record(self, now: timedelta) -> None:
        """Records that events are forwarded now."""
        if self.first is None:
            self.first = now
        else:
            self.longest_pause = max(self.longest_pause, now - self._last)
        self._last = now


@attrs.frozen
class IdlePolicy:
    """How long a stream may be idle, and whether to keep waiting then.

    `idle_timeout` returns how long the stream may be idle from now.
    `may_continue` is called after that and returns whether to wait once more.
    `on_events` is called when events are forwarded.
    """

    idle_timeout: Callable[[], timedelta]
    may_continue: Callable[[], Awaitable[bool]]
    on_events: Callable[[], None]


async def forward_events(
    outcome: DispatchOutcome,
    framer: EventFramer,
    reply: Reply,
    idle_policy: IdlePolicy,
) -> str:
    """Forwards a stream; returns why it broke, empty if it is complete."""
    reason = '' if outcome.connection is None else None
    while reason is None and outcome.connection is not None:
        reason = await _forward_next(
            outcome.connection,
            framer,
            reply,
            idle_policy,
        )
    return reason or ''


async def _forward_next(
    connection: Connection,
    framer: EventFramer,
    reply: Reply,
    idle_policy: IdlePolicy,
) -> str | None:
    """Forwards the next events.

    Returns None while the stream is open, an empty string when it is complete,
    otherwise the reason why it broke.
    """
    try:
        chunk = await _read_within(connection, idle_policy.idle_timeout())
        events = framer.feed(chunk or b'')
    except _STREAM_ERRORS as error:
        return error.reason
    if events:
        idle_policy.on_events()
        await reply.send(events)
    if chunk is None:
        return None if await idle_policy.may_continue() else 'idle timeout'
    if chunk:
        return None
    return 'partial event' if framer.has_partial else ''


async def _read_within(
    connection: Connection,
    idle_timeout: timedelta,
) -> bytes | None:
    """Reads a chunk of the body; None after the timeout."""
    with trio.move_on_after(max(0, idle_timeout.total_seconds())):
        return await connection.read_chunk()
    return None


async def is_reachable(gateway: Gateway, choice: Choice) -> bool:
    """Returns whether the upstream of an idle stream, or its peer, is up."""
    via = choice.candidate.via
    if via is None:
        return await is_healthy(gateway, choice.candidate.known_upstream)
    member = gateway.views.members.find(via.identity.name)
    return member is not None and member.liveness is Liveness.LIVE
