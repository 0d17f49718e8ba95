"""Fair shares of teams under overload, weighted max-min, by engine work.

They are computed where the demands of a region are known. One instance sees too
few requests: five long ones in the decay time, of 16 teams.

The unit is a token to read or to generate. A team whose recent demand is above
its share competes with itself only: its requests are refused at shorter
predicted waits, and those of the others at longer ones. Without waits nobody
is refused, so that free capacity is always used.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from math import exp
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Time in which a past request loses two thirds of its weight.
_DECAY_TIME: Final = timedelta(seconds=2)
#: Time for which computed shares are used.
_SHARES_LIFETIME: Final = timedelta(milliseconds=100)
#: Part of the recent demand for which shares are computed. In the first second
#: of an overload everything is still dispatched, into longer queues, and shows
#: no limit.
_SERVED_SHARE: Final = 0.7
#: Demand below which a team is forgotten, in tokens.
_MIN_DEMAND: Final = 1.0
#: Fewest requests of recent weight from which shares are computed. Fewer do
#: not show the proportions between teams.
_MIN_REQUESTS: Final = 8.0


@attrs.define
class _Demand:
    """Decayed tokens of a team that arrived, and of those dispatched."""

    weight: float
    arrived: float = 0
    dispatched: float = 0


@final
@attrs.define
class TeamShares:
    """Recent demand by team at this instance, and the shares that follow."""

    _clock: Clock
    _demands: dict[str, _Demand] = attrs.field(factory=dict)
    _requests: float = 0
    _decayed_at: timedelta = timedelta()
    _ratios: Mapping[str, float] = attrs.field(factory=dict)
    _ratios_until: timedelta = timedelta()

    def record_arrival(self, team: str, weight: float, tokens: float) -> None:
        """Counts a request of a team; shares are in proportion to weights."""
        self._decay()
        demand = self._demands.setdefault(team, _Demand(weight))
        demand.weight = weight
        demand.arrived += tokens
        self._requests += 1

    def record_dispatch(self, team: str, tokens: float) -> None:
        """Counts a request of a team that was sent to an upstream."""
        demand = self._demands.get(team)
        if demand is not None:
            demand.dispatched += tokens

    def excess(self, team: str) -> float:
        """Returns a team's demand as a multiple of its share in an overload.

        It is at most 1 for a team within its share, and 1 for every team if
        too little is known. It says nothing about whether there is an overload.
        """
        now = self._clock.elapsed()
        if now >= self._ratios_until:
            self._decay()
            self._ratios = self._compute_ratios()
            self._ratios_until = now + _SHARES_LIFETIME
        return self._ratios.get(team, 1)

    def _compute_ratios(self) -> dict[str, float]:
        if self._requests < _MIN_REQUESTS:
            return {}
        arrived = sum(demand.arrived for demand in self._demands.values())
        dispatched = sum(demand.dispatched for demand in self._demands.values())
        level = fair_level(
            (
                (demand.arrived, demand.weight)
                for demand in self._demands.values()
            ),
            min(dispatched, _SERVED_SHARE * arrived),
        )
        return {
            team: demand.arrived / (level * demand.weight) if level else 1
            for team, demand in self._demands.items()
        }

    def _decay(self) -> None:
        now = self._clock.elapsed()
        factor = exp(-((now - self._decayed_at) / _DECAY_TIME))
        self._decayed_at = now
        self._requests *= factor
        for team, demand in tuple(self._demands.items()):
            demand.arrived *= factor
            demand.dispatched *= factor
            if demand.arrived < _MIN_DEMAND:
                self._demands.pop(team)


def fair_level(
    demands: Iterable[tuple[float, float]],
    capacity: float,
) -> float:
    """Returns the share for each unit of weight that uses up a capacity.

    Takes pairs of a demand and its weight. Each gets the smaller of its demand
    and the level times its weight. The level is that of the least demanding
    pair if the capacity is enough for all.
    """
    weighted = sorted(
        (demand / weight, weight) for demand, weight in demands if weight > 0
    )
    left = capacity
    weight_left = sum(weight for _, weight in weighted)
    level: float = 0
    for ratio, weight in weighted:
        if ratio * weight_left >= left:
            return left / weight_left
        level = ratio
        left -= ratio * weight
        weight_left -= weight
    return level
