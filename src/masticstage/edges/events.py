"""Passes the events of an open stream on, as they come."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import final

import attrs
import trio

from masticstage.edges.checks import is_sound
from masticstage.edges.connections import Connection
from masticstage.edges.dispatch import Dispatched
from masticstage.edges.gateway import Gateway
from masticstage.edges.listeners import Reply
from masticstage.exceptions import BrokenConnectionError, UpstreamFailedError
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.events import EventFramer
from masticstage.membership import Liveness

_BROKEN = (BrokenConnectionError, UpstreamFailedError)


@final
@attrs.define
class StreamTimes:
    """When events of one answer were passed on (steady clock)."""

    first: timedelta | None = None
    longest_pause: timedelta = timedelta()
    _last: timedelta = timedelta()

    def note(self, now: timedelta) -> None:
        """Notes that events are passed on now."""
        if self.first is None:
            self.first = now
        else:
            self.longest_pause = max(self.longest_pause, now - self._last)
        self._last = now


@attrs.frozen
class Patience:
    """How long a stream may be silent, and whether that is its end.

    `bound` gives the longest silence from now; `goes_on` tells after such a
    silence whether there is still something to wait for; `note` is called when
    events are passed on.
    """

    bound: Callable[[], timedelta]
    goes_on: Callable[[], Awaitable[bool]]
    note: Callable[[], None]


async def pass_events(
    ended: Dispatched,
    framer: EventFramer,
    reply: Reply,
    patience: Patience,
) -> str:
    """Returns why the events ended early, empty when they are complete."""
    reason = '' if ended.connection is None else None
    while reason is None and ended.connection is not None:
        reason = await _pass_some(ended.connection, framer, reply, patience)
    return reason or ''


async def _pass_some(
    connection: Connection,
    framer: EventFramer,
    reply: Reply,
    patience: Patience,
) -> str | None:
    """Passes what comes next; returns why the stream has ended, if it has."""
    try:
        chunk = await _read_in(connection, patience.bound())
        events = framer.feed(chunk or b'')
    except _BROKEN as error:
        return error.reason
    if events:
        patience.note()
        await reply.send(events)
    if chunk is None:
        return None if await patience.goes_on() else 'silence'
    if chunk:
        return None
    return 'partial event' if framer.has_partial else ''


async def _read_in(connection: Connection, bound: timedelta) -> bytes | None:
    """Reads a part of the body; None when it did not come in time."""
    with trio.move_on_after(max(0, bound.total_seconds())):
        return await connection.read_chunk()
    return None


async def is_reachable(gateway: Gateway, choice: Choice) -> bool:
    """Tells whether a silent stream's upstream, or its peer, still lives."""
    via = choice.candidate.via
    if via is None:
        return await is_sound(gateway, choice.candidate.known)
    member = gateway.beliefs.members.find(via.identity.name)
    return member is not None and member.liveness is Liveness.LIVE
