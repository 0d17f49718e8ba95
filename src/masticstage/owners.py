"""Execution of ticketed calls by their owner, and queries to witnesses."""

from datetime import timedelta
from typing import Final

import trio

from masticstage.audit import Event
from masticstage.dispatch import call_upstream, remaining_time
from masticstage.exceptions import (
    MasticstageError,
    NoUpstreamError,
    PeerUnreachableError,
    RejectedError,
)
from masticstage.instance import Instance
from masticstage.outcomes import NOT_RUN, UNKNOWN, CallOutcome, Outcome
from masticstage.peer_messages import (
    decode_witness_answer,
    encode_outcome,
)
from masticstage.placement import build_demand, choose_placement, may_serve_here
from masticstage.requests import Request
from masticstage.tickets import TicketState, Verdict, WitnessAnswer
from masticstage.tokens import Ticket

#: Attempts to dispatch a call, as long as upstreams refuse the connection.
_MAX_ATTEMPTS: Final = 3
_POLL_INTERVAL_S: Final = 0.01
#: Timeout of a dispatched call.  It does not depend on the caller's deadline,
#: because the outcome is also kept for retries of the ticket.
_ANSWER_TIMEOUT: Final = timedelta(seconds=60)


async def run_as_owner(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> CallOutcome:
    """Starts a call unless it was started before, and awaits its outcome.

    Returns `UNKNOWN` when the call has no outcome by the request's deadline.
    """
    tickets = instance.local_state.owned_tickets
    state = tickets.state(ticket.ticket_id)
    if state is None:
        return UNKNOWN
    if state is TicketState.ISSUED and instance.drain.is_draining:
        tickets.settle(ticket.ticket_id, NOT_RUN)
    if tickets.begin(ticket.ticket_id):
        instance.nursery.start_soon(_execute_call, instance, request, ticket)
    with trio.move_on_after(remaining_time(instance, request).total_seconds()):
        while tickets.state(ticket.ticket_id) is not TicketState.SETTLED:
            await trio.sleep(_POLL_INTERVAL_S)
    return tickets.outcome(ticket.ticket_id)


async def _execute_call(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> None:
    """Runs a call to its end, even if its caller disconnects."""
    tickets = instance.local_state.owned_tickets
    verdict = await _request_acknowledgement(instance, request, ticket)
    if tickets.authorize(ticket.ticket_id, verdict):
        outcome = await _dispatch_call(instance, request, ticket)
        tickets.settle(ticket.ticket_id, _drop_large_answer(instance, outcome))
    recorded = tickets.outcome(ticket.ticket_id)
    instance.audit.record(
        Event.TICKET_SETTLED,
        ticket.ticket_id,
        recorded.outcome.value,
    )
    await _copy_outcome_to_witness(instance, request, ticket, recorded)


async def _request_acknowledgement(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> Verdict:
    """Returns the witness's verdict on the intent to dispatch the call."""
    if ticket.witness is None:
        return Verdict.ACKNOWLEDGED
    witness = instance.views.members.find(ticket.witness.name)
    if witness is None or witness.identity != ticket.witness:
        return Verdict.REFUSED
    started = instance.clock.elapsed()
    try:
        reply = await instance.connections.peers.intend(
            witness.peer_address,
            request.ticket,
        )
    except PeerUnreachableError:
        return Verdict.REFUSED
    instance.metrics.record('witness', instance.clock.elapsed() - started)
    return decode_witness_answer(reply).verdict


async def _dispatch_call(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> CallOutcome:
    """Sends the call; retries only if no upstream has received it."""
    for _ in range(_MAX_ATTEMPTS):
        if request.deadline <= instance.clock.elapsed():
            return NOT_RUN
        try:
            return await _attempt_dispatch(instance, request)
        except RejectedError as error:
            instance.audit.record(
                Event.REFUSED,
                ticket.ticket_id,
                str(error),
            )
        except MasticstageError:
            return UNKNOWN
    return NOT_RUN


async def _attempt_dispatch(
    instance: Instance, request: Request
) -> CallOutcome:
    placement = choose_placement(instance, request, build_demand(request, ''))
    if placement.local is None:
        raise NoUpstreamError(request.service)
    upstream = placement.local.upstream
    if not may_serve_here(instance, request, upstream):
        raise NoUpstreamError(request.service)
    answer = await call_upstream(instance, request, upstream, _ANSWER_TIMEOUT)
    return CallOutcome(Outcome.RAN, answer)


def _drop_large_answer(instance: Instance, outcome: CallOutcome) -> CallOutcome:
    """Drops an answer that is too large to be kept for retries."""
    answer = outcome.answer
    limit = instance.settings.limits.outcome_bytes
    if answer is None or len(answer.body) <= limit:
        return outcome
    return CallOutcome(outcome.outcome)


async def _copy_outcome_to_witness(
    instance: Instance,
    request: Request,
    ticket: Ticket,
    outcome: CallOutcome,
) -> None:
    if ticket.witness is None or outcome.outcome is Outcome.UNKNOWN:
        return
    witness = instance.views.members.find(ticket.witness.name)
    if witness is None:
        return
    try:
        await instance.connections.peers.copy_outcome(
            witness.peer_address,
            request.ticket,
            encode_outcome(outcome),
        )
    except PeerUnreachableError:
        instance.metrics.count('outcome_copy_failed')


def answer_as_witness(instance: Instance, ticket: Ticket) -> WitnessAnswer:
    """Returns this witness's record of a ticket.

    A ticket without a recorded intent is sealed, which is audited.
    """
    answer = instance.local_state.witnessed_tickets.seal_or_report(ticket)
    if answer.verdict is Verdict.SEALED:
        instance.audit.record(
            Event.TICKET_SEALED,
            ticket.ticket_id,
            f'owner {ticket.owner.name} unreachable, no intent received',
        )
    return answer


async def ask_witness(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> WitnessAnswer:
    """Returns the record of a ticket's witness.

    The verdict is `REFUSED`, with an unknown outcome, when the ticket has no
    witness or the witness is unreachable.
    """
    unknown = WitnessAnswer(Verdict.REFUSED)
    if ticket.witness is None:
        return unknown
    if ticket.witness == instance.identity:
        return answer_as_witness(instance, ticket)
    witness = instance.views.members.find(ticket.witness.name)
    if witness is None:
        return unknown
    try:
        reply = await instance.connections.peers.ask(
            witness.peer_address,
            request.ticket,
        )
    except PeerUnreachableError:
        return unknown
    return decode_witness_answer(reply)
