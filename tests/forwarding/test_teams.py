"""Tests of teams, their keys and their effective routes."""

import itertools

import pytest

from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.teams import (
    Team,
    TeamEntry,
    build_team_directory,
    combine_priorities,
)
from tests.forwarding_builders import (
    build_route,
    build_stream_route,
    build_table,
    build_team_table,
)

_RED = Team('red')
_BLUE = Team('blue', 1, frozenset(('north',)))


def _table(*routes):
    return build_team_table({'k-red': _RED, 'k-blue': _BLUE}, 1, *routes)


def test_a_key_finds_its_team_and_an_unknown_one_none():
    teams = _table().teams

    assert teams.find('k-blue') is _BLUE
    assert [teams.find(key) for key in ('', 'k', 'k-blue ')] == [None] * 3


def test_a_key_of_two_teams_stays_with_the_first_and_is_not_named():
    directory = build_team_directory(
        (TeamEntry(_RED, ('secret',)), TeamEntry(_BLUE, ('secret', 'own')))
    )

    assert directory.find('secret') is _RED
    assert directory.find('own') is _BLUE
    assert directory.describe_faults() == 'a key of team blue is one of red'


def test_a_team_without_keys_leaves_the_others_in_force():
    directory = build_team_directory(
        (TeamEntry(_RED, ()), TeamEntry(_BLUE, ('k',), 2))
    )

    assert directory.find('k') is _BLUE
    assert directory.faults == (
        'team red has no key',
        'team blue has 2 unusable keys',
    )


def test_the_second_entry_of_a_name_is_ignored():
    """Guards against a team that has the regions of another entry."""
    directory = build_team_directory(
        (TeamEntry(_BLUE, ('k',)), TeamEntry(Team('blue'), ('other',)))
    )

    assert directory.find('other') is None
    assert directory.find_by_name('blue') is _BLUE
    assert directory.faults


def test_many_faults_make_a_short_text():
    entries = [TeamEntry(Team(f't{number}'), ()) for number in range(10_000)]

    assert len(build_team_directory(entries).describe_faults()) < 300


def test_keys_are_in_no_representation():
    entry = TeamEntry(_RED, ('secret',))

    assert 'secret' not in f'{entry!r}{build_team_directory([entry])!r}'


def test_ranks_decide_before_the_priorities_of_routes():
    numbers = [
        combine_priorities(Team('t', rank), priority)
        for rank, priority in itertools.product(range(3), range(3))
    ]

    assert numbers == list(range(9))
    assert combine_priorities(Team('t', 7), 0) == 9
    assert combine_priorities(Team('t', 0), 9) < combine_priorities(_BLUE, 0)
    assert combine_priorities(None, 1) == 1


@pytest.mark.parametrize(
    ('homes', 'combined'),
    [((), {'north'}), (('north', 'south'), {'north'}), (('south',), None)],
)
def test_the_regions_of_a_team_and_its_route_both_apply(homes, combined):
    route = build_route(homes=frozenset(homes))
    effective = _table(route).effective_route(route, _BLUE)

    assert (effective and effective.homes) == combined


def test_an_effective_route_is_built_once():
    table = _table()
    route = table.routes[0]

    assert table.effective_route(route, _BLUE) is table.effective_route(
        route, _BLUE
    )
    assert table.effective_route(route, _RED).homes == route.homes


def test_without_teams_a_route_stays_as_it_is():
    table = build_table(1, build_route(priority=7))

    assert table.effective_route(table.routes[0], None) is table.routes[0]


def test_a_team_of_low_rank_keeps_its_most_urgent_kind():
    """Guards against refusing all streams of a team for its rank."""
    urgent = build_stream_route(path_prefix='/q/')
    other = build_stream_route(priority=1)
    call = build_route(kind=CallKind.UNSAFE, priority=2)
    table = _table(urgent, other, call)

    for team in (_RED, _BLUE):
        routes = [table.effective_route(route, team) for route in table.routes]
        assert [
            route.own_priority <= table.most_urgent_priority(route)
            for route in routes
        ] == [True, False, True]
