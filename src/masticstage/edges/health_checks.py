"""Health checks of suspected upstreams.

A broken answer does not prove that the upstream failed, since single answers
get lost, so it only starts a check.  When the check fails, the upstream is
suspected and gets no requests until a later check passes.  If it even refuses
connections, it has crashed, and each request that broke on it is a possible
cause.
"""

from http import HTTPStatus
from typing import Final

import trio

from masticstage.edges.activity import BrokenRequests
from masticstage.edges.crash_evidence import record_crash
from masticstage.edges.dispatch_outcome import DispatchOutcome, RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_client import OutgoingRequest, connect
from masticstage.edges.notices import record_leaving, record_rest
from masticstage.edges.warmups.findings import (
    record_failure,
    record_health_answer,
)
from masticstage.exceptions import (
    BrokenConnectionError,
    ConnectError,
    HealthTimeoutError,
    MasticstageError,
    UpstreamFailedError,
)
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.published import UpstreamRecord
from masticstage.forwarding.view import KnownUpstream
from masticstage.forwarding.wire import AnswerFacts

#: Timeout of a check, which a busy upstream queues like any request.
_CHECK_TIMEOUT_S: Final = 0.6
_CONNECT_TIMEOUT_S: Final = 0.3
#: Time that a crashing process may take until its port is closed, and the pause
#: between checks during it.
_MAX_ENDING_S: Final = 1.0
_ENDING_CHECK_S: Final = 0.1
#: Longest wait for a check before a request is repeated elsewhere. A refused
#: connection is known after a millisecond.
_MAX_WAIT_FOR_CHECK_S: Final = 0.1


async def update_upstream_health(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    outcome: DispatchOutcome,
) -> None:
    """Suspects or checks an upstream according to a dispatch's outcome.

    If the request may be repeated, waits a moment for the check, so that what
    crashes upstreams is known before that. For relayed dispatches the peer does
    all this, as it connects to the upstream.
    """
    candidate = choice.candidate
    if candidate.via is not None:
        return
    if outcome.evidence is Evidence.NOT_SENT:
        upstream = candidate.known_upstream
        if _mark_suspect(gateway, upstream, outcome.reason):
            record_failure(gateway, upstream.record)
    elif outcome.evidence is Evidence.MAY_HAVE_RUN:
        broken = _note_broken_request(gateway, routed, candidate.known_upstream)
        if routed.route.is_idempotent:
            with trio.move_on_after(_MAX_WAIT_FOR_CHECK_S):
                await broken.checked.wait()


def _note_broken_request(
    gateway: Gateway,
    routed: RoutedRequest,
    upstream: KnownUpstream,
) -> BrokenRequests:
    """Notes a request that broke; starts a check unless one is running."""
    name = upstream.record.name
    broken = gateway.activity.broken_requests.get(name)
    if broken is None:
        broken = BrokenRequests()
        gateway.activity.broken_requests[name] = broken
        gateway.spawn(_check_after_broken_answer, gateway, upstream)
    broken.causes.update(routed.causes)
    return broken


async def is_healthy(gateway: Gateway, upstream: KnownUpstream) -> bool:
    """Checks an upstream and suspects it on failure; True if it passed."""
    return await _check_and_suspect(gateway, upstream) is None


def start_due_checks(gateway: Gateway) -> None:
    """Checks suspected upstreams, and those with overdue dispatches.

    Only upstreams of this region are checked.
    """
    _check_overdue_upstreams(gateway)
    now_s = gateway.elapsed_s()
    for upstream in gateway.views.fleet.all_upstreams():
        record = upstream.record
        is_resting = gateway.views.fleet.notices.rest_left(record)
        if record.region != gateway.region or is_resting:
            continue
        state = gateway.views.loads.state(record.name, record.started_at_ms)
        if state.health.is_check_due(now_s):
            state.health.check_at_s += _CHECK_TIMEOUT_S
            gateway.spawn(_recheck, gateway, upstream)


def _check_overdue_upstreams(gateway: Gateway) -> None:
    """Counts overdue dispatches as failures and checks their upstreams."""
    now_s = gateway.elapsed_s()
    loads, pending = gateway.views.loads, gateway.activity.pending
    for upstream in pending.collect_newly_overdue(now_s):
        loads.record_outcome(loads.state(upstream), is_failure=True)
    for name in pending.upstreams_to_check(now_s):
        overdue_upstream = gateway.views.fleet.find(name)
        if overdue_upstream is not None:
            gateway.spawn(is_healthy, gateway, overdue_upstream)


async def _check_after_broken_answer(
    gateway: Gateway,
    upstream: KnownUpstream,
) -> None:
    """Checks an upstream after a broken answer.

    If it refuses connections although it was not leaving, it has crashed, and
    what it ran is a possible cause.
    """
    name = upstream.record.name
    broken = gateway.activity.broken_requests[name]
    try:
        failure = await _check_until_gone(gateway, upstream, broken)
    finally:
        gateway.activity.broken_requests.pop(name)
    if _is_refused(failure) and not gateway.views.fleet.is_leaving(name):
        record_crash(gateway, upstream.record, frozenset(broken.causes))
    broken.checked.set()


