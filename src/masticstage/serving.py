"""Serves one checked request, whichever way it arrived."""

from masticstage.audit import Event
from masticstage.calls import issue_ticket, run_idempotent, run_ticket
from masticstage.exceptions import (
    MasticstageError,
    RejectedError,
    SealedError,
    TicketUndecidedError,
)
from masticstage.instance import Instance
from masticstage.models import answer_model
from masticstage.problems import problem_reply
from masticstage.requests import TICKET_TARGET, Reply, Request


async def serve(instance: Instance, request: Request) -> Reply:
    """Returns the reply to a request; failures become problem replies."""
    started = instance.clock.elapsed()
    try:
        reply = await _serve(instance, request)
    except MasticstageError as error:
        return refuse(instance, error, request.request_id, request.ticket)
    finally:
        instance.metrics.record(
            f'{request.service}.{request.kind.name}.reply',
            instance.clock.elapsed() - started,
        )
    return reply


def refuse(
    instance: Instance,
    failure: MasticstageError,
    request_id: str,
    ticket: str,
) -> Reply:
    """Returns the problem reply to a failure and records it.

    For a request with a ticket only a seal proves `not_run`, wherever the
    request was refused: an earlier copy of it may have run.
    """
    error = failure
    if ticket and _is_unproved(failure):
        error = TicketUndecidedError(str(failure))
    instance.audit.record(Event.REFUSED, request_id, str(error))
    instance.metrics.count(f'refused_{error.code}')
    return problem_reply(error, request_id, instance.configuration_version)


def _is_unproved(failure: MasticstageError) -> bool:
    if isinstance(failure, SealedError):
        return False
    return isinstance(failure, RejectedError)


async def _serve(instance: Instance, request: Request) -> Reply:
    if request.ticket:
        return await run_ticket(instance, request)
    service = instance.check_accepting().services[request.service]
    if service.type == 'model':
        return await answer_model(instance, request)
    return await _serve_call(instance, request)


async def _serve_call(instance: Instance, request: Request) -> Reply:
    limits = instance.local_state.call_admission
    refusal = limits.refusal(
        instance.catalogue(),
        request.team,
        is_congested=False,
    )
    if refusal is not None:
        raise refusal
    limits.open(request.team.name)
    try:
        return await _run_call(instance, request)
    finally:
        limits.close(request.team.name)


async def _run_call(instance: Instance, request: Request) -> Reply:
    if request.target == TICKET_TARGET:
        return await issue_ticket(instance, request)
    if request.kind.idempotent:
        return await run_idempotent(instance, request)
    return await run_ticket(instance, request)
