"""Builders of test data for the package `masticstage.forwarding`."""

from datetime import timedelta
from random import Random
from typing import Any

import attrs

from masticstage.clock import ManualClock, milliseconds
from masticstage.forwarding.candidate_finder import CandidateFinder
from masticstage.forwarding.choice import Chooser
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.pacer import Pacer
from masticstage.forwarding.prefix_reports import PrefixReports
from masticstage.forwarding.published import UpstreamRecord
from masticstage.forwarding.requests import (
    CallerRequest,
    CallKind,
    Prompt,
    PromptPart,
)
from masticstage.forwarding.routes import (
    Engine,
    Route,
    RouteTable,
    ServiceConfig,
    Share,
)
from masticstage.forwarding.sampling import CandidateSampler
from masticstage.forwarding.teams import Team, TeamEntry, build_team_directory
from masticstage.forwarding.view import FleetView
from masticstage.membership import Member, MemberId, MemberTable

SECOND = timedelta(seconds=1)


def build_route(**changes: Any) -> Route:
    """Returns a safe route to the service `shop`."""
    route = Route(
        'look-up',
        'shop.example',
        '/stock/',
        CallKind.SAFE,
        milliseconds(1500),
        milliseconds(300),
        (Share('shop', 1),),
        max_attempts=2,
    )
    return attrs.evolve(route, **changes)


def build_stream_route(**changes: Any) -> Route:
    """Returns a resumable route to the engines of `model`."""
    route = build_route(
        kind=CallKind.STREAMING,
        path_prefix='/ask/',
        shares=(Share('model', 1),),
        is_resumable=True,
        longest_pause=milliseconds(400),
        limit=milliseconds(5000),
    )
    return attrs.evolve(route, **changes)


def build_table(version: int = 1, *routes: Route) -> RouteTable:
    """Returns a configuration with an application and an engine service."""
    services = (
        ServiceConfig('shop', '/health', 100),
        ServiceConfig(
            'model', '/health', 300, 3.5, Engine(64, 360_000, 740_000)
        ),
    )
    return RouteTable(
        version,
        routes or (build_route(), build_stream_route()),
        {service.name: service for service in services},
    )


def build_team_table(
    keys: dict[str, Team], version: int = 1, *routes: Route
) -> RouteTable:
    """Returns a configuration with teams, each with one key."""
    entries = (TeamEntry(team, (key,)) for key, team in keys.items())
    return attrs.evolve(
        build_table(version, *routes), teams=build_team_directory(entries)
    )


def build_record(name: str = 'u-1', **changes: Any) -> UpstreamRecord:
    """Returns a ready upstream of `shop` in the north."""
    record = UpstreamRecord(
        name,
        'shop',
        '10.0.0.1:80',
        'north-a',
        'north',
        6,
    )
    return attrs.evolve(record, **changes)


def build_request(**changes: Any) -> CallerRequest:
    """Returns a request to the service `shop`."""
    request = CallerRequest(
        'r-1',
        b'GET',
        b'/stock/1',
        'shop.example',
        '/stock/1',
        (),
        b'',
        milliseconds(3000),
        timedelta(),
    )
    return attrs.evolve(request, **changes)


def build_prompt(shared: str = 'a1', tokens: int = 13_000) -> Prompt:
    """Returns a prompt with one shared part and one part of its own."""
    own = PromptPart('ff', 500)
    return Prompt((PromptPart(shared, tokens), own), tokens + 500, 100)


def build_member(name: str, region: str = 'north') -> Member:
    """Returns a live instance in the first data centre of a region."""
    return Member(
        MemberId(name, 1),
        f'{region}-a',
        region,
        f'{name}:1',
        f'{name}:2',
    )


@attrs.define
class SimulatedInstance:
    """The state of one instance with a manual clock, without I/O."""

    clock: ManualClock
    view: FleetView
    loads: LoadTable
    members: MemberTable
    chooser: Chooser
    prefix_reports: PrefixReports

    def add_upstream(self, record: UpstreamRecord) -> None:
        """Adds an upstream to the view of the fleet."""
        self.view.apply(f'u/{record.name}', record)

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self.clock.advance(timedelta(seconds=seconds))


def build_simulated_instance(
    *peers: Member, name: str = 'own', age_s: float = 0
) -> SimulatedInstance:
    """Returns an instance in the north that has run for `age_s` seconds."""
    clock = ManualClock()
    clock.advance(timedelta(seconds=100))
    view = FleetView(clock)
    loads = LoadTable(clock)
    members = MemberTable(clock, build_member(name), timedelta(seconds=5))
    members.merge(peers)
    view.apply('c', build_table())
    random = Random(1)
    finder = CandidateFinder(clock, random, view, loads, members)
    pacer = Pacer(clock, loads, members)
    chooser = Chooser(clock, CandidateSampler(random), finder, loads, pacer)
    reports = PrefixReports(clock)
    clock.advance(timedelta(seconds=age_s))
    return SimulatedInstance(clock, view, loads, members, chooser, reports)
