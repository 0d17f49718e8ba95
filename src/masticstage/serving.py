"""Serves one checked request, from a caller or another instance."""

from masticstage.audit import Event
from masticstage.calls import (
    issue_ticket,
    run_idempotent_call,
    run_ticketed_call,
)
from masticstage.exceptions import (
    MasticstageError,
    RejectedError,
    SealedError,
    TicketUndecidedError,
)
from masticstage.instance import Instance
from masticstage.models import serve_model_request
from masticstage.problems import problem_reply
from masticstage.requests import TICKET_TARGET, Reply, Request


async def serve(instance: Instance, request: Request) -> Reply:
    """Returns the reply to a request; failures become problem replies."""
    started = instance.clock.elapsed()
    try:
        reply = await _route_request(instance, request)
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

    An earlier copy of a request with a ticket may have run, so only a sealed
    ticket proves `not_run`.  Other refusals leave the ticket undecided.
    """
    error = failure
    if ticket and _is_refusal_without_seal(failure):
        error = TicketUndecidedError(str(failure))
    instance.audit.record(Event.REFUSED, request_id, str(error))
    instance.metrics.count(f'refused_{error.code}')
    return problem_reply(error, request_id, instance.configuration_version)


def _is_refusal_without_seal(failure: MasticstageError) -> bool:
    if isinstance(failure, SealedError):
        return False
    return isinstance(failure, RejectedError)


async def _route_request(instance: Instance, request: Request) -> Reply:
    if request.ticket:
        return await run_ticketed_call(instance, request)
    service = instance.check_accepting().services[request.service]
    if service.type == 'model':
        return await serve_model_request(instance, request)
    return await _serve_limited_call(instance, request)


async def _serve_limited_call(instance: Instance, request: Request) -> Reply:
    """Serves a call that counts towards its team's share of open calls."""
    admission = instance.local_state.call_admission
    refusal = admission.refusal(
        instance.catalogue(),
        request.team,
        is_congested=False,
    )
    if refusal is not None:
        raise refusal
    admission.open(request.team.name)
    try:
        return await _serve_call(instance, request)
    finally:
        admission.close(request.team.name)


async def _serve_call(instance: Instance, request: Request) -> Reply:
    if request.target == TICKET_TARGET:
        return await issue_ticket(instance, request)
    if request.kind.idempotent:
        return await run_idempotent_call(instance, request)
    return await run_ticketed_call(instance, request)
