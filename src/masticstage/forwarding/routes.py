"""Routes by host and path, the services behind them, and limits."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from functools import cached_property
from typing import Final, final

import attrs
import xxhash

from masticstage.forwarding.requests import CallKind

#: Resolution of a weighted split: parts of a million.
_SPLIT_STEPS: Final = 1_000_000


@attrs.frozen
class Share:
    """A service and the weight with which a route sends to it."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """One route: what is asked there and how it may be served.

    `limit` is the longest time a caller is kept waiting, `target` the time
    within which an answer is on time, `longest_pause` the same between two
    events.  `homes` are the regions that may serve it, all when empty.
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

    @property
    def services(self) -> frozenset[str]:
        """Names of the services that the route sends to."""
        return frozenset(share.service for share in self.shares)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be run again after it may have run."""
        return self.kind is CallKind.SAFE or self.is_resumable

    def allows(self, region: str) -> bool:
        """Tells whether a region may serve the route."""
        return not self.homes or region in self.homes

    def service_for(self, request_id: str) -> str:
        """Returns the service that a request goes to, by weight."""
        total = sum(share.weight for share in self.shares)
        digest = xxhash.xxh3_64_intdigest(request_id.encode())
        drawn = digest % _SPLIT_STEPS / _SPLIT_STEPS * total
        for share in self.shares:
            drawn -= share.weight
            if drawn < 0:
                return share.service
        return self.shares[-1].service


@attrs.frozen
class Engine:
    """What a model engine can hold: requests at once, tokens in memory.

    `link_mbps` is the rate at which engines copy memory from each other, 0
    when they do not; it is so high that a copy takes no time beside reading.
    """

    slots: int
    memory_tokens: int
    link_mbps: float = 0


@attrs.frozen
class ServicePlan:
    """How the upstreams of a service are reached.

    `cold_rate` is what a cold upstream stands, in requests a second; 0 for
    no bound.
    """

    name: str
    health_path: str
    max_connections: int
    cold_rate: float = 0
    engine: Engine | None = None


@attrs.frozen
class CallerLimits:
    """Bounds on what callers send, and how long they may take."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@final
@attrs.frozen(slots=False, eq=False)
class RouteTable:
    """One published configuration, with its lookups."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServicePlan]
    limits: CallerLimits = CallerLimits()

    def most_urgent(self, route: Route) -> int:
        """Returns the least number of a priority beside a route.

        Only streams that share a service with it are compared.
        """
        ranks = [
            self._most_urgent.get((route.kind, service), route.priority)
            for service in route.services
        ]
        return min(ranks, default=route.priority)

    def homes_of(self, host: str) -> tuple[frozenset[str], ...]:
        """Returns the homes of the host's routes that have any."""
        routes = self._by_host.get(host, ())
        return tuple(route.homes for route in routes if route.homes)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, if any."""
        routes: Iterable[Route] = self._by_host.get(host, ())
        return next(
            (route for route in routes if path.startswith(route.path_prefix)),
            None,
        )

    @cached_property
    def _most_urgent(self) -> dict[tuple[CallKind, str], int]:
        ranks: dict[tuple[CallKind, str], int] = {}
        for route in self.routes:
            for service in route.services:
                known = ranks.get((route.kind, service), route.priority)
                ranks[route.kind, service] = min(known, route.priority)
        return ranks

    @cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        grouped: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=_prefix_length, reverse=True):
            grouped.setdefault(route.host, []).append(route)
        return grouped


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
