"""Serves a caller's request: routes it, dispatches it, sends the answer."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final, final

import attrs
import trio

from masticstage.edges.charging import charge_team, give_back
from masticstage.edges.dispatch import count_in_flight, dispatch
from masticstage.edges.dispatch_outcome import DispatchOutcome, RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.health_checks import update_upstream_health
from masticstage.edges.http_server import Reply
from masticstage.edges.notices import rests_of
from masticstage.edges.refusals import (
    DRAINING_RETRY_AFTER,
    QUARANTINED,
    Refusal,
    find_route,
    send_refusal,
)
from masticstage.edges.streaming import (
    IdlePolicy,
    StreamTimes,
    forward_stream,
    is_reachable,
)
from masticstage.edges.team_keys import team_fields
from masticstage.exceptions import InvalidRequestError
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import AttemptHistory, Evidence
from masticstage.forwarding.timeouts import (
    first_answer_timeout,
    stream_idle_timeout,
)
from masticstage.forwarding.upstream_notices import retry_after_rest
from masticstage.forwarding.wire import DispatchOptions, RawRequest

_MS: Final = timedelta(milliseconds=1)
#: Sent as Retry-After when no upstream can take the request.
_NO_UPSTREAM_RETRY_AFTER: Final = timedelta(milliseconds=300)


@final
@attrs.define(eq=False)
class _RequestContext:
    """A caller's request with the state of its attempts.

    `deadline` is on the monotonic clock.  `media_type` is that of the stream
    that has begun.  `reason` and `retry_after` describe the refusal that is
    sent if no further upstream can be tried and none may have run the request;
    `unknown_reason` is sent if one may have.
    """

    gateway: Gateway
    reply: Reply
    routed: RoutedRequest
    deadline: timedelta
    history: AttemptHistory
    framer: EventFramer = attrs.field(factory=EventFramer)
    times: StreamTimes = attrs.field(factory=StreamTimes)
    last_failure: DispatchOutcome | None = None
    media_type: bytes = b''
    reason: str = 'no upstream'
    unknown_reason: str = 'the outcome is unknown'
    retry_after: timedelta = _NO_UPSTREAM_RETRY_AFTER

    @property
    def remaining(self) -> timedelta:
        """Time left until the earliest limit.

        Limits are those of the caller, of the route and of a planned stop.
        """
        ends_at = self.gateway.requests_end_at()
        deadline = min(self.deadline, ends_at) if ends_at else self.deadline
        return deadline - self.gateway.clock.elapsed()


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
    too_much = await charge_team(gateway, routed)
    if too_much is not None:
        await send_refusal(gateway, reply, request.request_id, too_much)
        return
    gateway.views.retry_budget.record_request(routed.service)
    allowance = min(request.allowance, routed.route.limit)
    context = _RequestContext(
        gateway,
        reply,
        routed,
        request.arrived + allowance,
        AttemptHistory(routed.route),
    )
    try:
        await _answer_before_stop(context)
    except trio.Cancelled:
        _record_end(context, 'caller_left', '')
        raise
    finally:
        if not context.history.may_have_run:
            give_back(gateway, routed)


async def _answer_before_stop(context: _RequestContext) -> None:
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
        await _end_unanswered(context)


async def _dispatch_until_answered(context: _RequestContext) -> None:
    """Dispatches until an answer is delivered or no attempt is left."""
    while True:
        await context.reply.stop_if_caller_left()
        choice = _choose_candidate(context)
        if choice is None:
            await _end_unanswered(context)
            return
        with count_in_flight(choice):
            outcome = await _dispatch_once(context, choice)
            if await _deliver_answer(context, choice, outcome):
                return


def _choose_candidate(context: _RequestContext) -> Choice | None:
    """Returns the upstream for the next attempt.

    If there is none, returns None and stores the reason in the context.
    """
    gateway, history = context.gateway, context.history
    routed = context.routed
    if not _may_dispatch(context):
        return None
    choice = gateway.views.chooser.choose(
        routed.request,
        routed.route,
        routed.service,
        history.tried,
    )
    if choice is None:
        _explain_rests(context)
        return None
    if not history.may_have_run and _is_predicted_too_late(context, choice):
        return None
    if history.has_reached_upstream and not _take_retry(context):
        return None
    return choice


def _explain_rests(context: _RequestContext) -> None:
    """Stores when to retry if all usable upstreams asked for a rest."""
    routed = context.routed
    rests = rests_of(context.gateway.views.fleet, routed.service)
    if rests and all(rests):
        context.reason = 'all upstreams rest'
        context.retry_after = retry_after_rest(rests, routed.request.request_id)


def _take_retry(context: _RequestContext) -> bool:
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


def _may_dispatch(context: _RequestContext) -> bool:
    """Returns whether time and evidence allow a dispatch; stores why not."""
    gateway, routed = context.gateway, context.routed
    if gateway.views.crash_causes.find_quarantined(routed.causes):
        context.reason = QUARANTINED
        context.retry_after = routed.request.allowance
        return False
    return context.remaining > timedelta() and context.history.may_dispatch()


def _is_predicted_too_late(context: _RequestContext, choice: Choice) -> bool:
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


async def _dispatch_once(
    context: _RequestContext,
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
    context: _RequestContext,
    choice: Choice,
    outcome: DispatchOutcome,
) -> bool:
    """Sends an answer to the caller; False if another attempt is needed."""
    if outcome.evidence is Evidence.ANSWERED:
        if outcome.connection is None and not context.reply.is_started:
            await _send_complete(context, outcome)
            return True
        try:
            return _is_continuation(context, outcome) and (
                await _forward_stream(context, choice, outcome)
            )
        finally:
            outcome.close()
    if outcome.evidence is Evidence.FAILED:
        context.last_failure = outcome
    return False


def _is_continuation(
    context: _RequestContext,
    outcome: DispatchOutcome,
) -> bool:
    """Returns whether an answer may go on with the stream that has begun.

    It must have the media type of the stream; a text about an error has not.
    """
    media_type = _media_type(outcome)
    if not context.reply.is_started:
        context.media_type = media_type
    return media_type == context.media_type


def _media_type(outcome: DispatchOutcome) -> bytes:
    headers = dict(outcome.head.headers) if outcome.head else {}
    return headers.get(b'content-type', b'')


async def _send_complete(
    context: _RequestContext,
    outcome: DispatchOutcome,
) -> None:
    if outcome.head is None:
        raise AssertionError('an answer has a head')
    await context.reply.send_complete(
        outcome.head.status,
        outcome.head.headers,
        outcome.body,
    )
    _record_end(context, 'answered', outcome.upstream)


async def _forward_stream(
    context: _RequestContext,
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
        await reply.send(outcome.body)
    else:
        await reply.start(
            outcome.head.status,
            outcome.head.headers,
            outcome.body,
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
        _record_end(context, 'answered', outcome.upstream)
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


def _idle_policy(context: _RequestContext, choice: Choice) -> IdlePolicy:
    """Keeps an idle stream open while time is left and its upstream is up."""

    async def may_continue() -> bool:
        if context.remaining <= timedelta():
            return False
        return await is_reachable(context.gateway, choice)

    return IdlePolicy(
        lambda: stream_idle_timeout(
            context.routed.route,
            context.history,
            context.remaining,
        ),
        may_continue,
        lambda: context.times.record(context.gateway.clock.elapsed()),
    )


async def _end_unanswered(context: _RequestContext) -> None:
    """Ends a request for which no upstream gave a complete answer."""
    if context.reply.is_started:
        # The connection is closed without the last chunk, so that the caller
        # sees that the answer is incomplete.
        _record_end(context, 'broken_off', '')
        return
    failure = context.last_failure
    if failure is not None and _may_return(context, failure):
        await _send_complete(context, failure)
        return
    request_id = context.routed.request.request_id
    await send_refusal(
        context.gateway,
        context.reply,
        request_id,
        attrs.evolve(
            _final_refusal(context), team_name=context.routed.team_name
        ),
    )
    _record_end(context, 'gave_up', '')


def _may_return(context: _RequestContext, failure: DispatchOutcome) -> bool:
    """Returns whether an upstream's own failure is returned; counts if not."""
    status = failure.head.status if failure.head else 0
    if context.history.may_return(status):
        return True
    context.gateway.metrics.count('promises_withheld')
    context.unknown_reason = f'an upstream ran it and answered {status}'
    return False


