"""In which regions and data centres a request may be served."""

from masticstage.configuration import Catalogue
from masticstage.configuration_schema import Kind, Team

#: Data centres that may forward one request before it is served.
MAX_TRANSFERS = 1


def allowed_regions(team: Team, kind: Kind) -> frozenset[str]:
    """Returns the regions that may serve a kind of request of a team."""
    regions = frozenset(kind.regions)
    if kind.bound_to_home:
        return regions & {team.home}
    return regions


def allowed_data_centres(
    catalogue: Catalogue,
    team: Team,
    kind: Kind,
) -> frozenset[str]:
    """Returns the data centres that may serve a kind of request."""
    regions = allowed_regions(team, kind)
    return frozenset(
        data_centre
        for data_centre, region in catalogue.region_of.items()
        if region.name in regions
    )


def may_transfer(path: tuple[str, ...], data_centre: str) -> bool:
    """Tells whether a request that took `path` may go to a data centre."""
    return len(path) < MAX_TRANSFERS and data_centre not in path
