"""Teams, their keys, and what they change in the routes of their requests."""

import hashlib
from collections.abc import Iterable, Iterator
from typing import Final, final

import attrs

#: Numbers of one team rank: route priorities from 0 to 2 are kept apart.
_PRIORITIES_PER_RANK: Final = 3
#: The least urgent number that engines accept.
_LEAST_URGENT: Final = 9
#: Faults of a configuration that are described; the others are counted.
_MAX_FAULTS: Final = 8


@attrs.frozen
class TeamLimit:
    """Limit of a team over all instances.

    `rate` is in tokens a second, `burst` in tokens. A request without token
    counts counts as `plain_tokens`.
    """

    rate: float
    burst: float
    plain_tokens: int


@attrs.frozen
class Team:
    """A team, without its keys.

    A request of a team with a lower `priority` is more urgent. `homes` are the
    regions that may serve the team, all if empty. `limit` is None without one.
    """

    name: str
    priority: int = 0
    homes: frozenset[str] = frozenset()
    limit: TeamLimit | None = None


@attrs.frozen
class TeamEntry:
    """A team as published, with its keys."""

    team: Team
    keys: tuple[str, ...] = attrs.field(repr=False)
    unusable_keys: int = 0


@final
@attrs.frozen(eq=False)
class TeamDirectory:
    """The teams of a configuration, found by name or by key.

    Only digests of the keys are kept. `faults` describes errors of the
    configuration without the keys.
    """

    teams: tuple[Team, ...]
    faults: tuple[str, ...]
    _by_digest: dict[bytes, Team] = attrs.field(repr=False)
    _by_name: dict[str, Team] = attrs.field(repr=False)

    @property
    def has_limits(self) -> bool:
        """Whether any team has a limit."""
        return any(team.limit for team in self.teams)

    def find(self, key: str) -> Team | None:
        """Returns the team that has a key, None for an unknown key."""
        return self._by_digest.get(_digest(key))

    def find_by_name(self, name: str) -> Team | None:
        """Returns the team with a name, if any."""
        return self._by_name.get(name)

    def describe_faults(self) -> str:
        """Returns the first faults as one text, empty without any."""
        described = '; '.join(self.faults[:_MAX_FAULTS])
        left_out = len(self.faults) - _MAX_FAULTS
        return f'{described}; {left_out} more' if left_out > 0 else described


def build_team_directory(entries: Iterable[TeamEntry]) -> TeamDirectory:
    """Returns the directory of published teams.

    A key of several teams belongs to the first one. Of several entries with
    one name only the first is used.
    """
    by_name: dict[str, Team] = {}
    by_digest: dict[bytes, Team] = {}
    faults: list[str] = []
    for entry in entries:
        name = entry.team.name
        if name in by_name:
            faults.append(f'team {name} is listed twice, the first is used')
            continue
        by_name[name] = entry.team
        faults.extend(_describe_entry_faults(entry))
        for key in entry.keys:
            holder = by_digest.setdefault(_digest(key), entry.team)
            if holder is not entry.team:
                faults.append(f'a key of team {name} is one of {holder.name}')
    return TeamDirectory(
        tuple(by_name.values()), tuple(faults), by_digest, by_name
    )


def combine_priorities(team: Team | None, route_priority: int) -> int:
    """Returns the number of a request from 0 to 9; lower is more urgent.

    The team's priority decides first, then the route's. A request without a
    team counts as one of a team without a priority. Team priorities from 0 to 2
    and route priorities from 0 to 2 are kept apart.
    """
    rank = team.priority if team else 0
    number = rank * _PRIORITIES_PER_RANK + min(
        route_priority, _PRIORITIES_PER_RANK - 1
    )
    return min(number, _LEAST_URGENT)


def combine_homes(
    team: Team | None,
    route_homes: frozenset[str],
) -> frozenset[str] | None:
    """Returns the regions that a team and a route both allow, all if empty.

    Returns None if they have no region in common.
    """
    team_homes = team.homes if team else frozenset()
    if not team_homes or not route_homes:
        return team_homes or route_homes
    return (team_homes & route_homes) or None


def _describe_entry_faults(entry: TeamEntry) -> Iterator[str]:
    name = entry.team.name
    if not entry.keys:
        yield f'team {name} has no key'
    if entry.unusable_keys:
        yield f'team {name} has {entry.unusable_keys} unusable keys'


def _digest(key: str) -> bytes:
    return hashlib.blake2b(key.encode('utf-8', 'surrogatepass')).digest()
