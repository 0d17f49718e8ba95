"""Calls to applications: idempotent, or at most once with a ticket."""

from http import HTTPStatus
from typing import Final
from uuid import uuid4

from masticstage.clock import milliseconds, to_milliseconds
from masticstage.dispatch import call_upstream, remaining_time
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
from masticstage.membership import MemberId
from masticstage.outcomes import Answer, CallOutcome, Outcome
from masticstage.owners import ask_witness, run_as_owner
from masticstage.placement import (
    build_demand,
    choose_placement,
    may_serve_here,
    pick_live_member,
)
from masticstage.relays import buffer_reply, forward
from masticstage.requests import JSON_TYPE, Reply, Request
from masticstage.residency import allowed_data_centres, may_transfer
from masticstage.results import unwrap_or_raise
from masticstage.tokens import Ticket

#: Attempts of one idempotent call, including the first.
_MAX_ATTEMPTS: Final = 3
#: Fraction of the remaining time that one attempt of an idempotent call may
#: take; the rest is left for retries.
_ATTEMPT_SHARE: Final = 0.5


async def run_idempotent_call(instance: Instance, request: Request) -> Reply:
    """Runs an idempotent call and retries it within the retry budget.

    Raises the failure of the last attempt.
    """
    instance.local_state.retry_budget.record_request()
    failure: MasticstageError = NoUpstreamError(request.service)
    for attempt in range(_MAX_ATTEMPTS):
        if attempt and not _may_retry(instance, failure):
            break
        try:
            return await _attempt_call(instance, request)
        except (
            UpstreamFailedError,
            UpstreamRefusedError,
            PeerUnreachableError,
        ) as error:
            failure = error
            instance.metrics.count('call_retry_causes')
    raise failure


async def run_ticketed_call(instance: Instance, request: Request) -> Reply:
    """Runs a call at most once, at the owner of its ticket.

    Raises `SealedError` when the call did not run and never will, and
    `OutcomeUnknownError` when it may have run.
    """
    if not request.ticket:
        raise TicketRequiredError(request.service)
    ticket = unwrap_or_raise(instance.signer.verify_ticket(request.ticket))
    _check_ticket_scope(instance, request, ticket)
    if ticket.owner == instance.identity:
        outcome = await run_as_owner(instance, request, ticket)
        return _reply_for_outcome(outcome, ticket)
    if request.is_forwarded and ticket.data_centre != instance.data_centre:
        raise OutcomeUnknownError(ticket.ticket_id)
    return await _forward_to_owner(instance, request, ticket)


async def issue_ticket(instance: Instance, request: Request) -> Reply:
    """Returns a reply with a signed ticket as text.

    The ticket is issued in a data centre that has an upstream for the call,
    since its owner dispatches the call to a local upstream.
    """
    demand = build_demand(request, '')
    placement = choose_placement(instance, request, demand)
    if placement.local is None and placement.transfer is not None:
        member = pick_live_member(instance, placement.transfer.data_centre)
        if member is None:
            raise NoUpstreamError(request.service)
        return await forward(instance, request, member)
    ticket = _new_ticket(instance, request)
    unwrap_or_raise(instance.local_state.owned_tickets.issue(ticket))
    signed = instance.signer.sign_ticket(ticket)
    return Reply(HTTPStatus.CREATED, 'text/plain', signed.encode())


async def _attempt_call(instance: Instance, request: Request) -> Reply:
    """Sends a call once, to another data centre or a local upstream."""
    placement = choose_placement(instance, request, build_demand(request, ''))
    if placement.transfer is not None:
        member = pick_live_member(instance, placement.transfer.data_centre)
        if member is not None:
            return await buffer_reply(await forward(instance, request, member))
    if placement.local is None:
        raise NoUpstreamError(request.service)
    upstream = placement.local.upstream
    if not may_serve_here(instance, request, upstream):
        raise NoUpstreamError(request.service)
    answer = await call_upstream(
        instance,
        request,
        upstream,
        _ATTEMPT_SHARE * remaining_time(instance, request),
    )
    return Reply(answer.status, answer.content_type, answer.body)


def _may_retry(instance: Instance, failure: MasticstageError) -> bool:
    """Returns whether to retry a call after a failure.

    Only retries of a call that may have run use the retry budget.
    """
    if isinstance(failure, RejectedError):
        return True
    return instance.local_state.retry_budget.try_retry()


def _check_ticket_scope(
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
        instance.configuration_version,
    )


def _choose_witness(instance: Instance) -> MemberId | None:
    member = pick_live_member(instance, instance.data_centre)
    return member.identity if member else None


async def _forward_to_owner(
    instance: Instance,
    request: Request,
    ticket: Ticket,
) -> Reply:
    """Returns the owner's reply, or the witness's if it is unreachable."""
    owner = instance.views.members.find(ticket.owner.name)
    if owner is not None and owner.identity == ticket.owner:
        if owner.data_centre == instance.data_centre or may_transfer(
            request.path,
            owner.data_centre,
        ):
            try:
                return await buffer_reply(
                    await forward(instance, request, owner),
                )
            except PeerUnreachableError:
                instance.metrics.count('owner_unreachable')
    answer = await ask_witness(instance, request, ticket)
    return _reply_for_outcome(answer.outcome, ticket)


def _reply_for_outcome(outcome: CallOutcome, ticket: Ticket) -> Reply:
    """Returns the answer of a call that ran.

    Raises `SealedError` or `OutcomeUnknownError` for the other outcomes.
    """
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
