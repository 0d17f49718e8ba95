"""Where the next dispatch of a request goes.

For each upstream that may serve it the time to the first event or answer is
predicted: the way there, the wait, and the reading of what is not cached.
The lowest prediction wins, after prices for crossing regions and for recent
failures.
"""

from collections.abc import Collection, Iterator
from datetime import timedelta
from random import Random
from typing import Final, final

import attrs
import xxhash

from masticstage.clock import Clock
from masticstage.forwarding.loads import LoadTable, UpstreamState
from masticstage.forwarding.requests import CallerRequest
from masticstage.forwarding.routes import Route, ServicePlan
from masticstage.forwarding.view import FleetView, KnownUpstream
from masticstage.forwarding.warmups import chosen_sender, cold_interval_s
from masticstage.membership import Liveness, Member, MemberTable

#: Prompt tokens that an engine reads in a second, until `pace` is learnt.
_TOKENS_PER_S: Final = 60_000
#: Time to the first event of a short prompt at an idle engine, in seconds.
_FIRST_EVENT_S: Final = 0.1
#: Mean time a stream holds a slot, for the wait when all are taken.
_STREAM_S: Final = 1.0
#: Time of a plain call until one was seen, in seconds.
_CALL_S: Final = 0.05
#: What a certain failure costs in the score, in seconds.
_FAILURE_COST_S: Final = 1.0
#: What crossing regions costs in the score beside its delay, in seconds.
_CROSSING_COST_S: Final = 0.05
#: Greatest advantage that rendezvous hashing gives an upstream, in seconds.
_AFFINITY_S: Final = 0.03
#: Delay to another region and back until it was measured, in seconds.
_DEFAULT_HOP_S: Final = 0.11
#: Weight of a new observation in a moving average.
_WEIGHT: Final = 0.2
_HASH_RANGE: Final = float(2**64)


@attrs.frozen
class Place:
    """An upstream, and the peer that reaches it (None from here)."""

    known: KnownUpstream
    state: UpstreamState
    via: Member | None


@attrs.frozen
class Choice:
    """A place with the predicted time to its first event or answer."""

    place: Place
    expected_s: float
    score_s: float
    uncached_tokens: int

    @property
    def upstream(self) -> str:
        """Name of the chosen upstream."""
        return self.place.known.record.name


