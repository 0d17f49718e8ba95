"""Chooses the upstream to which a request is dispatched next.

For each candidate the time to the first event or the answer is predicted: the
network delay, the wait for a slot, and the prefill of prompt tokens that are
not cached there. The candidate with the lowest cost is chosen. The cost is the
expected loss as a share of the value of the request: for late answers,
repeated prefill, traffic between regions, and failures.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta
from math import exp
from random import Random
from statistics import median_low
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.candidate_finder import CandidateFinder
from masticstage.forwarding.candidates import Candidate, Choice
from masticstage.forwarding.hits import HitShares
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.prefix_homes import (
    can_copy,
    holds,
    plan_fetch,
    source_of,
)
from masticstage.forwarding.requests import CallerRequest, Prompt
from masticstage.forwarding.routes import Route
from masticstage.forwarding.view import KnownUpstream

#: Prompt tokens that an engine prefills in a second; the latency ratio of each
#: upstream corrects it.
_TOKENS_PER_S: Final = 60_000
#: Time to the first event of a short prompt at an idle engine, in seconds.
_FIRST_EVENT_S: Final = 0.1
#: Mean time a stream holds a slot, for the wait when all are taken.
_STREAM_S: Final = 1.0
#: Time of a plain call until one was seen, in seconds.
_CALL_S: Final = 0.05
#: Costs are shares of what a request is worth to its caller.
#: A late answer is worth about a third of one that is on time.
_LATE_COST: Final = 0.7
#: Prediction, as a part of the target, at which half of all answers are
#: late, and how fast that grows; from errors of the prediction (POLICY.md).
_LATE_AT: Final = 0.9
_LATE_WIDTH: Final = 0.12
#: Cost of each target's worth of time: of two on time, the faster one.
_TIME_COST: Final = 0.06
#: Cost of reading the shared parts of a prompt again, by their part of it: its
#: price, and at a busy engine the answers that it delays.
_READ_COST: Final = 0.3
_BUSY_READ_COST: Final = 1.6
#: Cost of copying them from another engine: the price of the moved memory.
_COPY_COST: Final = 0.05
#: Unread tokens at an engine from which it counts as busy: 0.2 s of reading.
_BUSY_TOKENS: Final = 12_000
#: Rank that counts all unread tokens, whatever their priority.
_ALL_RANKS: Final = 1000
#: Cost of the bytes between regions, for a request and its answer.
_CROSSING_COST: Final = 0.04
#: The same between data centres of a region; their bytes are the dearer ones
#: for some users, 0.01 to 0.05 of what a request is worth.
_CENTRE_COST: Final = 0.025
#: Upstreams that are compared in this region and elsewhere, beside the one that
#: holds the prompt. A choice among all of 45 took 3 ms, and instances that know
#: the same would all choose the same.
_NEAR_COMPARED: Final = 6
_FAR_COMPARED: Final = 4
#: Cost of a failure that ends a request, and of one that is repeated.
_FAILURE_COST: Final = 1.0
_REPEAT_COST: Final = 0.35
#: Share of failures above that of the others which says nothing about an
#: upstream: twice the deviation of a share of 0.14 (usual for some look-ups)
#: in fifty outcomes.
_CHANCE_FAILURES: Final = 0.1
#: Cost up to which a sender's preference in another region is followed there:
#: it may know what an engine holds, and its view of the load is older.
_PREFERENCE: Final = 0.05
#: Delay to another region and back until it was measured, in seconds.
_DEFAULT_HOP_S: Final = 0.11
#: Weight of a new observation in a moving average.
_WEIGHT: Final = 0.2
#: Target of a route that names none, in seconds.
_DEFAULT_TARGET_S: Final = 1.0
_MAX_EXPONENT: Final = 50.0


@attrs.frozen
class _Common:
    """What all candidates of one choice are compared with.

    `source` holds the shared parts of the prompt, `usual_failures` is the
    share of failures that is usual at the service.
    """

    source: Candidate | None
    usual_failures: float


@final
@attrs.define
class Chooser:
    """Predicts and compares; learns delays from what was seen."""

    _clock: Clock
    _random: Random
    _finder: CandidateFinder
    _loads: LoadTable
    _hits: HitShares = attrs.field(factory=HitShares)
    _hops_s: dict[str, float] = attrs.field(factory=dict)
    _calls_s: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        tried: Collection[str] = (),
    ) -> Choice | None:
        """Returns the best candidate for a request, None when there is none."""
        candidates = list(self._finder.candidates(route, service))
        choices = self._compare(request, route, candidates, candidates, tried)
        return min(choices, key=_cost, default=None)

    def choose_local(
        self,
        request: CallerRequest,
        route: Route,
        preferred: str,
        tried: Collection[str],
    ) -> Choice | None:
        """Returns a candidate in this region.

        It is the one that a sender from elsewhere prefers, unless another is
        clearly better by what is known here.
        """
        service = route.service_for(request.request_id)
        candidates = list(self._finder.candidates(route, service))
        choices = self._compare(
            request,
            route,
            candidates,
            [candidate for candidate in candidates if candidate.via is None],
            tried,
        )
        best = min(choices, key=_cost, default=None)
        for one in choices:
            is_good = best is None or one.cost <= best.cost + _PREFERENCE
            if one.upstream == preferred and is_good:
                return one
        return best

    def record_round_trip(self, region: str, seconds: float) -> None:
        """Learns the delay to a region and back."""
        known = self._hops_s.get(region)
        self._hops_s[region] = _average(known, seconds)

    def record_call(self, choice: Choice, seconds: float) -> None:
        """Learns how long a plain call takes at an upstream without a queue.

        What it takes longer behind others is predicted, not learnt.
        """
        service = choice.candidate.plan.name
        known = self.expected_call_s(service)
        if not choice.ahead:
            seen_s = seconds / choice.candidate.state.latency_ratio
            self._calls_s[service] = _average(known, seen_s)

    def record_first_event(
        self,
        choice: Choice,
        prompt: Prompt,
        seen_s: float,
    ) -> None:
        """Learns from the time to the first event of a stream."""
        read_tokens = prompt.own_tokens + choice.unsure_tokens / 2
        half_s = _FIRST_EVENT_S + read_tokens / _TOKENS_PER_S
        self._hits.note(choice, seen_s, half_s)

    def record_cold_dispatch(self, choice: Choice) -> None:
        """Notes a request that goes to a cold upstream."""
        choice.candidate.state.cold_sent_at_s = self._now_s()

    def one_way_delay(self, candidate: Candidate) -> timedelta:
        """Returns the time that a request takes to a peer's region."""
        if candidate.via is None:
            return timedelta()
        return timedelta(seconds=self._hop_s(candidate.via.region) / 2)

    def is_cold(self, known: KnownUpstream) -> bool:
        """Tells whether an upstream is still warming up."""
        return self._finder.is_cold(known)

    def expected_call_s(self, service: str) -> float:
        """Returns the learnt time of a plain call."""
        return self._calls_s.get(service, _CALL_S)

    def _compare(
        self,
        request: CallerRequest,
        route: Route,
        candidates: Sequence[Candidate],
        allowed: Sequence[Candidate],
        tried: Collection[str],
    ) -> list[Choice]:
        """Predicts for a sample of the allowed candidates.

        The one that holds the prompt is always among them; it is looked for
        among all `candidates`, as others can copy from it.
        """
        source = source_of(request.prompt, candidates)
        untried = [one for one in allowed if one.known.record.name not in tried]
        sampled = self._sample(untried, source)
        common = _Common(source, self._usual_failures(sampled))
        return [
            self._predict(candidate, request, route, common)
            for candidate in sampled
        ]

    def _sample(
        self,
        candidates: Sequence[Candidate],
        source: Candidate | None,
    ) -> list[Candidate]:
        near = [candidate for candidate in candidates if candidate.via is None]
        far = [
            candidate for candidate in candidates if candidate.via is not None
        ]
        sampled = [
            *self._random.sample(near, min(len(near), _NEAR_COMPARED)),
            *self._random.sample(far, min(len(far), _FAR_COMPARED)),
        ]
        is_missing = all(candidate is not source for candidate in sampled)
        if is_missing and any(candidate is source for candidate in candidates):
            sampled.extend([source] if source else ())
        return sampled

    def _predict(
        self,
        candidate: Candidate,
        request: CallerRequest,
        route: Route,
        common: _Common,
    ) -> Choice:
        prompt, source = request.prompt, common.source
        uncached = candidate.state.cache.uncached(prompt)
        missing = max(0, uncached - prompt.own_tokens)
        fetch_from = ''
        cost: float = 0
        if source is not None and source is not candidate:
            fetch_from, uncached = plan_fetch(
                candidate, source, prompt, uncached
            )
            cost = self._missing_cost(candidate, source, prompt, missing)
        unsure = missing if fetch_from or source is candidate else 0
        unsure = min(unsure, uncached - prompt.own_tokens)
        uncached -= round(unsure * self._hits.share(candidate.plan.name))
        expected_s = self._expected_s(candidate, uncached, route.priority)
        target_s = route.target.total_seconds() or _DEFAULT_TARGET_S
        cost += _lateness(expected_s / target_s)
        cost += self._failure_cost(candidate, route, common.usual_failures)
        cost += self._crossing_cost(candidate)
        return Choice(
            candidate,
            expected_s,
            cost,
            uncached,
            self._ahead(candidate),
            fetch_from,
            unsure,
            self._loads.tokens_ahead(candidate.state, _ALL_RANKS),
        )

    def _missing_cost(
        self,
        candidate: Candidate,
        source: Candidate,
        prompt: Prompt,
        missing: int,
    ) -> float:
        """Returns the cost of shared parts that are not at a candidate.

        They are copied where the source holds them, and read again where it
        does not, or where engines do not copy.
        """
        part = missing / max(1, prompt.tokens_in)
        if can_copy(candidate, source) and holds(source, prompt):
            return _COPY_COST * part
        pending = self._loads.tokens_ahead(candidate.state, _ALL_RANKS)
        busy = min(1, pending / _BUSY_TOKENS)
        cost = part * (_READ_COST + busy * _BUSY_READ_COST)
        if can_copy(candidate, source):
            unheld = 1 - self._hits.share(candidate.plan.name)
            return unheld * cost + _COPY_COST * part
        return cost

    def _expected_s(
        self,
        candidate: Candidate,
        uncached: int,
        priority: int,
    ) -> float:
        """Predicts the time to the first event or the answer."""
        state, engine = candidate.state, candidate.plan.engine
        if engine is None:
            serve_s = self.expected_call_s(candidate.plan.name)
            hold_s = serve_s
        else:
            unread = self._loads.tokens_ahead(state, priority) + uncached
            serve_s = _FIRST_EVENT_S + unread / _TOKENS_PER_S
            hold_s = _STREAM_S
        wait_s = hold_s * self._ahead(candidate) / candidate.slots
        expected_s = (serve_s + wait_s) * state.latency_ratio
        if candidate.via is None:
            return expected_s
        return expected_s + self._hop_s(candidate.via.region)

    def _ahead(self, candidate: Candidate) -> int:
        """Returns how many requests wait before a new one would run."""
        in_flight = self._loads.in_flight(candidate.state)
        return max(0, in_flight - candidate.slots + 1)

    def _crossing_cost(self, candidate: Candidate) -> float:
        if candidate.via is not None:
            return _CROSSING_COST
        return (
            0 if self._finder.is_in_own_data_centre(candidate) else _CENTRE_COST
        )

    def _usual_failures(self, candidates: Sequence[Candidate]) -> float:
        """Returns the median share of failures at candidates, the lower one."""
        rates = [
            self._loads.outcomes(candidate.state).rate
            for candidate in candidates
        ]
        return median_low(rates) if rates else 0

    def _failure_cost(
        self, candidate: Candidate, route: Route, usual: float
    ) -> float:
        cost = _REPEAT_COST if route.is_idempotent else _FAILURE_COST
        rate = self._loads.outcomes(candidate.state).rate
        return cost * max(0, rate - usual - _CHANCE_FAILURES)

    def _hop_s(self, region: str) -> float:
        return self._hops_s.get(region, _DEFAULT_HOP_S)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _average(known: float | None, seen: float) -> float:
    if known is None:
        return seen
    return known + _WEIGHT * (seen - known)


def _cost(choice: Choice) -> float:
    return choice.cost


def _lateness(share: float) -> float:
    """Returns the cost of a prediction that is this part of the target."""
    exponent = min((_LATE_AT - share) / _LATE_WIDTH, _MAX_EXPONENT)
    return _LATE_COST / (1 + exp(exponent)) + _TIME_COST * share
