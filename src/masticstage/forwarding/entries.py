"""Selects the instances that a caller should use."""

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from masticstage.membership import Liveness, Member

#: Largest number of entries that callers accept.
MAX_ENTRIES: Final = 64
# Ranks, the best first. A leaving instance still accepts new callers for a
# while. That is better than an instance in a region that may not serve them.
_SAME_DATA_CENTRE: Final = 0
_SAME_REGION: Final = 1
_AT_HOME: Final = 2
_LEAVING_NEAR: Final = 3
_STOPPING_AT_HOME: Final = 4
_ELSEWHERE: Final = 5
_LEAVING_ELSEWHERE: Final = 6


@attrs.frozen
class CallerLocation:
    """Location of a caller, and the homes of each bound route of its host."""

    data_centre: str
    region: str
    homes: tuple[frozenset[str], ...] = ()

    def count_served(self, region: str) -> int:
        """Returns the number of bound routes that a region may serve."""
        return sum(region in bound for bound in self.homes)


def nearest_entries(
    live: Iterable[Member],
    leaving: Sequence[Member],
    caller: CallerLocation,
    stopping: Sequence[Member] = (),
) -> tuple[str, ...]:
    """Returns the caller addresses of the instances to use.

    `live` are members expected to be live, `leaving` those that began to leave
    a moment ago, `stopping` those that began earlier. Stopping instances refuse
    new requests with a time to retry, at which an instance of their region is
    live again. All returned ones share the best rank.
    """
    confirmed = [one for one in live if one.liveness is Liveness.LIVE]
    known = (*confirmed, *leaving, *stopping)
    most = max((caller.count_served(one.region) for one in known), default=0)
    ranked = [(_rank(one, caller, most), one) for one in (*confirmed, *leaving)]
    ranked.extend(
        (_STOPPING_AT_HOME, one)
        for one in stopping
        if caller.homes and caller.count_served(one.region) == most
    )
    best = min((rank for rank, _ in ranked), default=0)
    chosen = [one.caller_address for rank, one in ranked if rank == best]
    return tuple(chosen[:MAX_ENTRIES])


def _rank(member: Member, caller: CallerLocation, most: int) -> int:
    is_near = member.region == caller.region
    is_at_home = caller.count_served(member.region) == most
    if member.liveness is not Liveness.LIVE:
        return _LEAVING_NEAR if is_near or is_at_home else _LEAVING_ELSEWHERE
    if member.data_centre == caller.data_centre:
        return _SAME_DATA_CENTRE
    if is_near:
        return _SAME_REGION
    return _AT_HOME if is_at_home else _ELSEWHERE