@final
@attrs.define
class Chooser:
    """Predicts and compares; learns delays from what was seen."""

    _clock: Clock
    _random: Random
    _view: FleetView
    _loads: LoadTable
    _members: MemberTable
    _hops_s: dict[str, float] = attrs.field(factory=dict)
    _calls_s: dict[str, float] = attrs.field(factory=dict)

    def choose(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        tried: Collection[str] = (),
    ) -> Choice | None:
        """Returns the best place for a request, None when there is none.

        Upstreams that were tried before are taken only when no other is left
        of which the request could be had.
        """
        choices = [
            self._predict(place, request, service)
            for place in self._places(route, service)
        ]
        fresh = [one for one in choices if one.upstream not in tried]
        return min(fresh, key=_score, default=None)

    def local(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        preferred: str,
        tried: Collection[str],
    ) -> Choice | None:
        """Returns a place in this region: the preferred one if usable."""
        choices = [
            self._predict(place, request, service)
            for place in self._places(route, service)
            if place.via is None and place.known.record.name not in tried
        ]
        for one in choices:
            if one.upstream == preferred:
                return one
        return min(choices, key=_score, default=None)

    def note_hop(self, region: str, seconds: float) -> None:
        """Learns the delay to a region and back."""
        known = self._hops_s.get(region)
        self._hops_s[region] = _average(known, seconds)

    def note_call(self, service: str, seconds: float) -> None:
        """Learns how long a plain call takes at an upstream."""
        known = self._calls_s.get(service, _CALL_S)
        self._calls_s[service] = _average(known, seconds)

    def note_cold_dispatch(self, choice: Choice) -> None:
        """Notes a request that goes to a cold upstream."""
        choice.place.state.cold_sent_at_s = self._now_s()

    def is_cold(self, known: KnownUpstream) -> bool:
        """Tells whether an upstream is still warming up."""
        return known.cold_until > self._clock.elapsed()

    def call_s(self, service: str) -> float:
        """Returns the learnt time of a plain call."""
        return self._calls_s.get(service, _CALL_S)

    def _places(self, route: Route, service: str) -> Iterator[Place]:
        plan = self._view.plan(service)
        if plan is None:
            return
        vias: dict[str, Member | None] = {}
        for known in self._view.upstreams_of(service):
            region = known.record.region
            if not route.allows(region):
                continue
            is_local = region == self._members.own.region
            if not is_local and region not in vias:
                vias[region] = self._pick_member(region)
            via = None if is_local else vias[region]
            if (is_local or via) and self._is_usable(known, plan, via):
                yield Place(known, self._state(known, plan), via)

    def _is_usable(
        self,
        known: KnownUpstream,
        plan: ServicePlan,
        via: Member | None,
    ) -> bool:
        state = self._state(known, plan)
        if state.is_doubtful:
            return False
        if not plan.cold_rate or not self.is_cold(known):
            return True
        if via is not None:
            return False
        return self._may_send_cold(known, plan, state)

    def _may_send_cold(
        self,
        known: KnownUpstream,
        plan: ServicePlan,
        state: UpstreamState,
    ) -> bool:
        own = self._members.own
        names = [own.identity.name]
        names.extend(
            member.identity.name
            for member in self._members.others()
            if member.region == own.region and member.liveness is Liveness.LIVE
        )
        if chosen_sender(known.record.name, names) != own.identity.name:
            return False
        idle_s = self._now_s() - state.cold_sent_at_s
        return idle_s >= cold_interval_s(plan.cold_rate)

    def _pick_member(self, region: str) -> Member | None:
        live = [
            member
            for member in self._members.others()
            if member.region == region and member.liveness is Liveness.LIVE
        ]
        return self._random.choice(live) if live else None

    def _predict(
        self,
        place: Place,
        request: CallerRequest,
        service: str,
    ) -> Choice:
        state = place.state
        uncached = state.cache.uncached(request.prompt)
        plan = self._view.plan(service)
        if plan is not None and plan.engine is not None:
            slots = plan.engine.slots
            pending = self._loads.pending_tokens(state)
            serve_s = _FIRST_EVENT_S + (pending + uncached) / _TOKENS_PER_S
            hold_s = _STREAM_S
        else:
            slots = max(1, place.known.record.slots)
            serve_s = self.call_s(service)
            hold_s = serve_s
        ahead = max(0, self._loads.in_flight(state) - slots + 1)
        expected_s = (serve_s + hold_s * ahead / slots) * state.pace
        if place.via is not None:
            expected_s += self._hop_s(place.via.region)
        score_s = expected_s + self._price_s(place, request)
        return Choice(place, expected_s, score_s, uncached)

    def _price_s(self, place: Place, request: CallerRequest) -> float:
        price_s = _FAILURE_COST_S * self._loads.failure_rate(place.state)
        if place.via is not None:
            price_s += _CROSSING_COST_S
        shared = request.prompt.shared
        if shared:
            name = place.known.record.name
            subject = f'{shared[-1].part_id}\0{name}'
            digest = xxhash.xxh3_64_intdigest(subject.encode())
            price_s += _AFFINITY_S * digest / _HASH_RANGE
        return price_s

    def _state(self, known: KnownUpstream, plan: ServicePlan) -> UpstreamState:
        engine = plan.engine
        record = known.record
        memory = engine.memory_tokens if engine else 0
        return self._loads.state(record.name, record.born_ms, memory)

    def _hop_s(self, region: str) -> float:
        return self._hops_s.get(region, _DEFAULT_HOP_S)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _average(known: float | None, seen: float) -> float:
    if known is None:
        return seen
    return known + _WEIGHT * (seen - known)


def _score(choice: Choice) -> float:
    return choice.score_s
