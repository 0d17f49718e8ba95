"""The routing policies that `make measure` compares.

Each policy is a function that submits one arriving request to a simulation.
`build_gateway` returns the policy that runs the gateway's own code; the others
are baselines.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from itertools import count
from random import Random
from typing import Final

import attrs

from bench.simulation import (
    BYTES_PER_MEGABIT,
    REPORT_INTERVAL_S,
    SLOTS,
    Arrival,
    Engine,
    Simulation,
)
from masticstage.admission import is_too_late
from masticstage.configuration_schema import Upstream, Weights
from masticstage.routing import (
    Choice,
    Demand,
    RemoteCandidate,
    Router,
    choose_transfer,
)
from masticstage.summaries import Summary, SummaryTable
from masticstage.upstream_table import LoadReport, UpstreamTable

Policy = Callable[[Arrival], None]
_MODEL: Final = 'model'
#: Wait reported by a site without engines; longer than any timeout.
_UNAVAILABLE_WAIT_MS: Final = 10_000_000
#: Shares of the timeout after which requests of priority 4 and 8 are due, as
#: in `masticstage.admission.queue_rank`.
_LONG_DUE_SHARE: Final = 0.067
_SHORT_DUE_SHARE: Final = 0.022


def build_round_robin(simulation: Simulation, random: Random) -> Policy:
    """Returns a policy that uses the local engines in turn."""
    turns = [count() for _ in simulation.deployment.sites]

    def route(arrival: Arrival) -> None:
        engines = simulation.available_engines(arrival.site)
        if not engines:
            simulation.shed(arrival)
            return
        turn = next(turns[arrival.site])
        simulation.submit(
            engines[turn % len(engines)], arrival, _static_rank(arrival)
        )

    return route


def build_nearest(simulation: Simulation, random: Random) -> Policy:
    """Returns a policy that uses a random local engine."""

    def route(arrival: Arrival) -> None:
        engines = simulation.available_engines(arrival.site)
        if engines:
            simulation.submit(
                random.choice(engines), arrival, _static_rank(arrival)
            )
        else:
            simulation.shed(arrival)

    return route


def build_least_load(simulation: Simulation, random: Random) -> Policy:
    """Returns a policy that uses the engine with the least reported load."""
    reported_backlogs = _track_backlogs(simulation)

    def route(arrival: Arrival) -> None:
        engines = [
            engine
            for engine in simulation.engines
            if engine.is_up
            and simulation.is_reachable(arrival.site, engine.site)
            and (engine.site == arrival.site or not arrival.is_bound)
        ]
        if not engines:
            simulation.shed(arrival)
            return
        lowest = min(reported_backlogs[engine.name] for engine in engines)
        best = [
            candidate
            for candidate in engines
            if reported_backlogs[candidate.name] == lowest
        ]
        _submit_to(simulation, arrival, random.choice(best))

    return route


def build_gateway(simulation: Simulation, random: Random) -> Policy:
    """Returns the policy of the gateway, with one router for each site."""
    weights = Weights(**simulation.deployment.weights)
    balancers = [
        _SiteBalancer(simulation, site, weights, random)
        for site in range(len(simulation.deployment.sites))
    ]

    def report() -> None:
        if not simulation.are_reports_frozen:
            for balancer in balancers:
                balancer.update_loads()
        for balancer in balancers:
            balancer.summaries.merge(
                other.summarize()
                for other in balancers
                if simulation.is_reachable(balancer.site, other.site)
                and other.site != balancer.site
            )
        if simulation.events:
            simulation.schedule(simulation.now_s + REPORT_INTERVAL_S, report)

    simulation.schedule(0, report)

    def route(arrival: Arrival) -> None:
        balancer = balancers[arrival.site]
        target = balancer.choose_other_site(arrival)
        if target is None:
            balancer.submit(arrival)
            return
        link = simulation.links[arrival.site, target]
        arrives_s = link.send(simulation.now_s, arrival.body_bytes)
        simulation.schedule(
            arrives_s, partial(balancers[target].submit, arrival)
        )

    return route


@attrs.define(eq=False)
class _SiteBalancer:
    """The gateway's routing decisions at one site."""

    simulation: Simulation
    site: int
    weights: Weights
    random: Random
    table: UpstreamTable = attrs.field(init=False)
    router: Router = attrs.field(init=False)
    summaries: SummaryTable = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the tables and the router on the simulated clock."""
        self.table = UpstreamTable(self.simulation.clock)
        self.router = Router(self.table, self.random)
        self.summaries = SummaryTable(self.simulation.clock)

    def update_loads(self) -> None:
        """Stores the current loads of the engines of this site."""
        now_ms = round(self.simulation.now_s * 1000) + 1
        self.table.merge(
            LoadReport(
                engine.name, 1, now_ms, len(engine.queue), engine.running
            )
            for engine in self.simulation.available_engines(self.site)
        )

    def summarize(self) -> Summary:
        """Returns the summary that this site sends to the others."""
        now_ms = round(self.simulation.now_s * 1000) + 1
        summary = self.table.summarize(
            str(self.site),
            _MODEL,
            self._local_upstreams(),
            now_ms,
        )
        return summary or Summary(
            str(self.site), _MODEL, now_ms, _UNAVAILABLE_WAIT_MS
        )

    def choose_other_site(self, arrival: Arrival) -> int | None:
        """Returns a site better than the local choice, or None."""
        if arrival.is_bound:
            return None
        deployment = self.simulation.deployment
        candidates = tuple(
            RemoteCandidate(
                expected.data_centre,
                expected.wait_s,
                deployment.link_s,
                deployment.link_mbps * BYTES_PER_MEGABIT,
            )
            for expected in self.summaries.expected_waits(_MODEL)
        )
        transfer = choose_transfer(
            candidates,
            _build_demand(arrival),
            self.weights,
            self._choose_local(arrival),
        )
        if transfer is None:
            return None
        self.summaries.record_transfer(transfer.data_centre, _MODEL)
        return int(transfer.data_centre)

    def submit(self, arrival: Arrival) -> None:
        """Submits a request locally; sheds it if its wait would be too long."""
        choice = self._choose_local(arrival)
        timeout = timedelta(seconds=arrival.timeout_s)
        if choice is None or is_too_late(timeout, _expected_wait(choice)):
            self.simulation.shed(arrival)
            return
        name = choice.upstream.name
        engine = next(
            candidate
            for candidate in self.simulation.engines
            if candidate.name == name
        )
        self.table.begin_request(name)
        self.router.record_prefix(_build_demand(arrival), name)
        due_share = _LONG_DUE_SHARE if arrival.is_long else _SHORT_DUE_SHARE
        due_after_s = due_share * arrival.timeout_s
        self.simulation.submit(
            engine,
            arrival,
            self.simulation.now_s + due_after_s,
            partial(self._end_request, name),
        )

    def _end_request(self, name: str, duration_s: float) -> None:
        self.table.end_request(name, timedelta(seconds=duration_s))

    def _choose_local(self, arrival: Arrival) -> Choice | None:
        return self.router.choose(
            self._local_upstreams(),
            _build_demand(arrival),
            self.weights,
        )

    def _local_upstreams(self) -> tuple[Upstream, ...]:
        return tuple(
            _build_upstream(engine)
            for engine in self.simulation.available_engines(self.site)
        )


def _track_backlogs(simulation: Simulation) -> dict[str, int]:
    """Returns the backlogs of all engines, updated by each load report."""
    reported = {engine.name: 0 for engine in simulation.engines}

    def report() -> None:
        if not simulation.are_reports_frozen:
            for engine in simulation.engines:
                reported[engine.name] = engine.backlog
        if simulation.events:
            simulation.schedule(simulation.now_s + REPORT_INTERVAL_S, report)

    simulation.schedule(0, report)
    return reported


def _submit_to(
    simulation: Simulation, arrival: Arrival, engine: Engine
) -> None:
    """Submits a request to an engine, over a link if it is at another site."""
    if engine.site == arrival.site:
        simulation.submit(engine, arrival, _static_rank(arrival))
        return
    link = simulation.links[arrival.site, engine.site]
    arrives_s = link.send(simulation.now_s, arrival.body_bytes)
    rank = _static_rank(arrival)
    simulation.schedule(
        arrives_s, partial(simulation.submit, engine, arrival, rank)
    )


def _expected_wait(choice: Choice) -> timedelta:
    return timedelta(seconds=choice.wait_s)


def _static_rank(arrival: Arrival) -> float:
    """Returns the queue rank for baselines: short answers go first."""
    return float(arrival.is_long)


def _build_demand(arrival: Arrival) -> Demand:
    return Demand(
        _MODEL,
        arrival.prefix,
        arrival.prefix_bytes,
        arrival.body_bytes,
    )


def _build_upstream(engine: Engine) -> Upstream:
    return Upstream(
        engine.name,
        _MODEL,
        str(engine.site),
        'http://127.0.0.1:1',
        SLOTS,
    )
