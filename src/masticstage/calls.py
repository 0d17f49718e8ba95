"""Calls of applications: idempotent ones, and tickets that run once."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final
from uuid import uuid4

import trio

from masticstage.audit import Event
from masticstage.clock import milliseconds, to_milliseconds
from masticstage.configuration_schema import Upstream
from masticstage.exceptions import (
    InvalidTokenError,
    MasticstageError,
    NoUpstreamError,
    OutcomeUnknownError,
    PeerUnreachableError,
    RejectedError,
    SealedError,
    TicketRequiredError,
    UpstreamFailedError,
    UpstreamRefusedError,
)
from masticstage.instance import Instance
from masticstage.outcomes import (
    NOT_RUN,
    UNKNOWN,
    Answer,
    CallOutcome,
    Outcome,
)
from masticstage.peer_messages import (
    decode_witness_answer,
    encode_outcome,
)
from masticstage.placement import (
    demand_of,
    may_serve_here,
    pick_member,
    place,
)
from masticstage.relays import forward, read_whole
from masticstage.requests import JSON_TYPE, Reply, Request
from masticstage.residency import allowed_data_centres, may_transfer
from masticstage.results import unwrap_or_raise
from masticstage.tickets import Step, Verdict, WitnessAnswer
from masticstage.tokens import MemberId, Ticket

#: Attempts of a call, the first one included.
_MAX_ATTEMPTS: Final = 3
#: Part of the remaining time that the first attempt of a lookup may take.
_ATTEMPT_SHARE: Final = 0.5
_POLL_S: Final = 0.01
#: Time for which a dispatched call is awaited after its caller's deadline.
_LATE_ANSWER: Final = timedelta(seconds=60)


async def run_idempotent(instance: Instance, request: Request) -> Reply:
    """Runs a call that may be repeated, and retries it within its budget."""
    instance.books.budget.record_request()
    failure: MasticstageError = NoUpstreamError(request.service)
    for attempt in range(_MAX_ATTEMPTS):
        if attempt and not _may_retry(instance, failure):
            break
        try:
            return await _attempt(instance, request)
        except (
            UpstreamFailedError,
            UpstreamRefusedError,
            PeerUnreachableError,
        ) as error:
            failure = error
            instance.metrics.count('call_retry_causes')
    raise failure


async def run_ticket(instance: Instance, request: Request) -> Reply:
    """Runs a call that may not be repeated, at the owner of its ticket."""
    if not request.ticket:
        raise TicketRequiredError(request.service)
    ticket = unwrap_or_raise(instance.signer.verify_ticket(request.ticket))
    _check_ticket(instance, request, ticket)
    if ticket.owner == instance.identity:
        outcome = await _run_as_owner(instance, request, ticket)
        return _outcome_reply(outcome, ticket)
    if request.is_forwarded and ticket.data_centre != instance.data_centre:
        raise OutcomeUnknownError(ticket.ticket_id)
    return await _ask_owner(instance, request, ticket)


async def issue_ticket(instance: Instance, request: Request) -> Reply:
    """Issues a ticket at an instance that can serve the call itself."""
    demand = demand_of(request, '')
    placement = place(instance, request, demand)
    if placement.local is None and placement.transfer is not None:
        member = pick_member(instance, placement.transfer.data_centre)
        if member is None:
            raise NoUpstreamError(request.service)
        return await forward(instance, request, member)
    ticket = _new_ticket(instance, request)
    unwrap_or_raise(instance.books.owner.issue(ticket))
    signed = instance.signer.sign_ticket(ticket)
    return Reply(HTTPStatus.CREATED, 'text/plain', signed.encode())


async def _attempt(instance: Instance, request: Request) -> Reply:
    placement = place(instance, request, demand_of(request, ''))
    if placement.transfer is not None:
        member = pick_member(instance, placement.transfer.data_centre)
        if member is not None:
            return await read_whole(await forward(instance, request, member))
    if placement.local is None:
        raise NoUpstreamError(request.service)
    upstream = placement.local.upstream
    if not may_serve_here(instance, request, upstream):
        raise NoUpstreamError(request.service)
    answer = await _call_upstream(
        instance,
        request,
        upstream,
        _ATTEMPT_SHARE * _remaining(instance, request),
    )
    return Reply(answer.status, answer.content_type, answer.body)


async def _call_upstream(
    instance: Instance,
    request: Request,
    upstream: Upstream,
    timeout: timedelta,
) -> Answer:
    table = instance.views.upstreams
    started = instance.clock.elapsed()
    instance.audit.record(Event.ROUTED, request.request_id, upstream.name)
    table.begin(upstream.name)
    duration = None
    try:
        answer = await instance.connections.upstreams.call(
            upstream,
            request,
            timeout,
            {'X-Request-Id': request.request_id},
        )
        duration = instance.clock.elapsed() - started
    except (UpstreamFailedError, UpstreamRefusedError):
        table.avoid(upstream.name)
        raise
    finally:
        table.end(upstream.name, duration)
    return answer


def _may_retry(instance: Instance, failure: MasticstageError) -> bool:
    if isinstance(failure, RejectedError):
        return True
    return instance.books.budget.try_retry()


def _remaining(instance: Instance, request: Request) -> timedelta:
    return max(request.deadline - instance.clock.elapsed(), timedelta())


def _check_ticket(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> None:
    if ticket.team != request.team.name:
        raise InvalidTokenError('a ticket of this team')
    if ticket.service != request.service:
        raise InvalidTokenError('a ticket for this service')
    catalogue = instance.catalogue()
    allowed = allowed_data_centres(catalogue, request.team, request.kind)
    if ticket.data_centre not in allowed:
        raise InvalidTokenError('a ticket of an allowed data centre')


def _new_ticket(instance: Instance, request: Request) -> Ticket:
    timing = instance.settings.timing
    expires_at = instance.clock.now() + milliseconds(timing.ticket_ttl_ms)
    return Ticket(
        uuid4().hex,
        instance.identity,
        _choose_witness(instance),
        instance.data_centre,
        instance.settings.instance.region,
        request.team.name,
        request.service,
        to_milliseconds(expires_at),
        instance.version,
    )


def _choose_witness(instance: Instance) -> MemberId | None:
    member = pick_member(instance, instance.data_centre)
    return member.identity if member else None


async def _run_as_owner(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> CallOutcome:
    book = instance.books.owner
    step = book.step(ticket.ticket_id)
    if step is None:
        return UNKNOWN
    if step is Step.ISSUED and instance.drain.is_draining:
        book.settle(ticket.ticket_id, NOT_RUN)
    if book.begin(ticket.ticket_id):
        instance.nursery.start_soon(_execute, instance, request, ticket)
    with trio.move_on_after(_remaining(instance, request).total_seconds()):
        while book.step(ticket.ticket_id) is not Step.SETTLED:
            await trio.sleep(_POLL_S)
    return book.outcome(ticket.ticket_id)


async def _execute(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> None:
    """Runs a begun call to its end, whatever becomes of its caller."""
    book = instance.books.owner
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
    answer = await _call_upstream(instance, request, upstream, _LATE_ANSWER)
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


async def _ask_owner(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> Reply:
    owner = instance.views.members.find(ticket.owner.name)
    if owner is not None and owner.identity == ticket.owner:
        if owner.data_centre == instance.data_centre or may_transfer(
            request.path,
            owner.data_centre,
        ):
            try:
                return await read_whole(
                    await forward(instance, request, owner),
                )
            except PeerUnreachableError:
                instance.metrics.count('owner_unreachable')
    answer = await _ask_witness(instance, request, ticket)
    return _outcome_reply(answer.outcome, ticket)


async def _ask_witness(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> WitnessAnswer:
    unknown = WitnessAnswer(Verdict.REFUSED)
    if ticket.witness is None:
        return unknown
    if ticket.witness == instance.identity:
        return instance.books.witness.ask(ticket)
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


def _outcome_reply(outcome: CallOutcome, ticket: Ticket) -> Reply:
    if outcome.outcome is Outcome.NOT_RUN:
        raise SealedError(ticket.ticket_id)
    if outcome.outcome is Outcome.UNKNOWN:
        raise OutcomeUnknownError(ticket.ticket_id)
    answer = outcome.answer or Answer(
        HTTPStatus.OK, JSON_TYPE, b'{"outcome": "ran"}'
    )
    return Reply(
        answer.status,
        answer.content_type,
        answer.body,
        headers=(('Masticstage-Outcome', Outcome.RAN.value),),
    )
