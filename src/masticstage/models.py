"""Model requests: start, transfer and resumption of streamed answers."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from http import HTTPStatus

import attrs

from masticstage.admission import is_congested, is_too_late
from masticstage.audit import Event
from masticstage.bodies import shared_prefix
from masticstage.clock import milliseconds
from masticstage.configuration_schema import Upstream
from masticstage.engines import EngineRun
from masticstage.exceptions import (
    InvalidRequestError,
    OverloadedError,
    PeerUnreachableError,
    QuarantinedError,
    ResidencyError,
    TransferLimitError,
)
from masticstage.generations import AnswerGenerations
from masticstage.instance import Instance
from masticstage.placement import (
    Placement,
    build_demand,
    choose_placement,
    pick_live_member,
    require_local,
)
from masticstage.quarantine import fingerprint_request
from masticstage.relays import buffer_reply, forward
from masticstage.requests import EVENT_STREAM_TYPE, Reply, Request
from masticstage.residency import allowed_data_centres, may_transfer
from masticstage.routing import Choice, Demand
from masticstage.streams import RESUME
from masticstage.tokens import Session


async def serve_model_request(instance: Instance, request: Request) -> Reply:
    """Returns the reply that streams the answer to a model request.

    Raises `QuarantinedError` when the request must not be run.
    """
    fingerprint = fingerprint_request(
        request.team.name,
        request.service,
        request.body,
    )
    quarantine = instance.local_state.quarantine
    for upstream in request.session.struck if request.session else ():
        quarantine.record_crash(fingerprint, upstream)
    if quarantine.contains(fingerprint):
        raise QuarantinedError(fingerprint)
    if request.session is not None:
        return await _resume_answer(instance, request, fingerprint)
    instance.local_state.retry_budget.record_request()
    return await _start_answer(instance, request, fingerprint)


async def _start_answer(
    instance: Instance,
    request: Request,
    fingerprint: str,
) -> Reply:
    demand = _demand_avoiding_crashed(instance, request, fingerprint)
    placement = choose_placement(instance, request, demand)
    reply = await _try_transfer(instance, request, placement)
    if reply is not None:
        return reply
    choice = require_local(placement, request)
    _check_load(instance, request, choice)
    return _reply_with_first_run(
        AnswerGenerations(instance, request, demand, fingerprint), choice
    )


async def _try_transfer(
    instance: Instance,
    request: Request,
    placement: Placement,
) -> Reply | None:
    """Returns the forwarded reply; None if it must be served here instead."""
    if placement.transfer is None:
        return None
    member = pick_live_member(instance, placement.transfer.data_centre)
    if member is None:
        return None
    instance.views.summaries.record_transfer(
        placement.transfer.data_centre,
        request.service,
    )
    try:
        reply = await forward(instance, request, member)
    except PeerUnreachableError:
        if placement.local is None:
            raise
        return None
    if reply.status >= HTTPStatus.BAD_REQUEST and placement.local is not None:
        await buffer_reply(reply)
        return None
    return _with_resume_event(reply)


async def _resume_answer(
    instance: Instance,
    request: Request,
    fingerprint: str,
) -> Reply:
    session = request.session
    if session is None:
        raise InvalidRequestError('a session')
    _check_session_residency(instance, request, session)
    if session.data_centre != instance.data_centre:
        return await _resume_in_data_centre(
            instance, request, session, fingerprint
        )
    demand = _demand_avoiding_crashed(instance, request, fingerprint)
    generations = AnswerGenerations(instance, request, demand, fingerprint)
    generations.number = session.answer
    upstream = instance.catalogue().upstreams.get(session.upstream)
    instance.audit.record(
        Event.RESUMED,
        request.request_id,
        f'{session.upstream} after {request.last_index}',
    )
    if upstream is None or not _may_continue_at(instance, request, upstream):
        return await _restart_answer(instance, request, fingerprint)
    run = EngineRun(
        request,
        upstream,
        session.stream_id,
        session.answer,
        request.last_index,
    )
    return _event_stream_reply(generations.events(run))


async def _resume_in_data_centre(
    instance: Instance,
    request: Request,
    session: Session,
    fingerprint: str,
) -> Reply:
    """Resumes in the engine's data centre; restarts if it is unreachable."""
    if not may_transfer(request.path, session.data_centre):
        raise TransferLimitError(request.path)
    member = pick_live_member(instance, session.data_centre)
    if member is not None:
        try:
            return _with_resume_event(await forward(instance, request, member))
        except PeerUnreachableError:
            instance.metrics.count('resume_unreachable')
    return await _restart_answer(instance, request, fingerprint)


async def _restart_answer(
    instance: Instance,
    request: Request,
    fingerprint: str,
) -> Reply:
    """Starts a new answer, since the previous one cannot be continued."""
    restarted = attrs.evolve(
        request,
        session=None,
        session_token='',
        last_index=-1,
    )
    instance.audit.record(
        Event.RESTARTED, request.request_id, 'engine unavailable'
    )
    return await _start_answer(instance, restarted, fingerprint)


def _with_resume_event(reply: Reply) -> Reply:
    """Returns a reply that ends with `RESUME` if the peer does not answer."""
    if reply.chunks is None:
        return reply
    return attrs.evolve(reply, chunks=_resume_event_on_failure(reply.chunks))


async def _resume_event_on_failure(
    chunks: AsyncGenerator[bytes],
) -> AsyncGenerator[bytes]:
    try:
        async with aclosing(chunks) as open_chunks:
            async for chunk in open_chunks:
                yield chunk
    except PeerUnreachableError:
        yield RESUME


def _check_session_residency(
    instance: Instance,
    request: Request,
    session: Session,
) -> None:
    catalogue = instance.catalogue()
    allowed = allowed_data_centres(catalogue, request.team, request.kind)
    if session.data_centre not in allowed:
        raise ResidencyError(tuple(sorted(allowed)))


def _may_continue_at(
    instance: Instance,
    request: Request,
    upstream: Upstream,
) -> bool:
    """Returns whether an answer may be continued at an upstream.

    A leaving upstream may finish its answers.
    """
    allowed = allowed_data_centres(
        instance.catalogue(),
        request.team,
        request.kind,
    )
    return upstream.data_centre in allowed


def _demand_avoiding_crashed(
    instance: Instance,
    request: Request,
    fingerprint: str,
) -> Demand:
    """Returns a demand that avoids upstreams which crashed on the request."""
    demand = build_demand(request, shared_prefix(request.body))
    crashed = instance.local_state.quarantine.crashed_upstreams(fingerprint)
    return attrs.evolve(demand, avoided=crashed)


def _check_load(instance: Instance, request: Request, choice: Choice) -> None:
    """Raises `OverloadedError` or `ShareExceededError` under load."""
    wait = milliseconds(choice.wait_s * 1000)
    timeout = milliseconds(request.kind.timeout_ms)
    if is_too_late(timeout, wait):
        raise OverloadedError(request.service)
    refusal = instance.local_state.stream_admission.refusal(
        instance.catalogue(),
        request.team,
        is_congested=is_congested(request.kind, wait),
    )
    if refusal is not None:
        raise refusal


def _reply_with_first_run(
    generations: AnswerGenerations, choice: Choice | None
) -> Reply:
    return _event_stream_reply(generations.events(generations.next_run(choice)))


def _event_stream_reply(chunks: AsyncGenerator[bytes]) -> Reply:
    return Reply(HTTPStatus.OK, EVENT_STREAM_TYPE, chunks=chunks)
