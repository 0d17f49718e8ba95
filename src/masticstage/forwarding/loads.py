"""Estimated load and health of each upstream.

Dispatches of this instance are counted exactly, those of peers arrive by
gossip, and an upstream may report its own load with each answer. Failure rates
and latency ratios are derived from the outcomes of this instance's dispatches.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from math import inf
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.health import Health, Outcomes
from masticstage.forwarding.prompts import PromptCache

#: Weight of a new observation in a moving average.
_WEIGHT: Final = 0.2
#: Age up to which a load that an upstream reported is corrected and used.
_REPORT_AGE_S: Final = 0.5
#: Age up to which a peer's counts are used: of ten instances in a region each
#: is met about once a second, and few are not met within this time.
_PEER_AGE_S: Final = 3.0
#: Weight of failures from which an idle upstream is told of as well.
_LEAST_FAILURES: Final = 0.3
#: Bounds on the observed ratio of a latency to the expected one.
_LEAST_PACE: Final = 0.5
_MOST_PACE: Final = 10.0
#: Part of a less urgent prompt that is read before an urgent one, since it
#: has begun.
_BEGUN: Final = 0.3


@attrs.frozen
class ReportedLoad:
    """Requests that run and wait at an upstream, and its places."""

    running: int
    waiting: int
    slots: int


#: Prompt tokens without an event so far, by priority.
PendingTokens = tuple[tuple[int, int], ...]


@attrs.frozen
class SharedLoad:
    """What one instance has at one upstream, as told to peers."""

    upstream: str
    in_flight: int
    pending_tokens: PendingTokens
    outcomes: Outcomes = Outcomes()


@attrs.frozen
class _PeerLoad:
    """Counts of a peer, or sums of a region, and when they came (s)."""

    source: str
    load: SharedLoad
    at_s: float

    @property
    def fresh_until_s(self) -> float:
        """When it becomes too old to be used."""
        return self.at_s + _PEER_AGE_S


@attrs.define
class LoadCounters:
    """Requests and unread prompt tokens (by priority) at an upstream."""

    in_flight: int = 0
    pending_tokens: Counter[int] = attrs.field(factory=Counter)

    def tokens_ahead(self, priority: int) -> float:
        """Returns the tokens that are read before a prompt of a priority."""
        return _unread(self.pending_tokens.items(), priority)


@attrs.define
class UpstreamState:
    """Load, health and latency of one upstream.

    `direct` counts the requests that this instance sent there itself,
    `relayed` those that it sent through peers, which count them as their own.
    `peers` holds the loads that other instances of this region reported,
    `region` the total that another region reported for itself. `told` is the
    sum of both, valid until the first of them expires. `health` reflects own
    dispatches, `relay_health` relayed ones. `latency_ratio` is the moving
    average of observed to expected times.
    """

    started_at_ms: int
    cache: PromptCache
    direct: LoadCounters = attrs.field(factory=LoadCounters)
    relayed: LoadCounters = attrs.field(factory=LoadCounters)
    reported: ReportedLoad | None = None
    reported_at_s: float = 0
    in_flight_when_reported: int = 0
    health: Health = attrs.field(factory=Health)
    relay_health: Health = attrs.field(factory=Health)
    latency_ratio: float = 1
    cold_sent_at_s: float = -1
    peers: dict[str, _PeerLoad] = attrs.field(factory=dict)
    region: _PeerLoad | None = None
    told: SharedLoad | None = None
    told_until_s: float = 0


@final
@attrs.define
class LoadTable:
    """The states of all upstreams, by name."""

    _clock: Clock
    _states: dict[str, UpstreamState] = attrs.field(factory=dict)

    def state(
        self,
        name: str,
        started_at_ms: int = 0,
        memory_tokens: int = 0,
    ) -> UpstreamState:
        """Returns an upstream's state; a new life starts without a past."""
        known = self._states.get(name)
        if known is None or (
            started_at_ms and known.started_at_ms != started_at_ms
        ):
            known = UpstreamState(
                started_at_ms,
                PromptCache.of_memory(memory_tokens),
            )
            self._states[name] = known
        return known

    def keep_only(self, names: Collection[str]) -> None:
        """Drops the states of upstreams that are gone."""
        for gone in self._states.keys() - set(names):
            self._states.pop(gone)

    def in_flight(self, state: UpstreamState) -> int:
        """Returns the requests that are believed to be at an upstream."""
        counted = state.direct.in_flight + self._told(state).in_flight
        counted = max(counted, state.relayed.in_flight)
        if state.reported is None:
            return counted
        if self._now_s() - state.reported_at_s > _REPORT_AGE_S:
            return counted
        since = state.direct.in_flight - state.in_flight_when_reported
        seen = state.reported.running + state.reported.waiting + since
        return max(state.direct.in_flight, seen)

    def tokens_ahead(self, state: UpstreamState, priority: int) -> float:
        """Returns the tokens that are read before a new prompt there.

        More urgent prompts are read first; of less urgent ones the part that
        is being read already.  What was relayed is counted by peers as well.
        """
        told = _unread(self._told(state).pending_tokens, priority)
        counted = state.direct.tokens_ahead(priority) + told
        return max(counted, state.relayed.tokens_ahead(priority))

    def outcomes(self, state: UpstreamState) -> Outcomes:
        """Returns recent outcomes at an upstream, those of others included."""
        now_s = self._now_s()
        relayed = state.relay_health.outcomes(now_s)
        seen = state.health.outcomes(now_s).plus(relayed)
        return seen.plus(self._told(state).outcomes)

    def record_report(self, state: UpstreamState, load: ReportedLoad) -> None:
        """Takes over the load that an upstream told with an answer."""
        state.reported = load
        state.reported_at_s = self._now_s()
        state.in_flight_when_reported = state.direct.in_flight

    def record_outcome(
        self,
        state: UpstreamState,
        *,
        is_failure: bool,
        is_relayed: bool = False,
    ) -> None:
        """Learns from the end of a dispatch.

        Of a relayed one the peer tells others; it may also be the peer or the
        way to it that has failed.
        """
        health = state.relay_health if is_relayed else state.health
        health.record_outcome(self._now_s(), is_failure=is_failure)

    def record_latency_ratio(self, state: UpstreamState, ratio: float) -> None:
        """Learns from the ratio of a seen to an expected time."""
        bounded = min(max(ratio, _LEAST_PACE), _MOST_PACE)
        state.latency_ratio += _WEIGHT * (bounded - state.latency_ratio)

    def own_loads(self) -> tuple[SharedLoad, ...]:
        """Returns what this instance tells its peers."""
        own = [
            self._own_load(name, state) for name, state in self._states.items()
        ]
        return tuple(load for load in own if _is_worth_telling(load))

    def region_loads(self) -> tuple[SharedLoad, ...]:
        """Returns the sums over this region, told to other regions.

        Only instances of its region reach an upstream, so these are all.
        """
        sums = [
            self._near_sum(name, state) for name, state in self._states.items()
        ]
        return tuple(load for load in sums if _is_worth_telling(load))

    def replace_region_loads(
        self, region: str, loads: tuple[SharedLoad, ...]
    ) -> None:
        """Replaces the sums that a region has told before."""
        for state in self._states.values():
            if state.region is not None and state.region.source == region:
                state.region = None
                state.told = None
        now_s = self._now_s()
        for load in loads:
            told_of = self._states.get(load.upstream)
            if told_of is not None:
                told_of.region = _PeerLoad(region, load, now_s)
                told_of.told = None

    def replace_peer_loads(
        self, peer: str, loads: tuple[SharedLoad, ...]
    ) -> None:
        """Replaces what a peer of this region has told before."""
        for state in self._states.values():
            if state.peers.pop(peer, None) is not None:
                state.told = None
        now_s = self._now_s()
        for load in loads:
            told_of = self._states.get(load.upstream)
            if told_of is not None:
                told_of.peers[peer] = _PeerLoad(peer, load, now_s)
                told_of.told = None

    def _own_load(self, name: str, state: UpstreamState) -> SharedLoad:
        return SharedLoad(
            name,
            state.direct.in_flight,
            tuple(sorted(state.direct.pending_tokens.items())),
            state.health.outcomes(self._now_s()),
        )

    def _near_sum(self, name: str, state: UpstreamState) -> SharedLoad:
        near = [one.load for one in self._fresh(state.peers.values())]
        return _sum(name, [self._own_load(name, state), *near])

    def _told(self, state: UpstreamState) -> SharedLoad:
        """Returns the sum of what others told and is not too old."""
        now_s = self._now_s()
        if state.told is None or now_s >= state.told_until_s:
            region = [state.region] if state.region else []
            fresh = self._fresh([*state.peers.values(), *region])
            state.told = _sum('', [one.load for one in fresh])
            state.told_until_s = min(
                (one.fresh_until_s for one in fresh),
                default=inf,
            )
        return state.told

    def _fresh(self, told: Iterable[_PeerLoad]) -> list[_PeerLoad]:
        now_s = self._now_s()
        return [one for one in told if one.fresh_until_s > now_s]

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _is_worth_telling(load: SharedLoad) -> bool:
    is_failing = load.outcomes.failed > _LEAST_FAILURES
    return bool(load.in_flight) or is_failing


def _sum(upstream: str, loads: Iterable[SharedLoad]) -> SharedLoad:
    """Returns the sum of counts at one upstream.

    It is taken for many upstreams a second; plain additions take less than
    half of the time of counters and sums of objects.
    """
    in_flight = 0
    failed: float = 0
    total: float = 0
    pending: dict[int, int] = {}
    for load in loads:
        in_flight += load.in_flight
        failed += load.outcomes.failed
        total += load.outcomes.total
        for rank, tokens in load.pending_tokens:
            pending[rank] = pending.get(rank, 0) + tokens
    tokens_by_rank = tuple(sorted(pending.items()))
    return SharedLoad(
        upstream,
        in_flight,
        tokens_by_rank,
        Outcomes(failed, total),
    )


def _unread(pending: Iterable[tuple[int, int]], priority: int) -> float:
    return sum(
        tokens if rank <= priority else _BEGUN * tokens
        for rank, tokens in pending
    )