def _final_refusal(context: _RequestContext) -> Refusal:
    """Returns the refusal; a 503 means that no upstream ran the request."""
    if not context.history.may_have_run:
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            context.reason,
            context.retry_after,
        )
    if context.remaining <= timedelta():
        return Refusal(HTTPStatus.GATEWAY_TIMEOUT, 'time limit')
    return Refusal(HTTPStatus.BAD_GATEWAY, context.unknown_reason)


def _record_end(context: _RequestContext, outcome: str, upstream: str) -> None:
    """Counts and logs how a request ended; `outcome` is the event's name."""
    gateway, request = context.gateway, context.routed.request
    took = gateway.clock.elapsed() - request.arrived
    gateway.count_finished(context.routed.route.kind, outcome)
    gateway.metrics.record(f'{context.routed.route.kind.value}.total', took)
    gateway.log.record(
        outcome,
        request.request_id,
        upstream=upstream,
        took_ms=took // _MS,
        held_bytes=context.reply.held_bytes,
        **team_fields(context.routed.team_name),
        **_record_stream_times(context),
    )


def _record_stream_times(context: _RequestContext) -> dict[str, int]:
    """Records a stream's latencies; returns them as log fields (ms)."""
    times, metrics = context.times, context.gateway.metrics
    if times.first is None:
        return {}
    first = times.first - context.routed.request.arrived
    metrics.record('streaming.first', first)
    metrics.record('streaming.longest_pause', times.longest_pause)
    return {
        'first_ms': first // _MS,
        'longest_pause_ms': times.longest_pause // _MS,
    }
