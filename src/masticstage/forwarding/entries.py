"""Which instances a caller is told to use."""

from collections.abc import Sequence

from masticstage.membership import Liveness, Member

#: Entries that are listed at most; callers take no more.
MAX_ENTRIES = 64


def nearest_entries(
    members: Sequence[Member],
    data_centre: str,
    region: str,
) -> tuple[str, ...]:
    """Returns caller addresses of live instances nearest to a caller.

    Those of the caller's data centre if there are any, else of its region,
    else all others.
    """
    live = [one for one in members if one.liveness is Liveness.LIVE]
    near = [one for one in live if one.data_centre == data_centre]
    around = [one for one in live if one.region == region]
    chosen = near or around or live
    return tuple(one.caller_address for one in chosen[:MAX_ENTRIES])
