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
from masticstage.forwarding.slowdowns import Slowdown, bound_slowdown

#: Weight of a new observation in a moving average.
_WEIGHT: Final = 0.2
#: Age up to which a load reported by an upstream is used, in seconds.
_MAX_REPORT_AGE_S: Final = 0.5
#: Age up to which a peer's load is used, in seconds. In a region of ten
#: instances, gossip reaches each peer about once a second and misses few of
#: them for longer than this.
_MAX_PEER_LOAD_AGE_S: Final = 3.0
#: Decayed number of failures above which the load of an upstream without
#: requests in flight is reported to peers as well.
_MIN_REPORTED_FAILURES: Final = 0.3
#: Bounds on the observed ratio of a latency to the expected one.
_MIN_LATENCY_RATIO: Final = 0.5
_MAX_LATENCY_RATIO: Final = 10.0
#: Fraction of a less urgent prompt that is prefilled before an urgent one,
#: since its prefill has already begun.
_STARTED_SHARE: Final = 0.3


@attrs.frozen
class ReportedLoad:
    """Running and waiting requests at an upstream, and its slots.

    `slowdown` is how many times longer than usual work takes there at this
    moment, None if the upstream does not tell.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


#: Pairs of a priority and the prompt tokens of requests that have had no event.
PendingTokens = tuple[tuple[int, int], ...]


@attrs.frozen
class SharedLoad:
    """Load that one instance or region has on one upstream."""

    upstream: str
    in_flight: int
    pending_tokens: PendingTokens
    outcomes: Outcomes = Outcomes()


@attrs.frozen
class _PeerLoad:
    """Load reported by a peer or for a region, and when it arrived (s)."""

    source: str
    load: SharedLoad
    received_at_s: float

    @property
    def expires_at_s(self) -> float:
        """When the report is no longer used."""
        return self.received_at_s + _MAX_PEER_LOAD_AGE_S


@attrs.define
class LoadCounters:
    """Requests in flight and prompt tokens still to prefill, by priority."""

    in_flight: int = 0
    pending_tokens: Counter[int] = attrs.field(factory=Counter)

    def tokens_ahead(self, priority: int) -> float:
        """Returns the tokens to prefill before a prompt of a priority."""
        return _count_tokens_ahead(self.pending_tokens.items(), priority)


@attrs.define
class UpstreamState:
    """Load, health and latency of one upstream.

    `direct` counts the requests that this instance sent there itself,
    `relayed` those that it sent through peers, which count them as their own.
    `peer_loads` holds the loads that other instances of this region reported,
    `region_load` the total that another region reported for itself.
    `others_load` is the sum of both, valid until the first of them expires.
    `health` reflects direct dispatches, `relay_health` relayed ones.
    `latency_ratio` is a moving average of the ratio of observed to expected
    times.
    """

    started_at_ms: int
    cache: PromptCache
    direct: LoadCounters = attrs.field(factory=LoadCounters)
    relayed: LoadCounters = attrs.field(factory=LoadCounters)
    reported: ReportedLoad | None = None
    reported_at_s: float = 0
    in_flight_when_reported: int = 0
    slowdown: Slowdown = Slowdown()
    health: Health = attrs.field(factory=Health)
    relay_health: Health = attrs.field(factory=Health)
    latency_ratio: float = 1
    last_cold_dispatch_s: float = -1
    peer_loads: dict[str, _PeerLoad] = attrs.field(factory=dict)
    region_load: _PeerLoad | None = None
    others_load: SharedLoad | None = None
    others_expire_at_s: float = 0


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
        """Returns the state of an upstream, an empty one after its restart."""
        state = self._states.get(name)
        if state is None or (
            started_at_ms and state.started_at_ms != started_at_ms
        ):
            state = UpstreamState(
                started_at_ms,
                PromptCache.of_memory(memory_tokens),
            )
            self._states[name] = state
        elif memory_tokens and not state.cache.has_memory:
            # A health check may ask for the state first, without the memory.
            state.cache = PromptCache.of_memory(memory_tokens)
        return state

    def upstream_names(self) -> tuple[str, ...]:
        """Returns the names of all upstreams with a state."""
        return tuple(self._states)

    def keep_only(self, names: Collection[str]) -> None:
        """Removes the states of all other upstreams."""
        for removed in self._states.keys() - set(names):
            self._states.pop(removed)

    def in_flight(self, state: UpstreamState) -> int:
        """Returns the estimated number of requests at an upstream."""
        counted = state.direct.in_flight + self._others_load(state).in_flight
        counted = max(counted, state.relayed.in_flight)
        if state.reported is None:
            return counted
        if self._now_s() - state.reported_at_s > _MAX_REPORT_AGE_S:
            return counted
        sent_since = state.direct.in_flight - state.in_flight_when_reported
        total = state.reported.running + state.reported.waiting + sent_since
        return max(state.direct.in_flight, total)

    def tokens_ahead(self, state: UpstreamState, priority: int) -> float:
        """Returns the tokens to prefill before a new prompt of a priority.

        These are all tokens of the same or higher urgency, and a fraction of
        the less urgent ones. Relayed requests are part of the load of peers
        too, so the larger of the two figures counts.
        """
        others = _count_tokens_ahead(
            self._others_load(state).pending_tokens,
            priority,
        )
        counted = state.direct.tokens_ahead(priority) + others
        return max(counted, state.relayed.tokens_ahead(priority))

    def outcomes(self, state: UpstreamState) -> Outcomes:
        """Returns recent outcomes at an upstream, with those of others."""
        now_s = self._now_s()
        relayed = state.relay_health.outcomes(now_s)
        own = state.health.outcomes(now_s).plus(relayed)
        return own.plus(self._others_load(state).outcomes)

    def others_outcomes(self, state: UpstreamState) -> Outcomes:
        """Returns the recent outcomes that others reported."""
        return self._others_load(state).outcomes

    def record_report(self, state: UpstreamState, load: ReportedLoad) -> None:
        """Stores the load that an upstream reported with an answer."""
        state.reported = load
        state.reported_at_s = self._now_s()
        state.in_flight_when_reported = state.direct.in_flight
        if load.slowdown is not None:
            state.slowdown = bound_slowdown(load.slowdown, state.reported_at_s)

    def record_outcome(
        self,
        state: UpstreamState,
        *,
        is_failure: bool,
        is_relayed: bool = False,
    ) -> None:
        """Counts the outcome of a dispatch.

        Relayed ones are counted separately and not shared: the peer reports
        them itself, and the failure may be one of the peer or the connection.
        """
        health = state.relay_health if is_relayed else state.health
        health.record_outcome(self._now_s(), is_failure=is_failure)

    def record_latency_ratio(self, state: UpstreamState, ratio: float) -> None:
        """Adds the ratio of an observed to an expected time."""
        bounded = min(max(ratio, _MIN_LATENCY_RATIO), _MAX_LATENCY_RATIO)
        state.latency_ratio += _WEIGHT * (bounded - state.latency_ratio)

    def own_loads(self) -> tuple[SharedLoad, ...]:
        """Returns the loads of this instance, for peers of its region."""
        own = [
            self._own_load(name, state)
            for name, state in self._states.items()
            if _may_report(state)
        ]
        return tuple(load for load in own if _should_report(load))

    def region_loads(self) -> tuple[SharedLoad, ...]:
        """Returns the totals of this region, for other regions.

        They are complete, as only instances of its own region connect to an
        upstream.
        """
        totals = [
            self._region_load(name, state)
            for name, state in self._states.items()
            if _may_report(state)
        ]
        return tuple(load for load in totals if _should_report(load))

    def replace_region_loads(
        self,
        region: str,
        loads: tuple[SharedLoad, ...],
    ) -> None:
        """Replaces the totals that a region reported before."""
        for state in self._states.values():
            if (
                state.region_load is not None
                and state.region_load.source == region
            ):
                state.region_load = None
                state.others_load = None
        now_s = self._now_s()
        for load in loads:
            target = self._states.get(load.upstream)
            if target is not None:
                target.region_load = _PeerLoad(region, load, now_s)
                target.others_load = None

    def replace_peer_loads(
        self,
        peer: str,
        loads: tuple[SharedLoad, ...],
    ) -> None:
        """Replaces the loads that a peer of this region reported before."""
        for state in self._states.values():
            if state.peer_loads.pop(peer, None) is not None:
                state.others_load = None
        now_s = self._now_s()
        for load in loads:
            target = self._states.get(load.upstream)
            if target is not None:
                target.peer_loads[peer] = _PeerLoad(peer, load, now_s)
                target.others_load = None

    def _own_load(self, name: str, state: UpstreamState) -> SharedLoad:
        return SharedLoad(
            name,
            state.direct.in_flight,
            tuple(sorted(state.direct.pending_tokens.items())),
            state.health.outcomes(self._now_s()),
        )

    def _region_load(self, name: str, state: UpstreamState) -> SharedLoad:
        peers = [
            report.load
            for report in _unexpired(state.peer_loads.values(), self._now_s())
        ]
        return _sum_loads(name, [self._own_load(name, state), *peers])

    def _others_load(self, state: UpstreamState) -> SharedLoad:
        """Returns the sum of the unexpired loads that others reported."""
        now_s = self._now_s()
        if state.others_load is None or now_s >= state.others_expire_at_s:
            region = [state.region_load] if state.region_load else []
            unexpired = _unexpired([*state.peer_loads.values(), *region], now_s)
            state.others_load = _sum_loads(
                '', [report.load for report in unexpired]
            )
            state.others_expire_at_s = min(
                (report.expires_at_s for report in unexpired),
                default=inf,
            )
        return state.others_load

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _may_report(state: UpstreamState) -> bool:
    """Returns False if a load need not be summed up, as there is none."""
    return bool(
        state.direct.in_flight or state.peer_loads or state.health.has_failures
    )


def _unexpired(reports: Iterable[_PeerLoad], now_s: float) -> list[_PeerLoad]:
    return [report for report in reports if report.expires_at_s > now_s]


def _should_report(load: SharedLoad) -> bool:
    is_failing = load.outcomes.failed > _MIN_REPORTED_FAILURES
    return bool(load.in_flight) or is_failing


def _sum_loads(upstream: str, loads: Iterable[SharedLoad]) -> SharedLoad:
    """Returns the sum of the loads on one upstream.

    This runs for many upstreams a second. Plain additions take less than half
    the time of `Counter` and `Outcomes.plus`.
    """
    in_flight = 0
    failed: float = 0
    total: float = 0
    pending: dict[int, int] = {}
    for load in loads:
        in_flight += load.in_flight
        failed += load.outcomes.failed
        total += load.outcomes.total
        for priority, tokens in load.pending_tokens:
            pending[priority] = pending.get(priority, 0) + tokens
    tokens_by_priority = tuple(sorted(pending.items()))
    return SharedLoad(
        upstream,
        in_flight,
        tokens_by_priority,
        Outcomes(failed, total),
    )


def _count_tokens_ahead(
    pending: Iterable[tuple[int, int]],
    priority: int,
) -> float:
    """Returns the pending tokens to prefill before a prompt of a priority."""
    ahead: float = 0
    for pending_priority, tokens in pending:
        is_ahead = pending_priority <= priority
        ahead += tokens if is_ahead else _STARTED_SHARE * tokens
    return ahead
