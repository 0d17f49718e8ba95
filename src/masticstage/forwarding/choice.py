"""Where the next dispatch of a request goes.

For each upstream that may serve it the time to the first event or answer is
predicted: the way there, the wait, and the reading of what is not cached.
The place with the lowest cost wins: a late answer, reading again what another
upstream holds, crossing regions and failures all cost a share of the worth.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta
from math import exp
from random import Random
from statistics import median_low
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.hits import HitShares
from masticstage.forwarding.homes import (
    can_copy,
    holds,
    plan_fetch,
    source_of,
)
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.places import Choice, Place
from masticstage.forwarding.reach import Reach
from masticstage.forwarding.requests import CallerRequest, Prompt
from masticstage.forwarding.routes import Route
from masticstage.forwarding.view import KnownUpstream

#: Prompt tokens that an engine reads in a second, until `pace` is learnt.
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
    """What all places of one choice are compared with.

    `source` holds the shared parts of the prompt, `usual_failures` is the
    share of failures that is usual at the service.
    """

    source: Place | None
    usual_failures: float


@final
@attrs.define
class Chooser:
    """Predicts and compares; learns delays from what was seen."""

    _clock: Clock
    _random: Random
    _reach: Reach
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
        """Returns the best place for a request, None when there is none."""
        places = list(self._reach.places(route, service))
        choices = self._compare(request, route, places, places, tried)
        return min(choices, key=_cost, default=None)

    def local(
        self,
        request: CallerRequest,
        route: Route,
        preferred: str,
        tried: Collection[str],
    ) -> Choice | None:
        """Returns a place in this region.

        It is the one that a sender from elsewhere prefers, unless another is
        clearly better by what is known here.
        """
        service = route.service_for(request.request_id)
        places = list(self._reach.places(route, service))
        choices = self._compare(
            request,
            route,
            places,
            [place for place in places if place.via is None],
            tried,
        )
        best = min(choices, key=_cost, default=None)
        for one in choices:
            is_good = best is None or one.cost <= best.cost + _PREFERENCE
            if one.upstream == preferred and is_good:
                return one
        return best

    def note_hop(self, region: str, seconds: float) -> None:
        """Learns the delay to a region and back."""
        known = self._hops_s.get(region)
        self._hops_s[region] = _average(known, seconds)

    def note_call(self, choice: Choice, seconds: float) -> None:
        """Learns how long a plain call takes at an upstream without a queue.

        What it takes longer behind others is predicted, not learnt.
        """
        service = choice.place.plan.name
        known = self.call_s(service)
        if not choice.ahead:
            seen_s = seconds / choice.place.state.pace
            self._calls_s[service] = _average(known, seen_s)

    def note_first_event(
        self,
        choice: Choice,
        prompt: Prompt,
        seen_s: float,
    ) -> None:
        """Learns from the time to the first event of a stream."""
        read_tokens = prompt.own_tokens + choice.unsure_tokens / 2
        half_s = _FIRST_EVENT_S + read_tokens / _TOKENS_PER_S
        self._hits.note(choice, seen_s, half_s)

    def note_cold_dispatch(self, choice: Choice) -> None:
        """Notes a request that goes to a cold upstream."""
        choice.place.state.cold_sent_at_s = self._now_s()

    def one_way(self, place: Place) -> timedelta:
        """Returns the time that a request takes to a peer's region."""
        if place.via is None:
            return timedelta()
        return timedelta(seconds=self._hop_s(place.via.region) / 2)

    def is_cold(self, known: KnownUpstream) -> bool:
        """Tells whether an upstream is still warming up."""
        return self._reach.is_cold(known)

    def call_s(self, service: str) -> float:
        """Returns the learnt time of a plain call."""
        return self._calls_s.get(service, _CALL_S)

    def _compare(
        self,
        request: CallerRequest,
        route: Route,
        places: Sequence[Place],
        allowed: Sequence[Place],
        tried: Collection[str],
    ) -> list[Choice]:
        """Predicts for a sample of the allowed places.

        The one that holds the prompt is always among them; it is looked for
        among all `places`, as others can copy from it.
        """
        source = source_of(request.prompt, places)
        untried = [one for one in allowed if one.known.record.name not in tried]
        sampled = self._sample(untried, source)
        common = _Common(source, self._usual_failures(sampled))
        return [
            self._predict(place, request, route, common) for place in sampled
        ]

    def _sample(
        self,
        places: Sequence[Place],
        source: Place | None,
    ) -> list[Place]:
        near = [place for place in places if place.via is None]
        far = [place for place in places if place.via is not None]
        sampled = [
            *self._random.sample(near, min(len(near), _NEAR_COMPARED)),
            *self._random.sample(far, min(len(far), _FAR_COMPARED)),
        ]
        is_missing = all(place is not source for place in sampled)
        if is_missing and any(place is source for place in places):
            sampled.extend([source] if source else ())
        return sampled

    def _predict(
        self,
        place: Place,
        request: CallerRequest,
        route: Route,
        common: _Common,
    ) -> Choice:
        prompt, source = request.prompt, common.source
        uncached = place.state.cache.uncached(prompt)
        missing = max(0, uncached - prompt.own_tokens)
        fetch_from = ''
        cost: float = 0
        if source is not None and source is not place:
            fetch_from, uncached = plan_fetch(place, source, prompt, uncached)
            cost = self._missing_cost(place, source, prompt, missing)
        unsure = missing if fetch_from or source is place else 0
        unsure = min(unsure, uncached - prompt.own_tokens)
        uncached -= round(unsure * self._hits.share(place.plan.name))
        expected_s = self._expected_s(place, uncached, route.priority)
        target_s = route.target.total_seconds() or _DEFAULT_TARGET_S
        cost += _lateness(expected_s / target_s)
        cost += self._failure_cost(place, route, common.usual_failures)
        cost += self._crossing_cost(place)
        return Choice(
            place,
            expected_s,
            cost,
            uncached,
            self._ahead(place),
            fetch_from,
            unsure,
            self._loads.unread_tokens(place.state, _ALL_RANKS),
        )

    def _missing_cost(
        self,
        place: Place,
        source: Place,
        prompt: Prompt,
        missing: int,
    ) -> float:
        """Returns the cost of shared parts that are not at a place.

        They are copied where the source holds them, and read again where it
        does not, or where engines do not copy.
        """
        part = missing / max(1, prompt.tokens_in)
        if can_copy(place, source) and holds(source, prompt):
            return _COPY_COST * part
        pending = self._loads.unread_tokens(place.state, _ALL_RANKS)
        busy = min(1, pending / _BUSY_TOKENS)
        cost = part * (_READ_COST + busy * _BUSY_READ_COST)
        if can_copy(place, source):
            unheld = 1 - self._hits.share(place.plan.name)
            return unheld * cost + _COPY_COST * part
        return cost

    def _expected_s(
        self,
        place: Place,
        uncached: int,
        priority: int,
    ) -> float:
        """Predicts the time to the first event or the answer."""
        state, engine = place.state, place.plan.engine
        if engine is None:
            serve_s = self.call_s(place.plan.name)
            hold_s = serve_s
        else:
            unread = self._loads.unread_tokens(state, priority) + uncached
            serve_s = _FIRST_EVENT_S + unread / _TOKENS_PER_S
            hold_s = _STREAM_S
        wait_s = hold_s * self._ahead(place) / place.slots
        expected_s = (serve_s + wait_s) * state.pace
        if place.via is None:
            return expected_s
        return expected_s + self._hop_s(place.via.region)

    def _ahead(self, place: Place) -> int:
        """Returns how many requests wait before a new one would run."""
        in_flight = self._loads.in_flight(place.state)
        return max(0, in_flight - place.slots + 1)

    def _crossing_cost(self, place: Place) -> float:
        if place.via is not None:
            return _CROSSING_COST
        return 0 if self._reach.is_beside(place) else _CENTRE_COST

    def _usual_failures(self, places: Sequence[Place]) -> float:
        """Returns the median share of failures at places, the lower one."""
        rates = [self._loads.outcomes(place.state).rate for place in places]
        return median_low(rates) if rates else 0

    def _failure_cost(self, place: Place, route: Route, usual: float) -> float:
        cost = _REPEAT_COST if route.is_idempotent else _FAILURE_COST
        rate = self._loads.outcomes(place.state).rate
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
