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
    else of the regions that may serve most of what is asked there: `homes` has
    those of each route that is bound.
    """
    live = [one for one in members if one.liveness is Liveness.LIVE]
    near = [one for one in live if one.data_centre == data_centre]
    around = [one for one in live if one.region == region]
    chosen = near or around or _most_at_home(live, list(homes))
    return tuple(one.caller_address for one in chosen[:MAX_ENTRIES])


def _most_at_home(
    live: list[Member],
    homes: list[frozenset[str]],
) -> list[Member]:
    served = {
        one.region: sum(one.region in bound for bound in homes) for one in live
    }
    most = max(served.values(), default=0)
    return [one for one in live if served[one.region] == most]
