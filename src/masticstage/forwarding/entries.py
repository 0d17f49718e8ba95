"""Which instances a caller is told to use."""

from collections.abc import Iterable, Sequence

from masticstage.membership import Liveness, Member

#: Entries that are listed at most; callers take no more.
MAX_ENTRIES = 64


def nearest_entries(
    members: Sequence[Member],
    data_centre: str,
    region: str,
    homes: Iterable[frozenset[str]],
) -> tuple[str, ...]:
    """Returns caller addresses of live instances nearest to a caller.

    Those of the caller's data centre if there are any, else of its region,
    else of regions that are among all `homes` of what is asked there; others
    only where nothing else lives.
    """
    live = [one for one in members if one.liveness is Liveness.LIVE]
    near = [one for one in live if one.data_centre == data_centre]
    around = [one for one in live if one.region == region]
    bounds = list(homes)
    at_home = [
        one for one in live if all(one.region in bound for bound in bounds)
    ]
    chosen = near or around or at_home or live
    return tuple(one.caller_address for one in chosen[:MAX_ENTRIES])
