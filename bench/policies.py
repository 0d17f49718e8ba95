"""The policies that `make measure` compares.

Each is a function that takes one request into the world.  `route_chosen` is
the product's own decision code; the others are baselines.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from itertools import count
from random import Random
from typing import Final

import attrs

from bench.policy import (
    BYTES_PER_MEGABIT,
    REPORT_S,
    SLOTS,
    Arrival,
    Engine,
    World,
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

Route = Callable[[Arrival], None]
_MODEL: Final = 'model'
#: Wait that a place without engines reports.
_NEVER_MS: Final = 10_000_000
#: Parts of the timeout after which requests of priority 4 and 8 are due, as
#: in `masticstage.admission.queue_rank`.
_LONG_SLACK: Final = 0.067
_SHORT_SLACK: Final = 0.022


def build_round_robin(world: World, random: Random) -> Route:
    """Returns a policy that takes the local engines in turn."""
    turns = [count() for _ in world.deployment.sites]

    def route(arrival: Arrival) -> None:
        engines = world.local(arrival.place)
        if not engines:
            world.shed(arrival)
            return
        turn = next(turns[arrival.place])
        world.submit(
            engines[turn % len(engines)], arrival, _static_rank(arrival)
        )

    return route


def build_nearest(world: World, random: Random) -> Route:
    """Returns a policy that draws a local engine at random."""

    def route(arrival: Arrival) -> None:
        engines = world.local(arrival.place)
        if engines:
            world.submit(random.choice(engines), arrival, _static_rank(arrival))
        else:
            world.shed(arrival)

    return route


def build_least_load(world: World, random: Random) -> Route:
    """Returns a policy that takes the least reported load anywhere."""
    reported = _watch_reports(world)

    def route(arrival: Arrival) -> None:
        engines = [
            engine
            for engine in world.engines
            if engine.is_up
            and world.is_reachable(arrival.place, engine.place)
            and (engine.place == arrival.place or not arrival.is_bound)
        ]
        if not engines:
            world.shed(arrival)
            return
        least = min(reported[engine.name] for engine in engines)
        best = [one for one in engines if reported[one.name] == least]
        _send(world, arrival, random.choice(best))

    return route


def build_chosen(world: World, random: Random) -> Route:
    """Returns the product's policy, one router for each place."""
    weights = Weights(**world.deployment.weights)
    sites = [
        _Site(world, place, weights, random)
        for place in range(len(world.deployment.sites))
    ]

    def report() -> None:
        if not world.are_reports_frozen:
            for site in sites:
                site.take_reports()
        for site in sites:
            site.summaries.merge(
                other.summarize()
                for other in sites
                if world.is_reachable(site.place, other.place)
                and other.place != site.place
            )
        if world.events:
            world.at(world.now_s + REPORT_S, report)

    world.at(0, report)

    def route(arrival: Arrival) -> None:
        site = sites[arrival.place]
        target = site.choose_other(arrival)
        if target is None:
            site.submit(arrival)
            return
        link = world.links[arrival.place, target]
        arrives_s = link.send(world.now_s, arrival.body_bytes)
        world.at(arrives_s, partial(sites[target].submit, arrival))

    return route


@attrs.define(eq=False)
class _Site:
    """The product's decisions in one data centre."""

    world: World
    place: int
    weights: Weights
    random: Random
    table: UpstreamTable = attrs.field(init=False)
    router: Router = attrs.field(init=False)
    summaries: SummaryTable = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the decision code on the stepped clock."""
        self.table = UpstreamTable(self.world.clock)
        self.router = Router(self.table, self.random)
        self.summaries = SummaryTable(self.world.clock)

    def take_reports(self) -> None:
        """Reads the loads that the engines report, with their lag."""
        now_ms = round(self.world.now_s * 1000) + 1
        self.table.merge(
            LoadReport(
                engine.name, 1, now_ms, len(engine.queue), engine.running
            )
            for engine in self.world.local(self.place)
        )

    def summarize(self) -> Summary:
        """Returns what this place tells the others."""
        now_ms = round(self.world.now_s * 1000) + 1
        summary = self.table.summarize(
            str(self.place),
            _MODEL,
            self._upstreams(),
            now_ms,
        )
        return summary or Summary(str(self.place), _MODEL, now_ms, _NEVER_MS)

    def choose_other(self, arrival: Arrival) -> int | None:
        """Returns another place when it is better than the local choice."""
        if arrival.is_bound:
            return None
        deployment = self.world.deployment
        places = tuple(
            RemoteCandidate(
                expected.data_centre,
                expected.wait_s,
                deployment.link_s,
                deployment.link_mbps * BYTES_PER_MEGABIT,
            )
            for expected in self.summaries.expected_waits(_MODEL)
        )
        transfer = choose_transfer(
            places,
            _demand(arrival),
            self.weights,
            self._choose(arrival),
        )
        if transfer is None:
            return None
        self.summaries.record_transfer(transfer.data_centre, _MODEL)
        return int(transfer.data_centre)

    def submit(self, arrival: Arrival) -> None:
        """Starts a request here, or sheds it when it would be too late."""
        choice = self._choose(arrival)
        timeout = timedelta(seconds=arrival.timeout_s)
        if choice is None or is_too_late(timeout, _wait(choice)):
            self.world.shed(arrival)
            return
        name = choice.upstream.name
        engine = next(one for one in self.world.engines if one.name == name)
        self.table.begin_request(name)
        self.router.record_prefix(_demand(arrival), name)
        slack = _LONG_SLACK if arrival.is_long else _SHORT_SLACK
        slack_s = slack * arrival.timeout_s
        self.world.submit(
            engine,
            arrival,
            self.world.now_s + slack_s,
            partial(self._note_end, name),
        )

    def _note_end(self, name: str, duration_s: float) -> None:
        self.table.end_request(name, timedelta(seconds=duration_s))

    def _choose(self, arrival: Arrival) -> Choice | None:
        return self.router.choose(
            self._upstreams(),
            _demand(arrival),
            self.weights,
        )

    def _upstreams(self) -> tuple[Upstream, ...]:
        return tuple(
            _upstream(engine) for engine in self.world.local(self.place)
        )


def _watch_reports(world: World) -> dict[str, int]:
    reported = {engine.name: 0 for engine in world.engines}

    def report() -> None:
        if not world.are_reports_frozen:
            for engine in world.engines:
                reported[engine.name] = engine.backlog
        if world.events:
            world.at(world.now_s + REPORT_S, report)

    world.at(0, report)
    return reported


def _send(world: World, arrival: Arrival, engine: Engine) -> None:
    if engine.place == arrival.place:
        world.submit(engine, arrival, _static_rank(arrival))
        return
    link = world.links[arrival.place, engine.place]
    arrives_s = link.send(world.now_s, arrival.body_bytes)
    rank = _static_rank(arrival)
    world.at(arrives_s, partial(world.submit, engine, arrival, rank))


def _wait(choice: Choice) -> timedelta:
    return timedelta(seconds=choice.wait_s)


def _static_rank(arrival: Arrival) -> float:
    """Returns the rank that baselines give: quick questions go first."""
    return float(arrival.is_long)


def _demand(arrival: Arrival) -> Demand:
    return Demand(
        _MODEL,
        arrival.prefix,
        arrival.prefix_bytes,
        arrival.body_bytes,
    )


def _upstream(engine: Engine) -> Upstream:
    return Upstream(
        engine.name,
        _MODEL,
        str(engine.place),
        'http://127.0.0.1:1',
        SLOTS,
    )
