"""Selects the instances that a caller should use."""

from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from masticstage.membership import Liveness, Member

#: Largest number of entries that callers accept.
MAX_ENTRIES: Final = 64
# Ranks, the best first. A leaving instance still accepts new callers for a
# while, which is better than an instance in a region that may not serve them.
_SAME_DATA_CENTRE: Final = 0
_SAME_REGION: Final = 1
_AT_HOME: Final = 2
_LEAVING_NEARBY: Final = 3
_REFUSING_AT_HOME: Final = 4
_ELSEWHERE: Final = 5
_LEAVING_ELSEWHERE: Final = 6


@attrs.frozen
class CallerLocation:
    """Location of a caller, and the homes of the bound routes of its host.

    A bound route is one that only some regions, its homes, may serve.
    """

    data_centre: str
    region: str
    homes: tuple[frozenset[str], ...] = ()

    def count_served(self, region: str) -> int:
        """Returns the number of bound routes that a region may serve."""
        return sum(region in homes for homes in self.homes)


def nearest_entries(
    live: Iterable[Member],
    accepting: Sequence[Member],
    caller: CallerLocation,
    refusing: Sequence[Member] = (),
) -> tuple[str, ...]:
    """Returns the caller addresses of the instances to use.

    `live` are members expected to be live. `accepting` members began to leave a
    moment ago and still accept requests. `refusing` members began to leave
    earlier; they refuse requests with a Retry-After time, after which an
    instance of their region is live again. Only instances of the best rank are
    returned.
    """
    confirmed = [member for member in live if member.liveness is Liveness.LIVE]
    members = (*confirmed, *accepting, *refusing)
    max_served = max(
        (caller.count_served(member.region) for member in members), default=0
    )
    ranked = [
        (_rank(member, caller, max_served), member)
        for member in (*confirmed, *accepting)
    ]
    ranked.extend(
        (_REFUSING_AT_HOME, member)
        for member in refusing
        if caller.homes and caller.count_served(member.region) == max_served
    )
    best = min((rank for rank, _ in ranked), default=0)
    chosen = [member.caller_address for rank, member in ranked if rank == best]
    return tuple(chosen[:MAX_ENTRIES])


def _rank(member: Member, caller: CallerLocation, max_served: int) -> int:
    """Returns the rank of a live or leaving member; the lowest is the best."""
    is_nearby = member.region == caller.region
    is_at_home = caller.count_served(member.region) == max_served
    if member.liveness is not Liveness.LIVE:
        return (
            _LEAVING_NEARBY if is_nearby or is_at_home else _LEAVING_ELSEWHERE
        )
    if member.data_centre == caller.data_centre:
        return _SAME_DATA_CENTRE
    if is_nearby:
        return _SAME_REGION
    return _AT_HOME if is_at_home else _ELSEWHERE
