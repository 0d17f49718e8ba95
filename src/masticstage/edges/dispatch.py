"""Sends a request once to an upstream, directly or through a peer."""

from collections.abc import Iterator
from contextlib import (
    AbstractContextManager,
    contextmanager,
    nullcontext,
)
from datetime import timedelta
from typing import Final

import trio

from masticstage.edges.answer_parser import AnswerHead
from masticstage.edges.byte_stream import READ_BYTES
from masticstage.edges.dispatch_log import record_dispatch, record_outcome
from masticstage.edges.dispatch_outcome import (
    AnswerBasis,
    DispatchOutcome,
    RoutedRequest,
)
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_client import (
    Connection,
    ConnectionPool,
    OutgoingRequest,
)
from masticstage.edges.http_server import Reply
from masticstage.edges.messages import encode_relay
from masticstage.edges.notices import record_notices_of_dispatch
from masticstage.edges.origins.software import (
    SOFTWARE_HEADER,
    answering_software,
)
from masticstage.exceptions import (
    BrokenConnectionError,
    ConnectError,
    UpstreamFailedError,
)
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import (
    Evidence,
    classify_answer,
    classify_relayed_answer,
)
from masticstage.forwarding.requests import Headers
from masticstage.forwarding.wire import AnswerFacts, DispatchOptions

RELAY_PATH: Final = b'/relay'
EVIDENCE_HEADER: Final = b'masticstage-evidence'
UPSTREAM_HEADER: Final = b'masticstage-upstream'
_INTERNAL_HEADERS: Final = frozenset(
    (EVIDENCE_HEADER, UPSTREAM_HEADER, SOFTWARE_HEADER)
)
_FRAMING_HEADERS: Final = frozenset(
    (b'connection', b'keep-alive', b'transfer-encoding', b'content-length'),
)
#: Longest idle time of a connection that is reused for a request that may run
#: only once. A connection that answered recently is unlikely to be dead or to
#: be closed as idle by the upstream at that moment.
_MAX_IDLE_NON_IDEMPOTENT_S: Final = 0.25
#: The same for requests that may be retried; the pool has its own limit.
_MAX_IDLE_S: Final = 60
#: Largest part of a stream that is read at once: other tasks wait meanwhile,
#: and small events take long for their bytes.
_STREAM_READ_BYTES: Final = 4096


async def dispatch(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    options: DispatchOptions,
    framer: EventFramer,
    timeout: timedelta,
    reply: Reply,
) -> DispatchOutcome:
    """Sends a request to the chosen upstream and records the outcome.

    `timeout` bounds the time to a complete answer or to the first event of a
    stream. `reply` is to the caller, or to the peer that relays its request;
    nothing is sent after that has left.
    """
    record_dispatch(gateway, routed, choice, options, timeout)
    started_s = gateway.elapsed_s()
    with _count_pending_tokens(choice, routed.route.priority):
        outcome = await _send_and_read(
            gateway,
            routed,
            choice,
            options,
            framer,
            timeout,
            reply,
        )
    record_outcome(
        gateway,
        routed,
        choice,
        outcome,
        gateway.elapsed_s() - started_s,
    )
    return outcome


@contextmanager
def count_in_flight(choice: Choice) -> Iterator[None]:
    """Counts a request as in flight at an upstream."""
    counters = choice.candidate.counters
    counters.in_flight += 1
    try:
        yield
    finally:
        counters.in_flight -= 1


@contextmanager
def _count_pending_tokens(choice: Choice, priority: int) -> Iterator[None]:
    """Counts uncached prompt tokens as pending until the first event."""
    pending = choice.candidate.counters.pending_tokens
    pending[priority] += choice.uncached_tokens
    try:
        yield
    finally:
        pending[priority] -= choice.uncached_tokens


async def _send_and_read(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    options: DispatchOptions,
    framer: EventFramer,
    timeout: timedelta,
    reply: Reply,
) -> DispatchOutcome:
    """Returns the outcome, also of a failure; an open stream stays open."""
    pool, address = _pool_and_address(gateway, choice)
    max_idle_s = (
        _MAX_IDLE_S
        if routed.route.is_idempotent
        else _MAX_IDLE_NON_IDEMPOTENT_S
    )
    try:
        connection = await pool.acquire(
            address, max_idle_s, routed.request.request_id
        )
    except ConnectError as error:
        return DispatchOutcome(Evidence.NOT_SENT, choice.upstream, error.reason)
    try:
        with (
            trio.move_on_after(timeout.total_seconds()) as scope,
            _track_pending(gateway, routed, choice, scope),
        ):
            # Opening the connection may have taken long.
            await reply.stop_if_caller_left()
            upstream_request = _build_request(gateway, routed, choice, options)
            await connection.send(
                upstream_request,
                gateway.spawn,
                _STREAM_READ_BYTES if routed.is_stream else READ_BYTES,
            )
            outcome = await _read_answer(
                gateway,
                routed,
                choice,
                connection,
                framer,
            )
            outcome.pool = pool
            return _release_if_complete(outcome, connection)
    except (BrokenConnectionError, UpstreamFailedError) as error:
        connection.close()
        return DispatchOutcome(
            Evidence.MAY_HAVE_RUN,
            choice.upstream,
            error.reason,
        )
    except trio.Cancelled:
        connection.close()
        raise
    connection.close()
    reason = (
        'timed out'
        if trio.current_time() >= scope.deadline
        else 'upstream failed its health check'
    )
    return DispatchOutcome(Evidence.MAY_HAVE_RUN, choice.upstream, reason)


