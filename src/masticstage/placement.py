"""Where a request is served: an upstream here, or another data centre."""

import attrs
import xxhash

from masticstage.configuration import Catalogue
from masticstage.configuration_schema import Upstream
from masticstage.exceptions import (
    NoUpstreamError,
    ResidencyError,
    TransferLimitError,
)
from masticstage.instance import Instance
from masticstage.membership import Member
from masticstage.requests import Request
from masticstage.residency import (
    allowed_data_centres,
    allowed_regions,
    may_transfer,
)
from masticstage.routing import (
    Choice,
    Demand,
    RemoteCandidate,
    Transfer,
    choose_transfer,
)
from masticstage.summaries import ExpectedWait

_BITS_PER_MEGABIT = 1_000_000
_BITS_PER_BYTE = 8
_MS_PER_S = 1000


@attrs.frozen
class Placement:
    """A local choice, and a better place elsewhere if there is one."""

    local: Choice | None
    transfer: Transfer | None


def place(instance: Instance, request: Request, demand: Demand) -> Placement:
    """Chooses where to serve a request under the configuration in force."""
    catalogue = instance.catalogue()
    allowed = allowed_data_centres(catalogue, request.team, request.kind)
    local = None
    if instance.data_centre in allowed:
        local = _choose_local(instance, catalogue, demand)
    remote = _choose_remote(instance, request, demand, allowed, local)
    if local is None and remote is None:
        _refuse(instance, request, allowed)
    return Placement(local, remote)


def require_local(placement: Placement, request: Request) -> Choice:
    """Returns the local choice, or refuses the request without one."""
    if placement.local is None:
        raise NoUpstreamError(request.service)
    return placement.local


def demand_of(request: Request, prefix: str) -> Demand:
    """Returns what a request asks of an upstream."""
    encoded = prefix.encode()
    return Demand(
        request.service,
        xxhash.xxh3_64_intdigest(encoded) if encoded else 0,
        len(encoded),
        len(request.body),
    )


def pick_member(instance: Instance, data_centre: str) -> Member | None:
    """Returns a random live instance of a data centre."""
    members = instance.views.members.live_in(data_centre)
    return instance.random.choice(members) if members else None


def may_serve_here(
    instance: Instance,
    request: Request,
    upstream: Upstream,
) -> bool:
    """Repeats the checks of residency and leaving just before a dispatch."""
    catalogue = instance.catalogue()
    allowed = allowed_data_centres(catalogue, request.team, request.kind)
    if upstream.data_centre not in allowed:
        return False
    if upstream.data_centre != instance.data_centre:
        return False
    if catalogue.upstreams.get(upstream.name) != upstream:
        return False
    return not instance.views.upstreams.is_leaving(upstream.name)


def _choose_local(
    instance: Instance,
    catalogue: Catalogue,
    demand: Demand,
) -> Choice | None:
    place_key = (instance.data_centre, demand.service)
    upstreams = catalogue.local_upstreams.get(place_key, ())
    weights = catalogue.configuration.weights
    return instance.views.router.choose(upstreams, demand, weights)


def _choose_remote(
    instance: Instance,
    request: Request,
    demand: Demand,
    allowed: frozenset[str],
    local: Choice | None,
) -> Transfer | None:
    catalogue = instance.catalogue()
    places = tuple(
        _remote_place(instance, catalogue, summary)
        for summary in instance.views.summaries.expected_waits(demand.service)
        if summary.data_centre in allowed
        and may_transfer(request.path, summary.data_centre)
        and instance.views.members.live_in(summary.data_centre)
        and summary.data_centre != instance.data_centre
    )
    weights = catalogue.configuration.weights
    return choose_transfer(places, demand, weights, local)


def _remote_place(
    instance: Instance,
    catalogue: Catalogue,
    expected: ExpectedWait,
) -> RemoteCandidate:
    region = catalogue.region_of[expected.data_centre]
    is_near = region.name == instance.settings.instance.region
    return RemoteCandidate(
        expected.data_centre,
        expected.wait_s,
        0 if is_near else region.link_ms / _MS_PER_S,
        region.link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE,
    )


def _refuse(
    instance: Instance,
    request: Request,
    allowed: frozenset[str],
) -> None:
    if instance.data_centre in allowed:
        raise NoUpstreamError(request.service)
    if request.is_forwarded:
        raise TransferLimitError(request.path)
    regions = allowed_regions(request.team, request.kind)
    raise ResidencyError(tuple(sorted(regions)))
