"""Health checks of suspected upstreams.

A single broken answer is no proof that the upstream failed, since single
answers get lost.  It starts a check.  When the check fails, the upstream is
suspected and gets no requests until a later check passes.  If it does not even
accept connections, a crash is recorded for each request that broke on it.
"""

from http import HTTPStatus
from typing import Final

import trio

from masticstage.edges.dispatch import DispatchOutcome, RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_client import OutgoingRequest, connect
from masticstage.exceptions import (
    BrokenConnectionError,
    ConnectError,
    MasticstageError,
    UpstreamFailedError,
)
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.view import KnownUpstream

#: Interval of the search for upstreams whose check is due.
_SCAN_INTERVAL_S: Final = 0.1
#: Time-out of a check; a busy upstream queues it like a request.
_PROBE_TIMEOUT_S: Final = 0.6
_CONNECT_TIMEOUT_S: Final = 0.3


def update_upstream_health(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    outcome: DispatchOutcome,
) -> None:
    """Suspects or checks an upstream according to a dispatch's outcome.

    Relayed dispatches are left to the peer, which reaches the upstream itself.
    """
    candidate = choice.candidate
    if candidate.via is not None:
        return
    name = choice.upstream
    if outcome.evidence is Evidence.NOT_SENT:
        _mark_suspect(gateway, candidate.known_upstream, outcome.reason)
    elif outcome.evidence is Evidence.MAY_HAVE_RUN:
        broken_requests = gateway.activity.broken_requests
        is_check_running = name in broken_requests
        broken_requests.setdefault(name, set()).add(routed.fingerprint)
        if not is_check_running:
            gateway.spawn(
                _check_after_broken_answer, gateway, candidate.known_upstream
            )


async def is_healthy(gateway: Gateway, known: KnownUpstream) -> bool:
    """Checks an upstream that is in use, and suspects it if it fails."""
    return await _probe_and_suspect(gateway, known) is None


async def run_health_checks(gateway: Gateway) -> None:
    """Checks suspected and overdue upstreams of this region."""
    while True:
        await trio.sleep(_SCAN_INTERVAL_S)
        _check_overdue_upstreams(gateway)
        for known in gateway.views.fleet.all_upstreams():
            record = known.record
            state = gateway.views.loads.state(record.name, record.started_at_ms)
            is_due = state.health.is_check_due(gateway.elapsed_s())
            if is_due and record.region == gateway.region:
                state.health.check_at_s += _PROBE_TIMEOUT_S
                gateway.spawn(_recheck, gateway, known)


def _check_overdue_upstreams(gateway: Gateway) -> None:
    """Counts overdue dispatches as failures and checks their upstreams."""
    now_s = gateway.elapsed_s()
    loads, pending = gateway.views.loads, gateway.activity.pending
    for upstream in pending.take_newly_overdue(now_s):
        loads.record_outcome(loads.state(upstream), is_failure=True)
    for name in pending.upstreams_to_check(now_s):
        overdue_upstream = gateway.views.fleet.find(name)
        if overdue_upstream is not None:
            gateway.spawn(is_healthy, gateway, overdue_upstream)


async def _check_after_broken_answer(
    gateway: Gateway,
    known: KnownUpstream,
) -> None:
    """Checks an upstream after a broken answer.

    If it cannot be connected to, a crash is recorded for each request that
    broke on it.
    """
    name = known.record.name
    failure = await _probe_and_suspect(gateway, known)
    fingerprints = gateway.activity.broken_requests.pop(name, set())
    if not isinstance(failure, ConnectError):
        return
    quarantine = gateway.views.quarantine
    for fingerprint in fingerprints:
        if quarantine.record_crash(fingerprint, name):
            gateway.log.record('quarantined', '', fingerprint=fingerprint)


async def _probe_and_suspect(
    gateway: Gateway,
    known: KnownUpstream,
) -> MasticstageError | None:
    """Checks an upstream and suspects it on failure, which is returned."""
    failure = await _probe(gateway, known)
    if failure is not None:
        _mark_suspect(gateway, known, str(failure))
    return failure


async def _recheck(gateway: Gateway, known: KnownUpstream) -> None:
    record = known.record
    state = gateway.views.loads.state(record.name, record.started_at_ms)
    failure = await _probe(gateway, known)
    if failure is not None:
        state.health.suspect(gateway.elapsed_s())
    elif state.health.clear_suspicion():
        gateway.log.record('upstream_recovered', upstream=record.name)


async def _probe(
    gateway: Gateway,
    known: KnownUpstream,
) -> MasticstageError | None:
    """Checks an upstream within the time-out; returns the failure, if any."""
    try:
        with trio.fail_after(_PROBE_TIMEOUT_S):
            return await _request_health(gateway, known)
    except (ConnectError, BrokenConnectionError) as error:
        return error
    except trio.TooSlowError:
        return UpstreamFailedError(known.record.name, 'health check timed out')


async def _request_health(
    gateway: Gateway,
    known: KnownUpstream,
) -> MasticstageError | None:
    record = known.record
    plan = gateway.views.fleet.plan(record.service)
    path = plan.health_path if plan else '/'
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
    facts = gateway.wire.read_answer(head.status, head.headers, '')
    if facts.instance and facts.instance != record.name:
        return UpstreamFailedError(
            record.name,
            'another instance answers at its address',
        )
    if head.status != HTTPStatus.OK and not facts.is_not_run:
        return UpstreamFailedError(
            record.name,
            f'health check returned status {head.status}',
        )
    if facts.cold_for:
        gateway.views.fleet.record_warm_up(record.name, facts.cold_for)
    return None


def _mark_suspect(gateway: Gateway, known: KnownUpstream, reason: str) -> None:
    record = known.record
    state = gateway.views.loads.state(record.name, record.started_at_ms)
    gateway.connections.upstreams.close_idle(record.address)
    abandoned = gateway.activity.pending.cancel(record.name)
    if state.health.suspect(gateway.elapsed_s()):
        gateway.log.record(
            'upstream_suspected',
            upstream=record.name,
            reason=reason,
            abandoned=abandoned,
        )
