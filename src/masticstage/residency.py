"""Residency rules: where a request may be served."""

from masticstage.configuration import Catalogue
from masticstage.configuration_schema import Kind, Team

#: Maximum number of transfers of a request between data centres.
MAX_TRANSFERS = 1


def allowed_regions(team: Team, kind: Kind) -> frozenset[str]:
    """Returns the regions that may serve a kind of request for a team."""
    regions = frozenset(kind.regions)
    if kind.bound_to_home:
        return regions & {team.home}
    return regions


def allowed_data_centres(
    catalogue: Catalogue,
    team: Team,
    kind: Kind,
) -> frozenset[str]:
    """Returns the data centres that may serve a kind for a team."""
    regions = allowed_regions(team, kind)
    return frozenset(
        data_centre
        for data_centre, region in catalogue.region_of.items()
        if region.name in regions
    )


def may_transfer(path: tuple[str, ...], data_centre: str) -> bool:
    """Returns whether a request may be transferred to a data centre.

    `path` names the data centres that have forwarded it so far.
    """
    return len(path) < MAX_TRANSFERS and data_centre not in path
