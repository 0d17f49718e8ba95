"""What an instance keeps for limits of teams."""

from datetime import timedelta
from typing import final

import attrs
import trio

from masticstage.clock import Clock
from masticstage.entrysettings_schema import EntrySettings
from masticstage.forwarding.quotas.balances import Balances
from masticstage.forwarding.quotas.keeper import Keeper
from masticstage.forwarding.quotas.ranks import Peer, Ranking
from masticstage.forwarding.quotas.shares import QuotaBounds
from masticstage.forwarding.teams import TeamLimit
from masticstage.forwarding.view import FleetView


@final
@attrs.define(eq=False)
class QuotaState:
    """The limits that this instance keeps, and the tokens that it holds.

    `waiting` has the tokens of the requests that wait, by team. `flights` are
    the messages that have not been answered, by the keepers' groups of teams.
    `rivals_due_s` is when absent instances are asked again whether they are.
    """

    ranking: Ranking
    keeper: Keeper
    balances: Balances
    least_instances: int
    waiting: dict[str, list[float]] = attrs.field(factory=dict)
    flights: dict[int, trio.Event] = attrs.field(factory=dict)
    rivals_due_s: float = 0


def build_quota_state(
    settings: EntrySettings, clock: Clock, fleet: FleetView
) -> QuotaState:
    """Returns the state of a new process."""
    own = settings.instance
    bounds = QuotaBounds(
        settings.bounds.team_window_s,
        settings.bounds.team_overage,
        settings.bounds.team_slack,
    )

    def limit_of(team_name: str) -> TeamLimit | None:
        teams = fleet.table.teams if fleet.table else None
        team = teams.find_by_name(team_name) if teams else None
        return team.limit if team else None

    ranking = Ranking(own.name, len(settings.places))
    ranking.update(
        clock.elapsed() // timedelta(seconds=1),
        {own.name: Peer(0, own.data_centre)},
    )
    return QuotaState(
        ranking,
        Keeper(clock, bounds, limit_of, ranking.tenure),
        Balances(clock, bounds, limit_of),
        2 * len(settings.places),
    )
