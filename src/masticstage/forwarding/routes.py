"""Routes by host and path, their services, and limits for callers."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from functools import cached_property
from typing import Final, final

import attrs
import xxhash

from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.teams import (
    Team,
    TeamDirectory,
    combine_homes,
    combine_priorities,
)

#: Number of steps in which a weighted split divides requests.
_SPLIT_STEPS: Final = 1_000_000


@attrs.frozen
class Share:
    """A service and its weight in the split of a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route, with the rules for serving its requests.

    `limit` is the longest time that a caller waits. An answer is on time within
    `target`, and the next event of a stream within `longest_pause`. `homes` are
    the regions that may serve the route, all if empty. A request with a
    lower `priority` is more urgent. With `is_public` no key is needed.

    In the effective route of a team `priority` is the number that its requests
    have at engines, and `published_priority` the one of the route itself.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    limit: timedelta
    target: timedelta
    shares: tuple[Share, ...]
    priority: int = 0
    max_attempts: int = 1
    homes: frozenset[str] = frozenset()
    is_resumable: bool = False
    longest_pause: timedelta = timedelta()
    is_public: bool = False
    published_priority: int | None = None

    @property
    def own_priority(self) -> int:
        """The priority among routes, without that of a team."""
        if self.published_priority is None:
            return self.priority
        return self.published_priority

    @property
    def services(self) -> frozenset[str]:
        """Names of the services of the route."""
        return frozenset(share.service for share in self.shares)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request that may have run may be run again."""
        return self.kind is CallKind.SAFE or self.is_resumable

    def allows(self, region: str) -> bool:
        """Returns whether a region may serve the route."""
        return not self.homes or region in self.homes

    def service_for(self, request_id: str) -> str:
        """Returns the service for a request id, chosen by weight."""
        total = sum(share.weight for share in self.shares)
        digest = xxhash.xxh3_64_intdigest(request_id.encode())
        position = digest % _SPLIT_STEPS / _SPLIT_STEPS * total
        for share in self.shares:
            position -= share.weight
            if position < 0:
                return share.service
        return self.shares[-1].service


@attrs.frozen
class Engine:
    """Capacity of a model engine: concurrent requests and tokens in memory.

    `link_mbps` is the rate at which engines copy prefixes from each other, 0 if
    they do not. Copies are so fast that their time is neglected.
    """

    slots: int
    memory_tokens: int
    link_mbps: float = 0


@attrs.frozen
class ServiceConfig:
    """Published configuration of a service and its upstreams.

    `cold_rate` limits the requests a second to a cold upstream, 0 for no limit.
    `engine` is None for a service without model engines.
    """

    name: str
    health_path: str
    max_connections: int
    cold_rate: float = 0
    engine: Engine | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size of requests and on the time to receive them."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@final
@attrs.frozen(slots=False, eq=False)
class RouteTable:
    """One published configuration, with lookups.

    `teams` is None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceConfig]
    limits: CallerLimits = CallerLimits()
    teams: TeamDirectory | None = None

    def effective_route(self, route: Route, team: Team | None) -> Route | None:
        """Returns a route of this table as it applies to a team's requests.

        Returns the route itself if the table has no teams, and None if the
        team and the route have no region in common. `team` is None for requests
        to public routes without a known key.
        """
        if self.teams is None:
            return route
        # The table keeps its routes, so that their ids stay unique.
        cache_key = (id(route), team.name if team else '')
        if cache_key not in self._effective_routes:
            self._effective_routes[cache_key] = _combine(route, team)
        return self._effective_routes[cache_key]

    def most_urgent_priority(self, route: Route) -> int:
        """Returns the most urgent priority that competes with a route.

        Routes of the same kind that share a service with it are compared, by
        their own priorities: those of teams do not make a kind less urgent.
        """
        priorities = [
            self._most_urgent_by_service.get(
                (route.kind, service),
                route.own_priority,
            )
            for service in route.services
        ]
        return min(priorities, default=route.own_priority)

    def homes_of(self, host: str) -> tuple[frozenset[str], ...]:
        """Returns the homes of each route of a host that has any."""
        routes = self._by_host.get(host, ())
        return tuple(route.homes for route in routes if route.homes)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, if any."""
        routes: Iterable[Route] = self._by_host.get(host, ())
        return next(
            (route for route in routes if path.startswith(route.path_prefix)),
            None,
        )

    @cached_property
    def _effective_routes(self) -> dict[tuple[int, str], Route | None]:
        return {}

    @cached_property
    def _most_urgent_by_service(self) -> dict[tuple[CallKind, str], int]:
        priorities: dict[tuple[CallKind, str], int] = {}
        for route in self.routes:
            for service in route.services:
                most_urgent = priorities.get(
                    (route.kind, service), route.priority
                )
                priorities[route.kind, service] = min(
                    most_urgent, route.priority
                )
        return priorities

    @cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        grouped: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=_prefix_length, reverse=True):
            grouped.setdefault(route.host, []).append(route)
        return grouped


def _combine(route: Route, team: Team | None) -> Route | None:
    homes = combine_homes(team, route.homes)
    if homes is None:
        return None
    return attrs.evolve(
        route,
        priority=combine_priorities(team, route.priority),
        published_priority=route.priority,
        homes=homes,
    )


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
