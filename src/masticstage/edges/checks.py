"""Health checks of upstreams in doubt.

A broken answer alone proves little, since single answers get lost.  It
starts a check; only when that fails the upstream is not used until a later
check has passed, and the requests that broke on it count as its crash.
"""

from http import HTTPStatus
from typing import Final

import trio

from masticstage.edges.connections import Outgoing, connect
from masticstage.edges.dispatch import Dispatched, Task
from masticstage.edges.gateway import Gateway
from masticstage.exceptions import (
    BrokenConnectionError,
    ConnectError,
    MasticstageError,
    UpstreamFailedError,
)
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.places import Choice
from masticstage.forwarding.view import KnownUpstream

#: Pause between two looks for upstreams whose check is due.
_LOOK_S: Final = 0.1
#: Time for a check: it waits for a slot like a request.
_CHECK_S: Final = 0.6
_CONNECT_S: Final = 0.3


def suspect(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    ended: Dispatched,
) -> None:
    """Draws the consequences of a dispatch for the upstream itself."""
    place = choice.place
    if place.via is not None:
        return
    name = choice.upstream
    if ended.evidence is Evidence.NOT_SENT:
        _doubt(gateway, place.known, ended.reason)
    elif ended.evidence is Evidence.MAY_HAVE_RUN:
        suspects = gateway.activity.suspects
        is_checking = name in suspects
        suspects.setdefault(name, set()).add(task.fingerprint)
        if not is_checking:
            gateway.spawn(_verify, gateway, place.known)


async def is_sound(gateway: Gateway, known: KnownUpstream) -> bool:
    """Checks an upstream whose stream is silent; doubts it if need be."""
    return await _check_used(gateway, known) is None


async def check_doubtful(gateway: Gateway) -> None:
    """Checks upstreams in doubt again, for the life of the process."""
    while True:
        await trio.sleep(_LOOK_S)
        _look_at_waits(gateway)
        for known in gateway.beliefs.view.everything():
            record = known.record
            state = gateway.beliefs.loads.state(record.name, record.born_ms)
            is_due = state.health.is_check_due(gateway.elapsed_s())
            if is_due and record.region == gateway.region:
                state.health.check_at_s += _CHECK_S
                gateway.spawn(_check_again, gateway, known)


def _look_at_waits(gateway: Gateway) -> None:
    """Counts long waits as failures and checks those who cause them."""
    now_s = gateway.elapsed_s()
    loads, waits = gateway.beliefs.loads, gateway.activity.waits
    for late in waits.count_long(now_s):
        loads.note_outcome(loads.state(late), is_failure=True)
    for name in waits.long_at(now_s):
        waited_for = gateway.beliefs.view.find(name)
        if waited_for is not None:
            gateway.spawn(is_sound, gateway, waited_for)


async def _verify(gateway: Gateway, known: KnownUpstream) -> None:
    """Checks an upstream on which an answer has just broken."""
    name = known.record.name
    failure = await _check_used(gateway, known)
    fingerprints = gateway.activity.suspects.pop(name, set())
    if not isinstance(failure, ConnectError):
        return
    quarantine = gateway.beliefs.quarantine
    for fingerprint in fingerprints:
        if quarantine.record_crash(fingerprint, name):
            gateway.log.record('quarantined', '', fingerprint=fingerprint)


async def _check_used(
    gateway: Gateway,
    known: KnownUpstream,
) -> MasticstageError | None:
    """Checks an upstream that is in use; doubts it when that fails."""
    failure = await _check(gateway, known)
    if failure is not None:
        _doubt(gateway, known, str(failure))
    return failure


async def _check_again(gateway: Gateway, known: KnownUpstream) -> None:
    record = known.record
    state = gateway.beliefs.loads.state(record.name, record.born_ms)
    failure = await _check(gateway, known)
    if failure is not None:
        state.health.doubt(gateway.elapsed_s())
    elif state.health.clear_doubt():
        gateway.log.record('upstream_regained', upstream=record.name)


async def _check(
    gateway: Gateway,
    known: KnownUpstream,
) -> MasticstageError | None:
    """Asks an upstream for its health; returns what is wrong, if anything."""
    try:
        with trio.fail_after(_CHECK_S):
            return await _ask(gateway, known)
    except (ConnectError, BrokenConnectionError) as error:
        return error
    except trio.TooSlowError:
        return UpstreamFailedError(known.record.name, 'silent')


async def _ask(
    gateway: Gateway,
    known: KnownUpstream,
) -> MasticstageError | None:
    record = known.record
    plan = gateway.beliefs.view.plan(record.service)
    path = plan.health_path if plan else '/'
    connection = await connect(record.address, _CONNECT_S, gateway.clock)
    try:
        await connection.send(
            Outgoing(b'GET', path.encode(), ((b'host', b'upstream'),)),
            gateway.spawn,
        )
        head = await connection.read_head()
    finally:
        connection.close()
    facts = gateway.wire.read_answer(head.status, head.headers, '')
    if facts.instance and facts.instance != record.name:
        return UpstreamFailedError(record.name, 'another has its address')
    if head.status != HTTPStatus.OK and not facts.is_not_run:
        return UpstreamFailedError(record.name, f'health {head.status}')
    if facts.cold_for:
        gateway.beliefs.view.note_cold(record.name, facts.cold_for)
    return None


def _doubt(gateway: Gateway, known: KnownUpstream, reason: str) -> None:
    record = known.record
    state = gateway.beliefs.loads.state(record.name, record.born_ms)
    gateway.links.upstreams.drop(record.address)
    abandoned = gateway.activity.waits.abandon(record.name)
    if state.health.doubt(gateway.elapsed_s()):
        gateway.log.record(
            'upstream_lost',
            upstream=record.name,
            reason=reason,
            abandoned=abandoned,
        )
