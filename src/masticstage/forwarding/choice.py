"""Chooses the upstream to which a request is dispatched next.

For each candidate the time to the first event or the answer is predicted: the
network delay, the wait for a slot, and the prefill of prompt tokens that are
not cached there. The candidate with the lowest cost is chosen. The cost is the
expected loss as a fraction of the value of the request: for late answers,
repeated prefill, traffic between regions, and failures.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta
from math import exp
from statistics import median_low
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.candidate_finder import CandidateFinder
from masticstage.forwarding.candidates import Candidate, Choice
from masticstage.forwarding.first_events import FirstEventTimes
from masticstage.forwarding.hits import PrefixHitRates
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.origins.origin import Origin
from masticstage.forwarding.pacer import Pacer
from masticstage.forwarding.prefix_homes import (
    can_copy,
    find_prefix_source,
    holds_prefix,
    plan_fetch,
)
from masticstage.forwarding.requests import CallerRequest, Prompt
from masticstage.forwarding.routes import Route
from masticstage.forwarding.sampling import CandidateSampler
from masticstage.forwarding.view import KnownUpstream

#: Time to the first event of a short prompt at an idle engine, in seconds.
_FIRST_EVENT_S: Final = 0.1
#: Assumed time from the first to the last event of a stream before the first
#: observation, in seconds.
_DEFAULT_STREAM_S: Final = 0.9
#: Assumed time of a plain call before the first observation, in seconds.
_DEFAULT_CALL_S: Final = 0.05
#: Costs are fractions of the value of a request to its caller.
#: A late answer is worth about a third of one that is on time.
_LATE_COST: Final = 0.7
#: Ratio of predicted time to target at which half of the answers are late, and
#: the scale of the logistic curve around it. Both follow from the error of the
#: prediction (POLICY.md).
_LATE_MIDPOINT: Final = 0.9
_LATE_SCALE: Final = 0.12
#: Cost of a predicted time as long as the target; other times cost in
#: proportion. It prefers the faster of two candidates that are both on time.
_TIME_COST: Final = 0.06
#: Cost of prefilling a whole prompt again, and what a busy engine adds to it
#: for the other answers that the prefill delays. Both count in proportion to
#: the part of the prompt that is missing.
_PREFILL_COST: Final = 0.45
_BUSY_PREFILL_COST: Final = 1.6
#: Cost of copying a whole prompt from another engine: the price of the
#: transfer, and of the other prefixes that the copy evicts. Histories fit into
#: the memory of all engines about once.
_COPY_COST: Final = 0.2
#: Backlog in prompt tokens at which an engine counts as fully busy: 0.2 s of
#: prefill.
_BUSY_BACKLOG_TOKENS: Final = 12_000
#: Priority number that is less urgent than any in use, to count all prompts.
_ALL_PRIORITIES: Final = 1000
#: Cost of the traffic between regions, for a request and its answer.
_CROSS_REGION_COST: Final = 0.04
#: Cost of the traffic between data centres of a region. Some users pay more for
#: it than for traffic between regions: 0.01 to 0.05 of a request's value.
_CROSS_DATA_CENTRE_COST: Final = 0.025
#: Cost of a new connection: it takes a millisecond, part of it at the upstream.
_CONNECT_COST: Final = 0.01
#: Cost of a failure that ends a request, and of one that is retried.
_FAILURE_COST: Final = 1.0
_RETRY_COST: Final = 0.35
#: Excess over the typical failure rate that is still attributed to chance: two
#: standard deviations for fifty outcomes at a failure rate of 0.14, which is
#: normal for some look-ups.
_FAILURE_TOLERANCE: Final = 0.1
#: Extra cost at which the sender's choice is still followed. The sender may
#: know what an engine has cached, but its load figures are older than ours.
_PREFERENCE_MARGIN: Final = 0.05
#: Assumed round trip to another region before the first observation (s).
_DEFAULT_ROUND_TRIP_S: Final = 0.11
#: Weight of a new observation in a moving average.
_WEIGHT: Final = 0.2
#: Target of a route that sets none, in seconds.
_DEFAULT_TARGET_S: Final = 1.0
#: Keeps `exp` within the range of a float.
_MAX_EXPONENT: Final = 50.0


@attrs.frozen
class _Comparison:
    """Values shared by the predictions for all candidates of one choice.

    `source` is where the shared prefix of the prompt can be copied from,
    `failure_rates` are those of the candidates by name, and
    `typical_failure_rate` is their median.
    """

    source: Candidate | None
    failure_rates: dict[str, float]
    typical_failure_rate: float


@attrs.frozen
class _Timing:
    """The predicted time at a candidate; see `Choice` for the fields."""

    expected_s: float
    tokens_ahead: float
    queue_s: float
    requests_ahead: int
    service_s: float
    slowdown: float


@final
@attrs.define
class Chooser:
    """Chooses the candidate with the lowest predicted cost.

    The prediction uses moving averages of observed delays. `pacer` leaves out
    upstreams that have just started and get enough requests.
    """

    _clock: Clock
    _sampler: CandidateSampler
    _finder: CandidateFinder
    _loads: LoadTable
    pacer: Pacer
    _hit_rates: PrefixHitRates = attrs.field(factory=PrefixHitRates)
    _round_trips_s: dict[str, float] = attrs.field(factory=dict)
    _calls_s: dict[str, float] = attrs.field(factory=dict)
    _streams_s: dict[str, float] = attrs.field(factory=dict)
    _first_events: FirstEventTimes = attrs.field(factory=FirstEventTimes)

    def choose(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        tried: Collection[str] = (),
        origin: Origin | None = None,
    ) -> Choice | None:
        """Returns the candidate with the lowest cost, None without any.

        A stream that goes on needs one of the version that began it.
        """
        candidates = list(self._finder.candidates(route, service))
        allowed = self._finder.of_origin(candidates, origin)
        choices = self._compare(request, route, candidates, allowed, tried)
        return min(choices, key=_cost, default=None)

    def choose_local(
        self,
        request: CallerRequest,
        route: Route,
        preferred: str,
        tried: Collection[str],
        origin: Origin | None = None,
    ) -> Choice | None:
        """Returns a candidate in this region for a relayed request.

        It is the upstream that the sender in another region prefers, unless
        its cost exceeds the lowest one by more than a margin.
        """
        service = route.service_for(request.request_id)
        candidates = list(self._finder.candidates(route, service))
        allowed = self._finder.of_origin(candidates, origin)
        choices = self._compare(
            request,
            route,
            candidates,
            [candidate for candidate in allowed if candidate.via is None],
            tried,
        )
        best = min(choices, key=_cost, default=None)
        for choice in choices:
            is_close = (
                best is None or choice.cost <= best.cost + _PREFERENCE_MARGIN
            )
            if choice.upstream == preferred and is_close:
                return choice
        return best

    def record_round_trip(self, region: str, seconds: float) -> None:
        """Records the round-trip time to an instance of a region."""
        previous = self._round_trips_s.get(region)
        self._round_trips_s[region] = _moving_average(previous, seconds)

    def record_call(self, choice: Choice, seconds: float) -> None:
        """Records the duration of a plain call.

        Calls that had to queue are ignored, since the waiting time is predicted
        separately.
        """
        service = choice.candidate.service_config.name
        previous = self.expected_call_s(service)
        if not choice.requests_ahead:
            observed_s = seconds / choice.candidate.state.latency_ratio
            self._calls_s[service] = _moving_average(previous, observed_s)

    def record_stream(self, choice: Choice, seconds: float) -> None:
        """Records the time from the first to the last event of a stream."""
        service = choice.candidate.service_config.name
        previous = self._streams_s.get(service)
        self._streams_s[service] = _moving_average(previous, seconds)

    def record_first_event(
        self,
        choice: Choice,
        prompt: Prompt,
        priority: int,
        observed_s: float,
    ) -> None:
        """Records the time to the first event of a stream."""
        service = choice.candidate.service_config.name
        midpoint_s = self._first_events.predict_s(
            service, prompt.own_tokens + choice.unverified_tokens / 2
        )
        self._hit_rates.record(choice, observed_s, midpoint_s)
        if choice.unverified_tokens:
            return
        prefill_tokens = choice.tokens_ahead + choice.uncached_tokens
        if choice.queue_s:
            serve_s = self._first_events.predict_s(service, prefill_tokens)
            ratio = (observed_s - serve_s) / choice.queue_s
            self._first_events.record_wait(service, priority, ratio)
        else:
            self._first_events.record(service, prefill_tokens, observed_s)

    def record_cold_dispatch(self, choice: Choice) -> None:
        """Records the time of a dispatch to a cold upstream."""
        choice.candidate.state.last_cold_dispatch_s = self._now_s()

    def one_way_delay(self, candidate: Candidate) -> timedelta:
        """Returns the expected network delay of a request to a candidate."""
        if candidate.via is None:
            return timedelta()
        return timedelta(seconds=self._round_trip_s(candidate.via.region) / 2)

    def software_of(self, upstream: KnownUpstream) -> str | None:
        """Returns the version of an upstream, None if it is unknown."""
        return self._finder.software_of(upstream)

    def is_cold(self, upstream: KnownUpstream) -> bool:
        """Returns whether an upstream is still warming up."""
        return self._finder.is_cold(upstream)

    def expected_call_s(self, service: str) -> float:
        """Returns the average time of a plain call without a queue (s)."""
        return self._calls_s.get(service, _DEFAULT_CALL_S)

    def _compare(
        self,
        request: CallerRequest,
        route: Route,
        candidates: Sequence[Candidate],
        allowed: Sequence[Candidate],
        tried: Collection[str],
    ) -> list[Choice]:
        """Returns predictions for a sample of the allowed candidates.

        The source of the prefix is always in the sample if it is allowed. It is
        looked up among all `candidates`, since others can copy from it.
        """
        if not candidates:
            return []
        emptied = self._finder.copy_sources(
            route, candidates[0].service_config.name
        )
        source = find_prefix_source(request.prompt, candidates, emptied)
        untried = [
            allowed_candidate
            for allowed_candidate in allowed
            if allowed_candidate.name not in tried
        ]
        sampled = self._sampler.draw(
            self.pacer.drop_at_limit(untried), request.prompt, source
        )
        rates = {
            candidate.name: self._loads.outcomes(candidate.state).failure_rate
            for candidate in sampled
        }
        # The median is the lower of two middle ones.
        typical_rate = median_low(rates.values()) if rates else 0
        comparison = _Comparison(source, rates, typical_rate)
        return [
            self._predict(candidate, request, route, comparison)
            for candidate in sampled
        ]

    def _predict(
        self,
        candidate: Candidate,
        request: CallerRequest,
        route: Route,
        comparison: _Comparison,
    ) -> Choice:
        """Returns a candidate with its predicted time and cost."""
        prompt, source = request.prompt, comparison.source
        uncached_tokens = candidate.state.cache.uncached_tokens(prompt)
        missing_tokens = max(0, uncached_tokens - prompt.own_tokens)
        fetch_from = ''
        cost: float = 0
        if source is not None and source is not candidate:
            fetch_from, uncached_tokens = plan_fetch(
                candidate,
                source,
                prompt,
                uncached_tokens,
            )
            cost = self._missing_cost(candidate, source, prompt, missing_tokens)
        unverified_tokens = (
            missing_tokens if fetch_from or source is candidate else 0
        )
        unverified_tokens = min(
            unverified_tokens, uncached_tokens - prompt.own_tokens
        )
        uncached_tokens -= round(
            unverified_tokens
            * self._hit_rates.rate(candidate.service_config.name)
        )
        timing = self._predict_timing(
            candidate, uncached_tokens, route.priority
        )
        target_s = route.target.total_seconds() or _DEFAULT_TARGET_S
        cost += _latency_cost(timing.expected_s / target_s)
        cost += _failure_cost(candidate, route, comparison)
        cost += self._transfer_cost(candidate)
        return Choice(
            candidate,
            timing.expected_s,
            cost,
            uncached_tokens,
            timing.requests_ahead,
            fetch_from,
            unverified_tokens,
            self._loads.tokens_ahead(candidate.state, _ALL_PRIORITIES),
            timing.tokens_ahead,
            timing.queue_s,
            timing.service_s,
            timing.slowdown,
        )

    def _missing_cost(
        self,
        candidate: Candidate,
        source: Candidate,
        prompt: Prompt,
        missing_tokens: int,
    ) -> float:
        """Returns the cost of the part of the prefix that a candidate lacks.

        It is copied if the source holds it, and prefilled again if the source
        does not or if engines do not copy.
        """
        missing_share = missing_tokens / max(1, prompt.tokens_in)
        if can_copy(candidate, source) and holds_prefix(source, prompt):
            return _COPY_COST * missing_share
        pending = self._loads.tokens_ahead(candidate.state, _ALL_PRIORITIES)
        load_factor = min(1, pending / _BUSY_BACKLOG_TOKENS)
        cost = missing_share * (
            _PREFILL_COST + load_factor * _BUSY_PREFILL_COST
        )
        if can_copy(candidate, source):
            miss_rate = 1 - self._hit_rates.rate(candidate.service_config.name)
            return miss_rate * cost + _COPY_COST * missing_share
        return cost

    def _predict_timing(
        self,
        candidate: Candidate,
        uncached_tokens: int,
        priority: int,
    ) -> _Timing:
        """Returns the predicted time to the first event or the answer."""
        service = candidate.service_config.name
        tokens_ahead = self._loads.tokens_ahead(candidate.state, priority)
        requests_ahead = self._requests_ahead(candidate)
        queue_s = self._queue_s(candidate, requests_ahead)
        if candidate.service_config.engine is None:
            serve_s = self.expected_call_s(service)
        else:
            serve_s = self._first_events.predict_s(
                service, tokens_ahead + uncached_tokens
            )
        wait_s = queue_s * self._first_events.wait_factor(service, priority)
        ratio, slowdown = self._speed(candidate)
        expected_s = (serve_s * slowdown + wait_s) * ratio
        if candidate.via is not None:
            expected_s += self._round_trip_s(candidate.via.region)
        return _Timing(
            expected_s,
            tokens_ahead,
            queue_s,
            requests_ahead,
            serve_s * ratio,
            slowdown,
        )

    def _speed(self, candidate: Candidate) -> tuple[float, float]:
        """Returns the long-run ratio of times and the one of this moment."""
        state = candidate.state
        return state.latency_ratio, state.slowdown.expected(self._now_s())

    def _queue_s(self, candidate: Candidate, requests_ahead: int) -> float:
        """Returns the wait for a slot in a queue without priorities."""
        service = candidate.service_config.name
        if candidate.service_config.engine is None:
            slot_s = self.expected_call_s(service)
        else:
            slot_s = _FIRST_EVENT_S + self._streams_s.get(
                service, _DEFAULT_STREAM_S
            )
        return slot_s * requests_ahead / candidate.slots

    def _requests_ahead(self, candidate: Candidate) -> int:
        """Returns how many requests have to end before a new one starts."""
        in_flight = self._loads.in_flight(candidate.state)
        return max(0, in_flight - candidate.slots + 1)

    def _transfer_cost(self, candidate: Candidate) -> float:
        """Returns the cost of a connection and of traffic to a candidate."""
        if candidate.via is not None:
            return _CROSS_REGION_COST
        cost = 0 if self._sampler.has_connection(candidate) else _CONNECT_COST
        if not self._finder.is_in_own_data_centre(candidate):
            cost += _CROSS_DATA_CENTRE_COST
        return cost

    def _round_trip_s(self, region: str) -> float:
        return self._round_trips_s.get(region, _DEFAULT_ROUND_TRIP_S)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _moving_average(previous: float | None, observed: float) -> float:
    if previous is None:
        return observed
    return previous + _WEIGHT * (observed - previous)


def _cost(choice: Choice) -> float:
    return choice.cost


def _failure_cost(
    candidate: Candidate, route: Route, comparison: _Comparison
) -> float:
    """Returns the cost of failures beyond the typical rate and chance."""
    cost = _RETRY_COST if route.is_idempotent else _FAILURE_COST
    rate = comparison.failure_rates[candidate.name]
    excess = rate - comparison.typical_failure_rate - _FAILURE_TOLERANCE
    return cost * max(0, excess)


def _latency_cost(target_ratio: float) -> float:
    """Returns the cost of a predicted time, as a ratio to the target."""
    exponent = min((_LATE_MIDPOINT - target_ratio) / _LATE_SCALE, _MAX_EXPONENT)
    return _LATE_COST / (1 + exp(exponent)) + _TIME_COST * target_ratio
