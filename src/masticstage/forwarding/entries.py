"""Which instances a caller is told to use."""

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from masticstage.membership import Liveness, Member

#: Entries that are listed at most; callers take no more.
MAX_ENTRIES: Final = 64
# Ranks, the best first.  A leaving instance still serves new callers for a
# while, which is better than one in a region that may not serve them.
_SAME_DATA_CENTRE: Final = 0
_SAME_REGION: Final = 1
_AT_HOME: Final = 2
_LEAVING_NEAR: Final = 3
_STOPPING_AT_HOME: Final = 4
_ELSEWHERE: Final = 5
_LEAVING_ELSEWHERE: Final = 6


@attrs.frozen
class CallerLocation:
    """Where a caller is, and the homes of each bound route of its host."""

    data_centre: str
    region: str
    homes: tuple[frozenset[str], ...] = ()

    def served(self, region: str) -> int:
        """Returns how many bound routes a region may serve."""
        return sum(region in bound for bound in self.homes)


def nearest_entries(
    live: Iterable[Member],
    leaving: Sequence[Member],
    caller: CallerLocation,
    stopping: Sequence[Member] = (),
) -> tuple[str, ...]:
    """Returns the caller addresses of the instances to use.

    `live` are instances believed to be live, `leaving` those that have begun
    to leave a moment ago, `stopping` those that began before: these refuse new
    work with a time to come back, by which one of their region is live again.
    All that are returned share the best rank.
    """
    sound = [one for one in live if one.liveness is Liveness.LIVE]
    known = (*sound, *leaving, *stopping)
    most = max((caller.served(one.region) for one in known), default=0)
    ranked = [(_rank(one, caller, most), one) for one in (*sound, *leaving)]
    ranked.extend(
        (_STOPPING_AT_HOME, one)
        for one in stopping
        if caller.homes and caller.served(one.region) == most
    )
    best = min((rank for rank, _ in ranked), default=0)
    chosen = [one.caller_address for rank, one in ranked if rank == best]
    return tuple(chosen[:MAX_ENTRIES])


def _rank(one: Member, caller: CallerLocation, most: int) -> int:
    is_near = one.region == caller.region
    is_at_home = caller.served(one.region) == most
    if one.liveness is not Liveness.LIVE:
        return _LEAVING_NEAR if is_near or is_at_home else _LEAVING_ELSEWHERE
    if one.data_centre == caller.data_centre:
        return _SAME_DATA_CENTRE
    if is_near:
        return _SAME_REGION
    return _AT_HOME if is_at_home else _ELSEWHERE
