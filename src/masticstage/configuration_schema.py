"""Typed form of schemas/configuration.json (generated)."""

from typing import Literal

import attrs


@attrs.frozen
class Weights:
    """Relative weights of the routing score."""

    latency: float
    traffic: float
    sent_away: float


@attrs.frozen
class Region:
    """A residency domain and its data centres."""

    name: str
    data_centres: tuple[str, ...]
    link_mbps: float = 1000.0
    link_ms: float = 55.0


@attrs.frozen
class Team:
    """A caller organisation, its home region and its share of capacity."""

    name: str
    home: str
    key_sha256: str
    share: float = 1.0


@attrs.frozen
class Kind:
    """A kind of request of a service, and the regions that may serve it."""

    name: str
    regions: tuple[str, ...]
    bound_to_home: bool = False
    method: Literal['GET', 'POST', 'PUT', 'DELETE'] = 'POST'
    path: str = ''
    idempotent: bool = False
    priority: int = 5
    timeout_ms: int = 10000


@attrs.frozen
class Service:
    """A model or an application, with its kinds of request."""

    name: str
    type: Literal['model', 'application']
    kinds: tuple[Kind, ...]


@attrs.frozen
class Upstream:
    """One replica of a service."""

    name: str
    service: str
    data_centre: str
    address: str
    slots: int = 8
    checks_fencing: bool = False


@attrs.frozen
class Configuration:
    """The configuration that operators publish as one whole value."""

    deployment: str
    weights: Weights
    regions: tuple[Region, ...]
    teams: tuple[Team, ...]
    services: tuple[Service, ...]
    upstreams: tuple[Upstream, ...]
    released: tuple[str, ...] = ()
