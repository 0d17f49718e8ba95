"""Sends a request to one upstream, directly or through a peer, once."""

from collections.abc import Iterator
from contextlib import (
    AbstractContextManager,
    contextmanager,
    nullcontext,
)
from datetime import timedelta
from typing import Final, final

import attrs
import trio

from masticstage.edges.connections import (
    AnswerHead,
    Connection,
    Outgoing,
    Pool,
)
from masticstage.edges.gateway import Gateway
from masticstage.edges.messages import encode_relay
from masticstage.exceptions import (
    BrokenConnectionError,
    ConnectError,
    UpstreamFailedError,
)
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import Evidence, classify_answer
from masticstage.forwarding.requests import CallerRequest, CallKind, Headers
from masticstage.forwarding.routes import Route
from masticstage.forwarding.wire import AnswerFacts, DispatchOptions

RELAY_TARGET: Final = b'/relay'
EVIDENCE: Final = b'masticstage-evidence'
UPSTREAM: Final = b'masticstage-upstream'
_OWN_HEADERS: Final = frozenset((EVIDENCE, UPSTREAM))
_FRAMING: Final = frozenset(
    (b'connection', b'keep-alive', b'transfer-encoding', b'content-length'),
)
#: Age up to which a kept connection is used for what may run only once: one
#: that answered just now is neither silent nor about to be closed as idle.
_FRESH_S: Final = 0.25
_KEPT_S: Final = 60


@attrs.frozen
class Task:
    """A request with its route and what has been decided about it."""

    request: CallerRequest
    route: Route
    service: str
    fingerprint: str
    tried: frozenset[str] = frozenset()

    @property
    def is_stream(self) -> bool:
        """Whether events are passed on as they come."""
        return self.route.kind is CallKind.STREAMING


@final
@attrs.define(eq=False)
class Dispatched:
    """How a dispatch ended, or how far an open stream has come.

    `body` is the whole body, or the first whole events of a stream whose
    connection is still open.
    """

    evidence: Evidence
    upstream: str
    reason: str = ''
    head: AnswerHead | None = None
    body: bytes = b''
    connection: Connection | None = None
    pool: Pool | None = None

    def close(self) -> None:
        """Ends an open stream at once, and the upstream's work on it."""
        if self.connection is not None:
            self.connection.close()

    def release(self) -> None:
        """Keeps the connection of a stream that was read to its end."""
        if self.pool is not None and self.connection is not None:
            self.pool.give_back(self.connection)
            self.connection = None


async def dispatch(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    order: DispatchOptions,
    framer: EventFramer,
    bound: timedelta,
) -> Dispatched:
    """Sends a request to the chosen place; returns what came of it."""
    gateway.log.record(
        'dispatched',
        task.request.request_id,
        upstream=choice.upstream,
        via=choice.candidate.via.identity.name
        if choice.candidate.via
        else None,
        expected_ms=round(choice.expected_s * 1000),
        remaining_ms=order.remaining // timedelta(milliseconds=1),
        in_flight=choice.candidate.counters.in_flight,
        bound_ms=bound // timedelta(milliseconds=1),
        tried=sorted(task.tried),
    )
    started_s = gateway.elapsed_s()
    with _reading(choice, task.route.priority):
        ended = await _exchange(gateway, task, choice, order, framer, bound)
    _learn(gateway, task, choice, ended, gateway.elapsed_s() - started_s)
    return ended


@contextmanager
def occupying(choice: Choice) -> Iterator[None]:
    """Counts a request as being at an upstream."""
    occupation = choice.candidate.counters
    occupation.in_flight += 1
    try:
        yield
    finally:
        occupation.in_flight -= 1


@contextmanager
def _reading(choice: Choice, priority: int) -> Iterator[None]:
    """Counts prompt tokens as unread until the first event or the end."""
    pending = choice.candidate.counters.pending_tokens
    pending[priority] += choice.uncached_tokens
    try:
        yield
    finally:
        pending[priority] -= choice.uncached_tokens


async def _exchange(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    order: DispatchOptions,
    framer: EventFramer,
    bound: timedelta,
) -> Dispatched:
    pool, address = _way(gateway, choice)
    longest_idle_s = _KEPT_S if task.route.is_idempotent else _FRESH_S
    try:
        connection = await pool.take(address, longest_idle_s)
    except ConnectError as error:
        return Dispatched(Evidence.NOT_SENT, choice.upstream, error.reason)
    try:
        with (
            trio.move_on_after(bound.total_seconds()) as scope,
            _noted(gateway, task, choice, scope),
        ):
            outgoing = _outgoing(gateway, task, choice, order)
            await connection.send(outgoing, gateway.spawn)
            ended = await _read_answer(
                gateway, task, choice, connection, framer
            )
            ended.pool = pool
            return _settle(ended, connection)
    except (BrokenConnectionError, UpstreamFailedError) as error:
        connection.close()
        return Dispatched(
            Evidence.MAY_HAVE_RUN,
            choice.upstream,
            error.reason,
        )
    except trio.Cancelled:
        connection.close()
        raise
    connection.close()
    reason = 'time is up' if trio.current_time() >= scope.deadline else 'lost'
    return Dispatched(Evidence.MAY_HAVE_RUN, choice.upstream, reason)


