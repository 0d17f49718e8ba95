"""Finds the upstreams that may serve a request, and peers to relay it."""

from collections.abc import Iterator, Sequence
from datetime import timedelta
from random import Random
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.candidates import Candidate
from masticstage.forwarding.loads import LoadTable, UpstreamState
from masticstage.forwarding.origins.origin import Origin
from masticstage.forwarding.published import UpstreamRecord
from masticstage.forwarding.routes import Route, ServiceConfig
from masticstage.forwarding.view import FleetView, KnownUpstream
from masticstage.forwarding.warmups.senders import (
    chosen_sender,
    cold_interval_s,
)
from masticstage.membership import Liveness, Member, MemberTable

#: Age from which an instance knows the others of its region, also if its seeds
#: start after it. Before that it may take itself for the only one.
_PEERS_KNOWN_AFTER: Final = timedelta(seconds=3)


@final
@attrs.define
class CandidateFinder:
    """Lists candidates from the published records and the live members."""

    _clock: Clock
    _random: Random
    _view: FleetView
    _loads: LoadTable
    _members: MemberTable
    _began_at: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Notes the start of this instance."""
        self._began_at = self._clock.elapsed()

    def is_cold(self, upstream: KnownUpstream) -> bool:
        """Returns whether an upstream is still warming up."""
        return upstream.cold_until > self._clock.elapsed()

    def software_of(self, upstream: KnownUpstream) -> str | None:
        """Returns the software version of an upstream, None if unknown.

        One that was cold, unlike its record, may be a process that has started
        since, of another version.
        """
        record = upstream.record
        if self._view.told_warm_ups.is_unlike_record(record.name):
            return None
        return record.software

    def of_origin(
        self, candidates: Sequence[Candidate], origin: Origin | None
    ) -> Sequence[Candidate]:
        """Returns the candidates that may go on with a stream, all of None."""
        if origin is None:
            return candidates
        return [
            candidate
            for candidate in candidates
            if origin.allows(self.software_of(candidate.known_upstream))
        ]

    def is_in_own_data_centre(self, candidate: Candidate) -> bool:
        """Returns whether a candidate is in this instance's data centre."""
        own = self._members.own.data_centre
        return candidate.known_upstream.record.data_centre == own

    def candidates(self, route: Route, service: str) -> Iterator[Candidate]:
        """Yields the candidates of a service that may serve a route."""
        service_config = self._view.service_config(service)
        if service_config is None:
            return
        own_region = self._members.own.region
        relays: dict[str, Member | None] = {}
        for upstream in self._view.upstreams_of(service):
            record = upstream.record
            if not route.allows(record.region):
                continue
            if record.region != own_region and record.data_centre not in relays:
                relays[record.data_centre] = self._pick_relay(record)
            via = relays.get(record.data_centre)
            is_reachable = via is not None or record.region == own_region
            candidate = (
                self._usable_candidate(upstream, service_config, via)
                if is_reachable
                else None
            )
            if candidate is not None:
                yield candidate

    def copy_sources(self, route: Route, service: str) -> Iterator[Candidate]:
        """Yields engines that get no requests but may hold prefixes.

        These are the leaving and evacuated ones, within the route's homes.
        """
        service_config = self._view.service_config(service)
        if service_config is None or service_config.engine is None:
            return
        for upstream in self._view.emptied_of(service):
            state = self._state(upstream, service_config)
            if route.allows(upstream.record.region) and not (
                state.health.is_suspected
            ):
                yield Candidate(upstream, service_config, state, None)

    def _usable_candidate(
        self,
        upstream: KnownUpstream,
        service_config: ServiceConfig,
        via: Member | None,
    ) -> Candidate | None:
        """Returns the candidate if its upstream may get a request now.

        A cold upstream whose rate is limited gets requests only from its own
        region.
        """
        state = self._state(upstream, service_config)
        if state.health.is_suspected:
            return None
        is_limited = service_config.cold_rate and self.is_cold(upstream)
        if is_limited and (
            via is not None
            or not self._may_send_cold(upstream, service_config, state)
        ):
            return None
        return Candidate(upstream, service_config, state, via)

    def _may_send_cold(
        self,
        upstream: KnownUpstream,
        service_config: ServiceConfig,
        state: UpstreamState,
    ) -> bool:
        """Returns whether this instance may send to a cold upstream now."""
        if self._clock.elapsed() - self._began_at < _PEERS_KNOWN_AFTER:
            return False
        own = self._members.own
        names = [own.identity.name]
        names.extend(
            member.identity.name
            for member in self._members.live_in_place(own.region)
        )
        if chosen_sender(upstream.record.name, names) != own.identity.name:
            return False
        idle_s = self._now_s() - state.last_cold_dispatch_s
        return idle_s >= cold_interval_s(
            service_config.cold_rate, len(names) / self._count_known()
        )

    def _count_known(self) -> int:
        """Returns how many instances of this region run, or may run."""
        others = (*self._members.others(), *self._members.gone())
        return 1 + sum(
            member.region == self._members.own.region
            and member.liveness is not Liveness.LEAVING
            for member in others
        )

    def _pick_relay(self, record: UpstreamRecord) -> Member | None:
        """Returns a live instance of the upstream's region, if any.

        Instances in the data centre of the upstream are preferred.
        """
        live = self._members.live_in_place(record.region)
        nearby = self._members.live_in_place(record.region, record.data_centre)
        return self._random.choice(nearby or live) if live else None

    def _state(
        self, upstream: KnownUpstream, service_config: ServiceConfig
    ) -> UpstreamState:
        engine = service_config.engine
        record = upstream.record
        memory = engine.memory_tokens if engine else 0
        return self._loads.state(record.name, record.started_at_ms, memory)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()
