"""Chooses the upstream for a request's next attempt, or why there is none."""

from datetime import timedelta
from functools import partial

from masticstage.edges.notices import rests_of
from masticstage.edges.refusals import QUARANTINED
from masticstage.edges.request_context import RequestContext
from masticstage.edges.warmups.confirmations import choose_confirmed
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.upstream_notices import retry_after_rest


async def choose_candidate(context: RequestContext) -> Choice | None:
    """Returns the upstream for the next attempt.

    If there is none, returns None and stores the reason in the context.
    """
    choice = await choose_confirmed(context.gateway, partial(_choose, context))
    if choice is None:
        return None
    if context.history.has_reached_upstream and not _take_retry(context):
        return None
    return choice


def _choose(context: RequestContext) -> Choice | None:
    """Returns the best upstream now; stores the reason if there is none."""
    gateway, history = context.gateway, context.history
    routed = context.routed
    if not _may_dispatch(context):
        return None
    choice = gateway.views.chooser.choose(
        routed.request,
        routed.route,
        routed.service,
        history.tried,
        routed.origin,
    )
    if choice is None:
        _explain_rests(context)
        _explain_version(context)
        return None
    if not history.may_have_run and _is_predicted_too_late(context, choice):
        return None
    return choice


def _explain_rests(context: RequestContext) -> None:
    """Stores when to retry if all usable upstreams asked for a rest."""
    routed = context.routed
    rests = rests_of(context.gateway.views.fleet, routed.service)
    if rests and all(rests):
        context.reason = 'all upstreams rest'
        context.retry_after = retry_after_rest(rests, routed.request.request_id)


def _explain_version(context: RequestContext) -> None:
    """Stores that a stream cannot go on, if its version is not in service."""
    routed = context.routed
    if routed.origin is None:
        return
    versions = {
        known.record.software
        for known in context.gateway.views.fleet.all_upstreams()
        if known.record.service == routed.service
        and not context.gateway.views.fleet.is_leaving(known.record.name)
    }
    if not any(map(routed.origin.allows, versions)):
        context.reason = 'the version that began the stream has left'
        context.retry_after = routed.request.allowance


def _take_retry(context: RequestContext) -> bool:
    """Takes a retry from the budget; stores the reason if none is left."""
    gateway, routed = context.gateway, context.routed
    budget = gateway.views.retry_budget
    if budget.try_retry(routed.service):
        gateway.metrics.count('retries')
        return True
    gateway.metrics.count('retries_refused')
    gateway.log.record(
        'retry_refused',
        routed.request.request_id,
        service=routed.service,
        used=budget.used(routed.service),
    )
    context.reason = 'budget of repeats is used up'
    return False


def _may_dispatch(context: RequestContext) -> bool:
    """Returns whether time and evidence allow a dispatch; stores why not."""
    gateway, routed = context.gateway, context.routed
    if gateway.views.crash_causes.find_quarantined(routed.causes):
        context.reason = QUARANTINED
        context.retry_after = routed.request.allowance
        return False
    return context.remaining > timedelta() and context.history.may_dispatch()


def _is_predicted_too_late(context: RequestContext, choice: Choice) -> bool:
    """Returns whether the predicted wait is too long for the request.

    If so, stores the reason and the Retry-After time in the context.
    """
    routed, overload = context.routed, context.gateway.views.overload
    table = context.gateway.views.fleet.table
    predicted = timedelta(seconds=choice.expected_s)
    excess = context.gateway.quotas.balances.excess(routed.team_name)
    if table is None:
        return False
    longest_wait_allowed = overload.longest_wait(
        table,
        routed.route,
        routed.fingerprint,
        context.remaining,
        excess,
    )
    if predicted <= longest_wait_allowed:
        return False
    demand = f', team at {excess:.1f} times its share' if excess > 1 else ''
    context.reason = f'expected in {choice.expected_s:.2f} s{demand}'
    context.retry_after = overload.reserve_retry(
        routed.fingerprint,
        routed.route,
        predicted,
    )
    return True
