"""Sends a request once to an upstream, directly or through a peer."""

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

from masticstage.edges.answer_parser import AnswerHead
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_client import (
    Connection,
    ConnectionPool,
    OutgoingRequest,
)
from masticstage.edges.messages import encode_relay
from masticstage.edges.notices import (
    describe_notices,
    record_notices_of_dispatch,
)
from masticstage.exceptions import (
    BrokenConnectionError,
    ConnectError,
    UpstreamFailedError,
)
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.crash_causes import Causes
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import (
    Evidence,
    classify_answer,
    classify_relayed_answer,
)
from masticstage.forwarding.requests import (
    CallerRequest,
    CallKind,
    Headers,
    Prompt,
)
from masticstage.forwarding.routes import Route
from masticstage.forwarding.wire import (
    AnswerFacts,
    DispatchOptions,
    NamedRequest,
)

RELAY_PATH: Final = b'/relay'
EVIDENCE_HEADER: Final = b'masticstage-evidence'
UPSTREAM_HEADER: Final = b'masticstage-upstream'
_INTERNAL_HEADERS: Final = frozenset((EVIDENCE_HEADER, UPSTREAM_HEADER))
_FRAMING_HEADERS: Final = frozenset(
    (b'connection', b'keep-alive', b'transfer-encoding', b'content-length'),
)
#: Longest idle time of a connection that is reused for a request that may run
#: only once. A connection that answered recently is unlikely to be dead or to
#: be closed as idle by the upstream at that moment.
_MAX_IDLE_NON_IDEMPOTENT_S: Final = 0.25
#: The same for requests that may be retried; the pool has its own limit.
_MAX_IDLE_S: Final = 60


@attrs.frozen
class RoutedRequest:
    """A request with its route, service and the upstreams already tried.

    `causes` are its possible causes of a crash.
    """

    request: CallerRequest
    route: Route
    service: str
    fingerprint: str
    causes: Causes
    tried: frozenset[str] = frozenset()

    @property
    def is_stream(self) -> bool:
        """Whether events are forwarded as they arrive."""
        return self.route.kind is CallKind.STREAMING


@attrs.frozen
class AnswerBasis:
    """What shows to which request an answer belongs, for the log."""

    status: int
    named_request: NamedRequest
    is_not_run: bool
    is_reused: bool


@final
@attrs.define(eq=False)
class DispatchOutcome:
    """How a dispatch ended, with the answer if there is one.

    `upstream` is the one that was used, since a relaying peer may choose
    another.  `body` is the complete body.  If `connection` is set, the answer
    is a stream that is still open, and `body` holds its first complete events.
    `basis` is what the evidence of an answer was taken from.
    """

    evidence: Evidence
    upstream: str
    reason: str = ''
    head: AnswerHead | None = None
    body: bytes = b''
    connection: Connection | None = None
    pool: ConnectionPool | None = None
    basis: AnswerBasis | None = None

    def close(self) -> None:
        """Closes an open stream, which cancels the upstream's work on it."""
        if self.connection is not None:
            self.connection.close()

    def release(self) -> None:
        """Returns the connection of a completed stream to its pool."""
        if self.pool is not None and self.connection is not None:
            self.pool.release(self.connection)
            self.connection = None


async def dispatch(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    options: DispatchOptions,
    framer: EventFramer,
    timeout: timedelta,
) -> DispatchOutcome:
    """Sends a request to the chosen upstream and records the outcome.

    `timeout` bounds the time to a complete answer or to the first event of a
    stream.
    """
    gateway.log.record(
        'dispatched',
        routed.request.request_id,
        upstream=choice.upstream,
        via=(
            choice.candidate.via.identity.name if choice.candidate.via else None
        ),
        expected_ms=round(choice.expected_s * 1000),
        remaining_ms=options.remaining // timedelta(milliseconds=1),
        in_flight=choice.candidate.counters.in_flight,
        bound_ms=timeout // timedelta(milliseconds=1),
        tried=sorted(routed.tried),
        left_out=describe_notices(gateway.views.fleet, routed.service),
        **_prompt_fields(routed.request.prompt, choice),
    )
    started_s = gateway.elapsed_s()
    with _count_pending_tokens(choice, routed.route.priority):
        outcome = await _send_and_read(
            gateway,
            routed,
            choice,
            options,
            framer,
            timeout,
        )
    _record_outcome(
        gateway,
        routed,
        choice,
        outcome,
        gateway.elapsed_s() - started_s,
    )
    return outcome


