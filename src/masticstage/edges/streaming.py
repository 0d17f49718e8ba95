"""Forwards the events of an open stream as they arrive."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from math import inf
from typing import final

import attrs
import trio

from masticstage.edges.crash_evidence import record_answer
from masticstage.edges.dispatch_outcome import DispatchOutcome, RoutedRequest
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


async def forward_stream(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    outcome: DispatchOutcome,
    framer: EventFramer,
    reply: Reply,
    idle_policy: IdlePolicy,
) -> str:
    """Forwards the rest of a stream and records how it ended.

    Returns why it broke, empty if it is complete.
    """
    started_s = gateway.elapsed_s()
    reason = await _forward_events(outcome, framer, reply, idle_policy)
    if reason or outcome.connection is None:
        return reason
    record_answer(gateway, routed.causes)
    if choice.candidate.via is None:
        took_s = gateway.elapsed_s() - started_s
        gateway.views.chooser.record_stream(choice, took_s)
    return reason


async def _forward_events(
    outcome: DispatchOutcome,
    framer: EventFramer,
    reply: Reply,
    idle_policy: IdlePolicy,
) -> str:
    """Forwards a stream; returns why it broke, empty if it is complete."""
    if outcome.connection is None:
        return ''
    while True:
        reason = await _forward_until_idle(
            outcome.connection,
            framer,
            reply,
            idle_policy,
        )
        if reason is not None:
            return reason
        if not await idle_policy.may_continue():
            return 'idle timeout'


async def _forward_until_idle(
    connection: Connection,
    framer: EventFramer,
    reply: Reply,
    idle_policy: IdlePolicy,
) -> str | None:
    """Forwards events until the stream ends or is idle.

    Only whole events count as activity.  Returns None if the stream is idle, an
    empty string when it is complete, otherwise the reason why it broke.
    """
    events_before = -1
    idle_at_s = inf
    while True:
        if framer.event_count != events_before:
            events_before = framer.event_count
            idle_at_s = _time_after(idle_policy.idle_timeout())
        # The timeout covers reads alone: a write must not end halfway.
        with trio.CancelScope(deadline=idle_at_s) as scope:
            try:
                chunk = await connection.read_chunk()
            except _STREAM_ERRORS as error:
                return error.reason
        if scope.cancelled_caught:
            return None
        try:
            is_taken = _send_at_once(framer.feed(chunk), reply, idle_policy)
        except _STREAM_ERRORS as error:
            return error.reason
        reply.hold_partial(framer.partial_bytes)
        if not is_taken:
            await reply.flush()
            events_before = -1
        if not chunk:
            return _ending_of(framer)


def _ending_of(framer: EventFramer) -> str:
    return 'partial event' if framer.has_partial else ''


def _send_at_once(events: bytes, reply: Reply, idle_policy: IdlePolicy) -> bool:
    """Sends events; returns False if a part of them is left to flush."""
    if not events:
        return True
    idle_policy.on_events()
    return reply.send_now(events)


def _time_after(timeout: timedelta) -> float:
    return trio.current_time() + max(0, timeout.total_seconds())


async def is_reachable(gateway: Gateway, choice: Choice) -> bool:
    """Returns whether the upstream of an idle stream, or its peer, is up."""
    via = choice.candidate.via
    if via is None:
        return await is_healthy(gateway, choice.candidate.known_upstream)
    member = gateway.views.members.find(via.identity.name)
    return member is not None and member.liveness is Liveness.LIVE
