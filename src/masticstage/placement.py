"""Choice of where to serve a request: here or in another data centre."""

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
    """The local choice, and a transfer if one scores better.

    At least one of them is set.
    """

    local: Choice | None
    transfer: Transfer | None


def choose_placement(
    instance: Instance, request: Request, demand: Demand
) -> Placement:
    """Chooses where to serve a request under the configuration in force.

    Raises `NoUpstreamError`, `TransferLimitError` or `ResidencyError` when
    the request can be served neither here nor elsewhere.
    """
    catalogue = instance.catalogue()
    allowed = allowed_data_centres(catalogue, request.team, request.kind)
    local = None
    if instance.data_centre in allowed:
        local = _choose_local(instance, catalogue, demand)
    transfer = _find_transfer(instance, request, demand, allowed, local)
    if local is None and transfer is None:
        _raise_no_placement(instance, request, allowed)
    return Placement(local, transfer)


def require_local(placement: Placement, request: Request) -> Choice:
    """Returns the local choice; raises `NoUpstreamError` without one."""
    if placement.local is None:
        raise NoUpstreamError(request.service)
    return placement.local


def build_demand(request: Request, prefix: str) -> Demand:
    """Returns the properties of a request that upstreams are chosen by.

    `prefix` is the part of the body that other requests share, empty if none.
    """
    encoded = prefix.encode()
    return Demand(
        request.service,
        xxhash.xxh3_64_intdigest(encoded) if encoded else 0,
        len(encoded),
        len(request.body),
    )


def pick_live_member(instance: Instance, data_centre: str) -> Member | None:
    """Returns a random live instance of a data centre, None without any."""
    members = instance.views.members.live_in(data_centre)
    return instance.random.choice(members) if members else None


def may_serve_here(
    instance: Instance,
    request: Request,
    upstream: Upstream,
) -> bool:
    """Checks again, just before a dispatch, that an upstream may be used.

    It must be allowed by the residency rule, local, unchanged in the
    configuration in force and not leaving.
    """
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
    service_key = (instance.data_centre, demand.service)
    upstreams = catalogue.local_upstreams.get(service_key, ())
    weights = catalogue.configuration.weights
    return instance.views.router.choose(upstreams, demand, weights)


def _find_transfer(
    instance: Instance,
    request: Request,
    demand: Demand,
    allowed: frozenset[str],
    local: Choice | None,
) -> Transfer | None:
    catalogue = instance.catalogue()
    candidates = tuple(
        _remote_candidate(instance, catalogue, expected)
        for expected in instance.views.summaries.expected_waits(demand.service)
        if expected.data_centre in allowed
        and may_transfer(request.path, expected.data_centre)
        and instance.views.members.live_in(expected.data_centre)
        and expected.data_centre != instance.data_centre
    )
    weights = catalogue.configuration.weights
    return choose_transfer(candidates, demand, weights, local)


def _remote_candidate(
    instance: Instance,
    catalogue: Catalogue,
    expected: ExpectedWait,
) -> RemoteCandidate:
    region = catalogue.region_of[expected.data_centre]
    is_same_region = region.name == instance.settings.instance.region
    return RemoteCandidate(
        expected.data_centre,
        expected.wait_s,
        0 if is_same_region else region.link_ms / _MS_PER_S,
        region.link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE,
    )


def _raise_no_placement(
    instance: Instance,
    request: Request,
    allowed: frozenset[str],
) -> None:
    """Raises the error that says why a request can be served nowhere."""
    if instance.data_centre in allowed:
        raise NoUpstreamError(request.service)
    if request.is_forwarded:
        raise TransferLimitError(request.path)
    regions = allowed_regions(request.team, request.kind)
    raise ResidencyError(tuple(sorted(regions)))