def _prompt_fields(prompt: Prompt, choice: Choice) -> dict[str, object]:
    """Returns what was assumed about the prompt, for the log."""
    if not prompt.tokens_in:
        return {}
    prefix = prompt.shared_prefix
    return {
        'prefix': prefix[-1].part_id if prefix else '',
        'parts': [part.part_id for part in prefix],
        'tokens_in': prompt.tokens_in,
        'uncached': choice.uncached_tokens,
        'unverified': choice.unverified_tokens,
        'backlog': round(choice.backlog_tokens),
        'fetch_from': choice.fetch_from,
    }


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
            upstream_request = _build_request(gateway, routed, choice, options)
            await connection.send(upstream_request, gateway.spawn)
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
        is_compressed=choice.candidate.via.takes_compressed,
    )
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
    if evidence is Evidence.ANSWERED and routed.is_stream:
        return await _open_stream(connection, head, upstream, framer)
    body = await connection.read_body()
    return DispatchOutcome(
        evidence,
        upstream,
        '',
        _forwardable_head(head),
        body,
        basis=basis,
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


def _record_outcome(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    outcome: DispatchOutcome,
    took_s: float,
) -> None:
    """Logs the end of a dispatch; updates the load and health state."""
    loads = gateway.views.loads
    state = choice.candidate.state
    gateway.log.record(
        'dispatch_ended',
        routed.request.request_id,
        upstream=outcome.upstream,
        evidence=outcome.evidence.value,
        reason=outcome.reason,
        status=outcome.head.status if outcome.head else None,
        took_ms=round(took_s * 1000),
        **_basis_fields(outcome),
    )
    if outcome.upstream != choice.upstream:
        # The peer chose another upstream. Its region reports the load on that.
        return
    is_relayed = choice.candidate.via is not None
    if outcome.evidence is Evidence.ANSWERED:
        if outcome.connection is None:
            gateway.record_answer(routed.causes)
        loads.record_outcome(state, is_failure=False, is_relayed=is_relayed)
        prompt = routed.request.prompt
        state.cache.record_prefill(prompt)
        if not is_relayed:
            gateway.views.prefix_reports.observe(
                choice.upstream, prompt.shared_prefix
            )
            _record_times(gateway, routed, choice, took_s)
        return
    is_failure = outcome.evidence is not Evidence.NOT_RUN
    loads.record_outcome(state, is_failure=is_failure, is_relayed=is_relayed)


def _basis_fields(outcome: DispatchOutcome) -> dict[str, object]:
    """Returns what the evidence was taken from, for the log.

    An answer that was forwarded needs no explanation.
    """
    basis = outcome.basis
    if basis is None or outcome.evidence is Evidence.ANSWERED:
        return {}
    return {
        'answer_status': basis.status,
        'answer_names': basis.named_request.value,
        'says_not_run': basis.is_not_run,
        'reused': basis.is_reused,
    }


def _record_times(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    took_s: float,
) -> None:
    """Records how long a direct dispatch took, for later predictions."""
    gateway.views.loads.record_latency_ratio(
        choice.candidate.state,
        choice.candidate.state.latency_ratio * took_s / choice.expected_s,
    )
    if routed.is_stream:
        gateway.views.chooser.record_first_event(
            choice, routed.request.prompt, routed.route.priority, took_s
        )
    else:
        gateway.views.chooser.record_call(choice, took_s)
