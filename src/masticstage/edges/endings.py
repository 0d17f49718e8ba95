"""Ends a request: with an upstream's answer, a refusal, or unfinished."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final

import attrs

from masticstage.edges.dispatch_outcome import DispatchOutcome
from masticstage.edges.refusals import Refusal, send_refusal
from masticstage.edges.request_context import RequestContext
from masticstage.edges.team_keys import team_fields

_MS: Final = timedelta(milliseconds=1)


async def send_answer(
    context: RequestContext,
    outcome: DispatchOutcome,
) -> None:
    """Sends an upstream's complete answer to the caller."""
    if outcome.head is None:
        raise AssertionError('an answer has a head')
    await context.reply.send_complete(
        outcome.head.status,
        outcome.head.headers,
        outcome.body,
    )
    record_end(context, 'answered', outcome.upstream)


async def end_unanswered(context: RequestContext) -> None:
    """Ends a request for which no upstream gave a complete answer."""
    if context.reply.is_started:
        # The connection is closed without the last chunk, so that the caller
        # sees that the answer is incomplete.
        record_end(context, 'broken_off', '')
        return
    failure = context.last_failure
    if failure is not None and _may_return(context, failure):
        await send_answer(context, failure)
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
    record_end(context, 'gave_up', '')


def _may_return(context: RequestContext, failure: DispatchOutcome) -> bool:
    """Returns whether an upstream's own failure is returned; counts if not."""
    status = failure.head.status if failure.head else 0
    if context.history.may_return(status):
        return True
    context.gateway.metrics.count('promises_withheld')
    context.unknown_reason = f'an upstream ran it and answered {status}'
    return False


def _final_refusal(context: RequestContext) -> Refusal:
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


def record_end(context: RequestContext, outcome: str, upstream: str) -> None:
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


def _record_stream_times(context: RequestContext) -> dict[str, int]:
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
