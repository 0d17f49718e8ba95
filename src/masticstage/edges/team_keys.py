"""Determines the team of a request, and replaces its key by the team's name."""

import attrs

from masticstage.edges.gateway import Gateway
from masticstage.forwarding.requests import CallerRequest
from masticstage.forwarding.teams import Team


def name_team(
    gateway: Gateway,
    request: CallerRequest,
    team: Team | None,
) -> CallerRequest:
    """Returns the request as its team's, or as one without a team.

    The key is left out, and so is what the caller said of its team.
    """
    team_name = team.name if team else ''
    return attrs.evolve(
        request,
        headers=gateway.wire.name_team(request.headers, team_name),
        key='',
    )


def name_relayed_team(
    gateway: Gateway,
    request: CallerRequest,
    team_name: str,
) -> tuple[CallerRequest, Team | None]:
    """Returns a relayed request with its team.

    `team_name` is the one in the relay. A peer that has not read the teams yet,
    or an older program, relays the key instead, which goes no further.
    """
    table = gateway.views.fleet.table
    if table is None or table.teams is None:
        return request, None
    if team_name:
        return request, table.teams.find_by_name(team_name)
    team = table.teams.find(request.key) if request.key else None
    return name_team(gateway, request, team), team


def count_team(gateway: Gateway, event: str, team_name: str) -> None:
    """Counts an event of a team, of which there may be none."""
    if team_name:
        gateway.metrics.count_named(event, team_name)


def team_fields(team_name: str) -> dict[str, str]:
    """Returns the field that names a team in the log, none without a team."""
    return {'team': team_name} if team_name else {}