def _noted(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    scope: trio.CancelScope,
) -> AbstractContextManager[None]:
    """Notes a wait; the end of its upstream ends one that may be repeated."""
    if choice.candidate.via is not None:
        return nullcontext()
    return gateway.activity.waits.waiting(
        choice.upstream,
        scope if task.route.is_idempotent else None,
        gateway.elapsed_s(),
        choice.expected_s,
    )


def _settle(ended: Dispatched, connection: Connection) -> Dispatched:
    """Keeps the connection of a whole answer for another request."""
    if ended.connection is None and ended.pool is not None:
        ended.pool.give_back(connection)
    return ended


def _way(gateway: Gateway, choice: Choice) -> tuple[Pool, str]:
    via = choice.candidate.via
    if via is None:
        return gateway.links.upstreams, choice.candidate.known.record.address
    return gateway.links.peers, via.peer_address


def _outgoing(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    order: DispatchOptions,
) -> Outgoing:
    request = task.request
    if choice.candidate.via is None:
        headers = gateway.wire.dispatch_headers(request, order)
        return Outgoing(request.method, request.target, headers, request.body)
    relay = encode_relay(request, task.service, task.tried, task.route, order)
    return Outgoing(
        b'POST',
        RELAY_TARGET,
        ((b'host', b'peer'),),
        relay.SerializeToString(),
    )


async def _read_answer(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    connection: Connection,
    framer: EventFramer,
) -> Dispatched:
    head = await connection.read_head()
    facts = gateway.wire.read_answer(
        head.status,
        head.headers,
        task.request.request_id,
    )
    _note_facts(gateway, choice, facts)
    evidence, upstream = _evidence(head, facts, choice)
    if not facts.matches_request:
        connection.close()
        return Dispatched(evidence, upstream, 'answer to another request')
    if evidence is Evidence.ANSWERED and task.is_stream:
        return await _open_stream(connection, head, upstream, framer)
    body = await connection.read_body()
    return Dispatched(evidence, upstream, '', _without_own(head), body)


async def _open_stream(
    connection: Connection,
    head: AnswerHead,
    upstream: str,
    framer: EventFramer,
) -> Dispatched:
    """Reads up to the first whole event of a stream."""
    framer.discard_partial()
    while True:
        chunk = await connection.read_chunk()
        events = framer.feed(chunk)
        if events or not chunk:
            break
    if not chunk and framer.has_partial:
        raise BrokenConnectionError(connection.address, 'partial event')
    return Dispatched(
        Evidence.ANSWERED,
        upstream,
        '',
        _without_own(head),
        events,
        connection if chunk else None,
    )


def _evidence(
    head: AnswerHead,
    facts: AnswerFacts,
    choice: Choice,
) -> tuple[Evidence, str]:
    """Returns what an answer proves, as a relaying peer has judged it."""
    if choice.candidate.via is None:
        return classify_answer(facts), choice.upstream
    fields = dict(head.headers)
    upstream = fields.get(UPSTREAM, b'').decode('latin-1') or choice.upstream
    told = fields.get(EVIDENCE)
    if told is None:
        return Evidence.MAY_HAVE_RUN, upstream
    evidence = Evidence(told.decode('latin-1'))
    is_answer = evidence in {Evidence.ANSWERED, Evidence.FAILED}
    return (classify_answer(facts) if is_answer else evidence), upstream


def _without_own(head: AnswerHead) -> AnswerHead:
    dropped = _OWN_HEADERS | _FRAMING
    headers: Headers = tuple(
        header for header in head.headers if header[0] not in dropped
    )
    return AnswerHead(head.status, headers)


def _note_facts(gateway: Gateway, choice: Choice, facts: AnswerFacts) -> None:
    if choice.candidate.via is not None:
        return
    if facts.load is not None:
        gateway.beliefs.loads.record_report(choice.candidate.state, facts.load)
    if facts.cold_for:
        gateway.beliefs.view.record_warm_up(choice.upstream, facts.cold_for)


def _learn(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    ended: Dispatched,
    seen_s: float,
) -> None:
    loads = gateway.beliefs.loads
    state = choice.candidate.state
    gateway.log.record(
        'dispatch_ended',
        task.request.request_id,
        upstream=ended.upstream,
        evidence=ended.evidence.value,
        reason=ended.reason,
        status=ended.head.status if ended.head else None,
        took_ms=round(seen_s * 1000),
    )
    if ended.upstream != choice.upstream:
        # A relay has taken another one, of which its own region tells.
        return
    is_relayed = choice.candidate.via is not None
    if ended.evidence is Evidence.ANSWERED:
        loads.record_outcome(state, is_failure=False, is_relayed=is_relayed)
        state.cache.record_prefill(task.request.prompt)
        if not is_relayed:
            _learn_times(gateway, task, choice, seen_s)
        return
    is_failure = ended.evidence is not Evidence.NOT_RUN
    loads.record_outcome(state, is_failure=is_failure, is_relayed=is_relayed)


def _learn_times(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    seen_s: float,
) -> None:
    gateway.beliefs.loads.record_latency_ratio(
        choice.candidate.state,
        choice.candidate.state.latency_ratio * seen_s / choice.expected_s,
    )
    if task.is_stream:
        prompt = task.request.prompt
        gateway.beliefs.chooser.record_first_event(choice, prompt, seen_s)
    else:
        gateway.beliefs.chooser.record_call(choice, seen_s)
