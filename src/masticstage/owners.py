"""Execution of ticketed calls by the owner, and questions to witnesses."""

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
from masticstage.placement import demand_of, may_serve_here, place
from masticstage.requests import Request
from masticstage.tickets import TicketState, Verdict, WitnessAnswer
from masticstage.tokens import Ticket

#: Upstreams tried when connections are refused.
_MAX_ATTEMPTS: Final = 3
_POLL_S: Final = 0.01
#: Time for which a dispatched call is awaited, whatever its caller does.
_LATE_ANSWER: Final = timedelta(seconds=60)


async def run_as_owner(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> CallOutcome:
    """Starts a call unless it was started; returns what is known in time."""
    book = instance.local_state.owned_tickets
    state = book.state(ticket.ticket_id)
    if state is None:
        return UNKNOWN
    if state is TicketState.ISSUED and instance.drain.is_draining:
        book.settle(ticket.ticket_id, NOT_RUN)
    if book.begin(ticket.ticket_id):
        instance.nursery.start_soon(_execute, instance, request, ticket)
    with trio.move_on_after(remaining_time(instance, request).total_seconds()):
        while book.state(ticket.ticket_id) is not TicketState.SETTLED:
            await trio.sleep(_POLL_S)
    return book.outcome(ticket.ticket_id)


async def _execute(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> None:
    """Runs a begun call to its end, whatever becomes of its caller."""
    book = instance.local_state.owned_tickets
    verdict = await _intend(instance, request, ticket)
    if book.authorize(ticket.ticket_id, verdict):
        outcome = await _dispatch(instance, request, ticket)
        book.settle(ticket.ticket_id, _bounded(instance, outcome))
    settled = book.outcome(ticket.ticket_id)
    instance.audit.record(
        Event.TICKET_SETTLED,
        ticket.ticket_id,
        settled.outcome.value,
    )
    await _copy_to_witness(instance, request, ticket, settled)


async def _intend(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> Verdict:
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


async def _dispatch(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> CallOutcome:
    """Sends the call once; a refused connection allows another try."""
    for _ in range(_MAX_ATTEMPTS):
        if request.deadline <= instance.clock.elapsed():
            return NOT_RUN
        try:
            return await _dispatch_once(instance, request)
        except RejectedError as error:
            instance.audit.record(
                Event.REFUSED,
                ticket.ticket_id,
                str(error),
            )
        except MasticstageError:
            return UNKNOWN
    return NOT_RUN


async def _dispatch_once(instance: Instance, request: Request) -> CallOutcome:
    placement = place(instance, request, demand_of(request, ''))
    if placement.local is None:
        raise NoUpstreamError(request.service)
    upstream = placement.local.upstream
    if not may_serve_here(instance, request, upstream):
        raise NoUpstreamError(request.service)
    answer = await call_upstream(instance, request, upstream, _LATE_ANSWER)
    return CallOutcome(Outcome.RAN, answer)


def _bounded(instance: Instance, outcome: CallOutcome) -> CallOutcome:
    """Drops an answer that is too large to be held for repeats."""
    answer = outcome.answer
    limit = instance.settings.limits.outcome_bytes
    if answer is None or len(answer.body) <= limit:
        return outcome
    return CallOutcome(outcome.outcome)


async def _copy_to_witness(
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


def ask_as_witness(instance: Instance, ticket: Ticket) -> WitnessAnswer:
    """Tells what this witness holds of a ticket; a seal is audited."""
    answer = instance.local_state.witnessed_tickets.seal_or_report(ticket)
    if answer.verdict is Verdict.SEALED:
        instance.audit.record(
            Event.TICKET_SEALED,
            ticket.ticket_id,
            f'owner {ticket.owner.name} did not answer for it',
        )
    return answer


async def ask_witness(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> WitnessAnswer:
    """Asks the witness of a ticket; the outcome is unknown without it."""
    unknown = WitnessAnswer(Verdict.REFUSED)
    if ticket.witness is None:
        return unknown
    if ticket.witness == instance.identity:
        return ask_as_witness(instance, ticket)
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