def _track_pending(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    scope: trio.CancelScope,
) -> AbstractContextManager[None]:
    """Registers a direct dispatch as pending until it returns.

    If the upstream is suspected before that, the dispatch is cancelled, unless
    its request must not be retried.
    """
    if choice.candidate.via is not None:
        return nullcontext()
    return gateway.activity.pending.track(
        choice.upstream,
        scope if routed.route.is_idempotent else None,
        gateway.elapsed_s(),
        choice.expected_s,
    )


def _release_if_complete(
    outcome: DispatchOutcome,
    connection: Connection,
) -> DispatchOutcome:
    """Releases the connection of a complete answer to its pool.

    Returns the outcome unchanged.
    """
    if outcome.connection is None and outcome.pool is not None:
        outcome.pool.release(connection)
    return outcome


def _pool_and_address(
    gateway: Gateway,
    choice: Choice,
) -> tuple[ConnectionPool, str]:
    via = choice.candidate.via
    if via is None:
        return (
            gateway.connections.upstreams,
            choice.candidate.known_upstream.record.address,
        )
    return gateway.connections.peers, via.peer_address


def _build_request(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    options: DispatchOptions,
) -> OutgoingRequest:
    request = routed.request
    if choice.candidate.via is None:
        headers = gateway.wire.dispatch_headers(request, options)
        return OutgoingRequest(
            request.method,
            request.target,
            headers,
            request.body,
        )
    relay = encode_relay(
        request,
        routed.service,
        routed.tried,
        routed.route,
        options,
        routed.team_name,
        is_compressed=choice.candidate.via.takes_compressed,
    )
    if routed.origin is not None and routed.origin.software is not None:
        relay.software = routed.origin.software
    return OutgoingRequest(
        b'POST',
        RELAY_PATH,
        ((b'host', b'peer'),),
        relay.SerializeToString(),
    )


async def _read_answer(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    connection: Connection,
    framer: EventFramer,
) -> DispatchOutcome:
    head = await connection.read_head()
    upstream = _answering_upstream(head, choice)
    facts = gateway.wire.read_answer(
        head.status,
        head.headers,
        routed.request.request_id,
        upstream,
    )
    _record_reported_state(gateway, choice, facts)
    evidence = _classify(head, facts, choice)
    if choice.candidate.via is None:
        _limit_reuse(connection, routed, evidence, facts)
    record_notices_of_dispatch(
        gateway, choice, upstream, facts, routed.request.request_id
    )
    basis = AnswerBasis(
        facts.status,
        facts.named_request,
        facts.is_not_run,
        connection.is_reused,
    )
    if not facts.matches_request:
        connection.close()
        return DispatchOutcome(
            evidence, upstream, 'answer to another request', basis=basis
        )
    software = (
        answering_software(gateway, head, choice, upstream)
        if routed.is_stream
        else None
    )
    if evidence is Evidence.ANSWERED and routed.is_stream:
        outcome = await _open_stream(connection, head, upstream, framer)
        outcome.software = software
        return outcome
    body = await connection.read_body()
    return DispatchOutcome(
        evidence,
        upstream,
        '',
        _forwardable_head(head),
        body,
        basis=basis,
        software=software,
    )


def _limit_reuse(
    connection: Connection,
    routed: RoutedRequest,
    evidence: Evidence,
    facts: AnswerFacts,
) -> None:
    """Keeps a late copy of an upstream's answer from meeting another request.

    Peers write each answer once.
    """
    if evidence is Evidence.NOT_RUN:
        connection.record_refusal(routed.request.request_id)
    if not facts.names_a_request:
        connection.forbid_reuse()


async def _open_stream(
    connection: Connection,
    head: AnswerHead,
    upstream: str,
    framer: EventFramer,
) -> DispatchOutcome:
    """Reads up to the first complete event of a stream."""
    framer.discard_partial()
    while True:
        chunk = await connection.read_chunk()
        events = framer.feed(chunk)
        if events or not chunk:
            break
    if not chunk and framer.has_partial:
        raise BrokenConnectionError(connection.address, 'partial event')
    return DispatchOutcome(
        Evidence.ANSWERED,
        upstream,
        '',
        _forwardable_head(head),
        events,
        connection if chunk else None,
    )


def _answering_upstream(head: AnswerHead, choice: Choice) -> str:
    """Returns the upstream that gave an answer; a peer may choose another."""
    if choice.candidate.via is None:
        return choice.upstream
    reported = dict(head.headers).get(UPSTREAM_HEADER, b'').decode('latin-1')
    return reported or choice.upstream


def _classify(head: AnswerHead, facts: AnswerFacts, choice: Choice) -> Evidence:
    if choice.candidate.via is None:
        return classify_answer(facts)
    reported = dict(head.headers).get(EVIDENCE_HEADER, b'')
    return classify_relayed_answer(reported.decode('latin-1'), facts)


def _forwardable_head(head: AnswerHead) -> AnswerHead:
    """Returns the head without headers of the gateway and of the connection."""
    dropped = _INTERNAL_HEADERS | _FRAMING_HEADERS
    headers: Headers = tuple(
        header for header in head.headers if header[0] not in dropped
    )
    return AnswerHead(head.status, headers)


def _record_reported_state(
    gateway: Gateway,
    choice: Choice,
    facts: AnswerFacts,
) -> None:
    """Records load and warm-up that an upstream reported of itself."""
    if choice.candidate.via is not None:
        return
    if facts.load is not None:
        gateway.views.loads.record_report(choice.candidate.state, facts.load)
    if facts.cold_for:
        gateway.views.fleet.record_warm_up(choice.upstream, facts.cold_for)
