"""Fair shares of teams under overload, weighted max-min, in tokens.

A team whose recent demand is above its share is refused at shorter predicted
waits, the others at longer ones (`OverloadControl`). Without waits nobody is
refused, so that free capacity is always used.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final, final

import attrs

#: Part of the recent demand for which shares are computed. In the first second
#: of an overload everything is still dispatched, into longer queues, and shows
#: no limit.
_SERVED_SHARE: Final = 0.7
#: Time for which computed excesses are used.
_LIFETIME_S: Final = 0.1


@attrs.frozen
class Demand:
    """Tokens a second that a team used or asked for, and its weight."""

    rate: float
    weight: float


@final
@attrs.define
class Excesses:
    """The excesses of teams as of a moment ago."""

    _by_team: dict[str, float] = attrs.field(factory=dict)
    _until_s: float = 0

    def find(
        self,
        team: str,
        now_s: float,
        read_demands: Callable[[], Mapping[str, Demand]],
    ) -> float:
        """Returns a team's excess, 1 if it is not known."""
        if now_s >= self._until_s:
            self._by_team = compute_excesses(read_demands())
            self._until_s = now_s + _LIFETIME_S
        return self._by_team.get(team, 1)


def compute_excesses(demands: Mapping[str, Demand]) -> dict[str, float]:
    """Returns each team's demand as a multiple of its share in an overload.

    It is at most 1 for a team within its share. It says nothing about whether
    there is an overload.
    """
    weighted = {
        team: demand for team, demand in demands.items() if demand.weight > 0
    }
    total = sum(demand.rate for demand in weighted.values())
    level = fair_level(weighted.values(), _SERVED_SHARE * total)
    if level <= 0:
        return {}
    return {
        team: demand.rate / (level * demand.weight)
        for team, demand in weighted.items()
    }


def fair_level(demands: Iterable[Demand], capacity: float) -> float:
    """Returns the share for each unit of weight that uses up a capacity.

    Each team gets the smaller of its demand and the level times its weight. If
    the capacity is enough for all, the level is that of the highest demand.
    """
    ordered = sorted(demands, key=_rate_by_weight)
    left = capacity
    weight_left = sum(demand.weight for demand in ordered)
    level: float = 0
    for demand in ordered:
        level = _rate_by_weight(demand)
        if level * weight_left >= left:
            return left / weight_left
        left -= demand.rate
        weight_left -= demand.weight
    return level


def _rate_by_weight(demand: Demand) -> float:
    return demand.rate / demand.weight