async def _check_until_gone(
    gateway: Gateway,
    upstream: KnownUpstream,
    broken: BrokenRequests,
) -> MasticstageError | None:
    """Checks an upstream until it refuses connections, or for a while.

    A process that crashes may listen for a moment longer, and fail checks or
    break their connections. Returns the last failure, None if a check passes.
    """
    ends_s = gateway.elapsed_s() + _MAX_ENDING_S
    failure = await _check_and_suspect(gateway, upstream)
    while failure is not None and not _is_refused(failure):
        broken.checked.set()
        if gateway.elapsed_s() >= ends_s:
            break
        await trio.sleep(_ENDING_CHECK_S)
        failure = await ask_health(gateway, upstream)
    return failure


def _is_refused(failure: MasticstageError | None) -> bool:
    return isinstance(failure, ConnectError) and failure.is_refused


async def _check_and_suspect(
    gateway: Gateway,
    upstream: KnownUpstream,
) -> MasticstageError | None:
    """Checks an upstream, suspects it on failure; returns the failure."""
    failure = await ask_health(gateway, upstream)
    if failure is not None:
        is_new = _mark_suspect(gateway, upstream, str(failure))
        # A busy upstream may be slow to answer: no reason for all instances to
        # ask it as well.
        if is_new and not isinstance(failure, HealthTimeoutError):
            record_failure(gateway, upstream.record)
    return failure


async def _recheck(gateway: Gateway, upstream: KnownUpstream) -> None:
    """Checks a suspected upstream again; clears the suspicion if it passes."""
    record = upstream.record
    state = gateway.views.loads.state(record.name, record.started_at_ms)
    failure = await ask_health(gateway, upstream)
    if failure is not None:
        state.health.suspect(gateway.elapsed_s())
    elif state.health.clear_suspicion():
        upstream.mark_recovered()
        gateway.log.record('upstream_recovered', upstream=record.name)


async def ask_health(
    gateway: Gateway,
    upstream: KnownUpstream,
) -> MasticstageError | None:
    """Asks an upstream within the timeout; returns the failure, if any.

    One that rests is not asked: it wants no checks either, and it is alive.
    """
    if gateway.views.fleet.notices.rest_left(upstream.record):
        return None
    try:
        with trio.fail_after(_CHECK_TIMEOUT_S):
            return await _request_health(gateway, upstream)
    except (ConnectError, BrokenConnectionError) as error:
        return error
    except trio.TooSlowError:
        return HealthTimeoutError(
            upstream.record.name, 'health check timed out'
        )


async def _request_health(
    gateway: Gateway,
    upstream: KnownUpstream,
) -> MasticstageError | None:
    """Requests the health path; returns the failure that the answer shows.

    A refusal as not run counts as passed.
    """
    record = upstream.record
    service_config = gateway.views.fleet.service_config(record.service)
    path = service_config.health_path if service_config else '/'
    asked_at = gateway.clock.elapsed()
    connection = await connect(
        record.address,
        _CONNECT_TIMEOUT_S,
        gateway.clock,
    )
    try:
        await connection.send(
            OutgoingRequest(b'GET', path.encode(), ((b'host', b'upstream'),)),
            gateway.spawn,
        )
        head = await connection.read_head()
    finally:
        connection.close()
    facts = gateway.wire.read_answer(head.status, head.headers, '', record.name)
    if facts.instance in {'', record.name}:
        record_leaving(gateway, record, facts)
        record_rest(gateway, record, facts)
    if facts.instance and facts.instance != record.name:
        return UpstreamFailedError(
            record.name,
            'another instance answers at its address',
        )
    _record_slowdown(gateway, record, facts)
    if head.status != HTTPStatus.OK and not facts.is_not_run:
        return UpstreamFailedError(
            record.name,
            f'health check returned status {head.status}',
        )
    if head.status == HTTPStatus.OK or facts.cold_for:
        record_health_answer(gateway, record, asked_at, facts.cold_for)
    return None


def _record_slowdown(
    gateway: Gateway, record: UpstreamRecord, facts: AnswerFacts
) -> None:
    """Records the load that comes with how long work takes there now."""
    if facts.load is not None and facts.load.slowdown is not None:
        loads = gateway.views.loads
        state = loads.state(record.name, record.started_at_ms)
        loads.record_report(state, facts.load)


def _mark_suspect(
    gateway: Gateway, upstream: KnownUpstream, reason: str
) -> bool:
    """Suspects an upstream; cancels dispatches to it that may be retried.

    Returns whether it was not suspected before.
    """
    record = upstream.record
    state = gateway.views.loads.state(record.name, record.started_at_ms)
    gateway.connections.upstreams.close_idle(record.address)
    abandoned = gateway.activity.pending.cancel(record.name)
    is_new = state.health.suspect(gateway.elapsed_s())
    if is_new:
        gateway.log.record(
            'upstream_suspected',
            upstream=record.name,
            reason=reason,
            abandoned=abandoned,
        )
    return is_new
