"""Serves a caller's request: routes it, dispatches it, sends the answer."""

from datetime import timedelta
from http import HTTPStatus

import attrs
import trio

from masticstage.edges.attempts import choose_candidate
from masticstage.edges.charging import charge_team, give_back
from masticstage.edges.continuations import accept_answer
from masticstage.edges.dispatch import count_in_flight, dispatch
from masticstage.edges.dispatch_outcome import DispatchOutcome
from masticstage.edges.endings import end_unanswered, record_end, send_answer
from masticstage.edges.gateway import Gateway
from masticstage.edges.health_checks import update_upstream_health
from masticstage.edges.http_server import Reply
from masticstage.edges.origins.take_ups import find_origin
from masticstage.edges.refusals import (
    DRAINING_RETRY_AFTER,
    Refusal,
    find_route,
    send_refusal,
)
from masticstage.edges.request_context import RequestContext
from masticstage.edges.streaming import (
    IdlePolicy,
    forward_stream,
    is_reachable,
)
from masticstage.exceptions import InvalidRequestError
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.evidence import AttemptHistory, Evidence
from masticstage.forwarding.timeouts import (
    first_answer_timeout,
    stream_idle_timeout,
)
from masticstage.forwarding.wire import DispatchOptions, RawRequest


async def serve_caller(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    """Answers one request of a caller and counts it while it is open."""
    gateway.activity.open_requests += 1
    try:
        await _serve(gateway, raw, reply)
    finally:
        gateway.activity.open_requests -= 1


async def _serve(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    try:
        request = gateway.wire.read_request(raw)
    except InvalidRequestError as error:
        refusal = Refusal(HTTPStatus.BAD_REQUEST, str(error))
        await send_refusal(gateway, reply, '', refusal)
        return
    routed = await find_route(gateway, request)
    if isinstance(routed, Refusal):
        await send_refusal(gateway, reply, request.request_id, routed)
        return
    routed = await find_origin(gateway, routed)
    if isinstance(routed, Refusal):
        await send_refusal(gateway, reply, request.request_id, routed)
        return
    too_much = await charge_team(gateway, routed)
    if too_much is not None:
        await send_refusal(gateway, reply, request.request_id, too_much)
        return
    gateway.views.retry_budget.record_request(routed.service)
    allowance = min(request.allowance, routed.route.limit)
    context = RequestContext(
        gateway,
        reply,
        routed,
        request.arrived + allowance,
        AttemptHistory(routed.route),
    )
    try:
        await _answer_before_stop(context)
    except trio.Cancelled:
        record_end(context, 'caller_left', '')
        raise
    finally:
        if not context.history.may_have_run:
            give_back(gateway, routed)


async def _answer_before_stop(context: RequestContext) -> None:
    """Answers a request; in time also if the instance stops before its end."""
    open_scopes = context.gateway.activity.open_scopes
    with trio.CancelScope() as scope:
        open_scopes.add(scope)
        try:
            await _dispatch_until_answered(context)
        finally:
            open_scopes.discard(scope)
    if scope.cancelled_caught:
        context.reason = 'stopping'
        context.retry_after = DRAINING_RETRY_AFTER
        await end_unanswered(context)


async def _dispatch_until_answered(context: RequestContext) -> None:
    """Dispatches until an answer is delivered or no attempt is left."""
    while True:
        await context.reply.stop_if_caller_left()
        choice = await choose_candidate(context)
        if choice is None:
            await end_unanswered(context)
            return
        with count_in_flight(choice):
            outcome = await _dispatch_once(context, choice)
            if await _deliver_answer(context, choice, outcome):
                return


async def _dispatch_once(
    context: RequestContext,
    choice: Choice,
) -> DispatchOutcome:
    """Dispatches to the chosen upstream and records the attempt."""
    gateway, routed = context.gateway, context.routed
    candidate = choice.candidate
    if candidate.via is None and gateway.views.chooser.is_cold(
        candidate.known_upstream
    ):
        gateway.views.chooser.record_cold_dispatch(choice)
    options = DispatchOptions(
        choice.upstream,
        context.remaining - gateway.views.chooser.one_way_delay(candidate),
        routed.route.priority,
        context.framer.last_id,
        choice.fetch_from,
    )
    timeout = first_answer_timeout(
        routed.route,
        context.history,
        choice.expected_s,
        context.remaining,
    )
    tried = frozenset(context.history.tried)
    try:
        outcome = await dispatch(
            gateway,
            attrs.evolve(routed, tried=tried),
            choice,
            options,
            context.framer,
            timeout,
            context.reply,
        )
    except trio.Cancelled:
        context.history.record(choice.upstream, Evidence.MAY_HAVE_RUN)
        raise
    context.history.record(outcome.upstream, outcome.evidence)
    context.history.tried.add(choice.upstream)
    await update_upstream_health(gateway, routed, choice, outcome)
    return outcome


async def _deliver_answer(
    context: RequestContext,
    choice: Choice,
    outcome: DispatchOutcome,
) -> bool:
    """Sends an answer to the caller; False if another attempt is needed."""
    if outcome.evidence is Evidence.ANSWERED:
        try:
            return accept_answer(context, outcome) and (
                await _forward(context, choice, outcome)
            )
        finally:
            outcome.close()
    if outcome.evidence is Evidence.FAILED:
        context.last_failure = outcome
    return False


async def _forward(
    context: RequestContext,
    choice: Choice,
    outcome: DispatchOutcome,
) -> bool:
    """Forwards an answer; False if it is a stream that broke."""
    if outcome.connection is None and not context.reply.is_started:
        await send_answer(context, outcome)
        return True
    return await _forward_stream(context, choice, outcome)


async def _forward_stream(
    context: RequestContext,
    choice: Choice,
    outcome: DispatchOutcome,
) -> bool:
    """Forwards the events of a stream; False if it broke before its end."""
    reply = context.reply
    if outcome.head is None:
        raise AssertionError('an answer has a head')
    idle_policy = _idle_policy(context, choice)
    idle_policy.on_events()
    if reply.is_started:
        await reply.send(outcome.take_body())
    else:
        await reply.start(
            outcome.head.status,
            outcome.head.headers,
            outcome.take_body(),
        )
    reason = await forward_stream(
        context.gateway,
        context.routed,
        choice,
        outcome,
        context.framer,
        reply,
        idle_policy,
    )
    if not reason:
        await reply.finish()
        record_end(context, 'answered', outcome.upstream)
        outcome.release()
        return True
    outcome.close()
    context.gateway.log.record(
        'stream_broken',
        context.routed.request.request_id,
        upstream=outcome.upstream,
        last_event=context.framer.last_id,
        reason=reason,
    )
    broken = DispatchOutcome(Evidence.MAY_HAVE_RUN, outcome.upstream, reason)
    await update_upstream_health(
        context.gateway, context.routed, choice, broken
    )
    return False


def _idle_policy(context: RequestContext, choice: Choice) -> IdlePolicy:
    """Keeps an idle stream open while time is left and its upstream is up."""

    async def may_continue() -> bool:
        if context.stream_remaining <= timedelta():
            return False
        return await is_reachable(context.gateway, choice)

    return IdlePolicy(
        lambda: stream_idle_timeout(
            context.routed.route,
            context.history,
            context.stream_remaining,
        ),
        may_continue,
        lambda: context.times.record(context.gateway.clock.elapsed()),
    )
