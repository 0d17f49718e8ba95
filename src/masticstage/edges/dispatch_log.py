"""Logs dispatches and their outcomes, and learns from the outcomes."""

from datetime import timedelta
from typing import Final

from masticstage.edges.crash_evidence import record_answer
from masticstage.edges.dispatch_outcome import DispatchOutcome, RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.notices import describe_notices
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.requests import Prompt
from masticstage.forwarding.wire import DispatchOptions

_MS: Final = timedelta(milliseconds=1)


def record_dispatch(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    options: DispatchOptions,
    timeout: timedelta,
) -> None:
    """Logs that a request is sent to an upstream, and from which inputs."""
    waited = gateway.clock.elapsed() - routed.request.arrived
    gateway.log.record(
        'dispatched',
        routed.request.request_id,
        upstream=choice.upstream,
        via=(
            choice.candidate.via.identity.name if choice.candidate.via else None
        ),
        expected_ms=round(choice.expected_s * 1000),
        remaining_ms=options.remaining // _MS,
        in_flight=choice.candidate.counters.in_flight,
        bound_ms=timeout // _MS,
        waited_ms=waited // _MS,
        tried=sorted(routed.tried),
        left_out=describe_notices(gateway.views.fleet, routed.service),
        **_warm_up_fields(gateway, choice),
        **_stream_fields(routed, choice, options),
        **_prompt_fields(routed.request.prompt, choice),
    )


def record_outcome(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    outcome: DispatchOutcome,
    took_s: float,
) -> None:
    """Logs the end of a dispatch; updates the load and health state."""
    loads = gateway.views.loads
    state = choice.candidate.state
    gateway.log.record(
        'dispatch_ended',
        routed.request.request_id,
        upstream=outcome.upstream,
        evidence=outcome.evidence.value,
        reason=outcome.reason,
        status=outcome.head.status if outcome.head else None,
        took_ms=round(took_s * 1000),
        **_basis_fields(outcome),
    )
    if outcome.upstream != choice.upstream:
        # The peer chose another upstream. Its region reports the load on that.
        return
    is_relayed = choice.candidate.via is not None
    if not is_relayed:
        gateway.views.chooser.pacer.record_outcome(
            choice, routed.route, outcome.evidence, took_s
        )
    if outcome.evidence is Evidence.ANSWERED:
        if outcome.connection is None:
            record_answer(gateway, routed.causes)
        loads.record_outcome(state, is_failure=False, is_relayed=is_relayed)
        prompt = routed.request.prompt
        state.cache.record_prefill(prompt)
        if not is_relayed:
            gateway.views.prefix_reports.observe(
                choice.upstream, prompt.shared_prefix
            )
            _record_times(gateway, routed, choice, took_s)
        return
    is_failure = outcome.evidence is not Evidence.NOT_RUN
    loads.record_outcome(state, is_failure=is_failure, is_relayed=is_relayed)


def _warm_up_fields(gateway: Gateway, choice: Choice) -> dict[str, int]:
    """Returns how long the upstream is taken for cold, for the log."""
    known = choice.candidate.known_upstream
    left = known.cold_until - gateway.clock.elapsed()
    return {'cold_ms': left // _MS} if left > timedelta() else {}


def _stream_fields(
    routed: RoutedRequest, choice: Choice, options: DispatchOptions
) -> dict[str, str]:
    """Returns what a stream goes on from, and at which version, for the log."""
    if not routed.is_stream:
        return {}
    request = routed.request
    fields = {'software': choice.candidate.known_upstream.record.software}
    last_event = options.last_event_id or request.last_event_id
    if last_event:
        fields.update(last_event=last_event, resumes=request.resumes)
    return fields


def _prompt_fields(prompt: Prompt, choice: Choice) -> dict[str, object]:
    """Returns what was assumed about the prompt, for the log."""
    if not prompt.tokens_in:
        return {}
    prefix = prompt.shared_prefix
    return {
        'prefix': prefix[-1].part_id if prefix else '',
        'parts': [part.part_id for part in prefix],
        'tokens_in': prompt.tokens_in,
        'uncached': choice.uncached_tokens,
        'unverified': choice.unverified_tokens,
        'backlog': round(choice.backlog_tokens),
        'fetch_from': choice.fetch_from,
    }


def _basis_fields(outcome: DispatchOutcome) -> dict[str, object]:
    """Returns what the evidence was taken from, for the log.

    An answer that was forwarded needs no explanation.
    """
    basis = outcome.basis
    if basis is None or outcome.evidence is Evidence.ANSWERED:
        return {}
    return {
        'answer_status': basis.status,
        'answer_names': basis.named_request.value,
        'says_not_run': basis.is_not_run,
        'reused': basis.is_reused,
    }


def _record_times(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    took_s: float,
) -> None:
    """Records how long a direct dispatch took, for later predictions.

    The slowdown that the answer reported is taken out, since it has passed when
    the predictions are used.
    """
    state = choice.candidate.state
    loads = gateway.views.loads
    slowdown = state.slowdown.expected(gateway.elapsed_s())
    took_s = choice.at_usual_speed(took_s, slowdown)
    loads.record_latency_ratio(
        state, state.latency_ratio * took_s / choice.usual_s
    )
    if routed.is_stream:
        gateway.views.chooser.record_first_event(
            choice, routed.request.prompt, routed.route.priority, took_s
        )
    else:
        gateway.views.chooser.record_call(choice, took_s)
