"""Tests of the list of entries for callers."""

import attrs

from masticstage.forwarding.entries import CallerLocation, nearest_entries
from masticstage.membership import Liveness
from tests.routed import build_member

_NORTH = build_member('n')
_SOUTH = build_member('s', 'south')
_EAST = build_member('e', 'east')
_ALL = (_NORTH, _SOUTH, _EAST)
_NORTH_OR_SOUTH = frozenset(('north', 'south'))


def _list(live, *homes, leaving=(), data_centre='north-a'):
    leaving = [
        attrs.evolve(member, liveness=Liveness.LEAVING) for member in leaving
    ]
    region = data_centre.partition('-')[0]
    return nearest_entries(
        live,
        leaving,
        CallerLocation(data_centre, region, homes),
    )


def test_the_own_data_centre_comes_first():
    assert _list(_ALL) == ('n:2',)


def test_another_data_centre_of_the_region_comes_next():
    assert _list(_ALL, data_centre='north-b') == ('n:2',)


def test_without_homes_any_live_instance_will_do():
    assert set(_list((_SOUTH, _EAST))) == {'s:2', 'e:2'}


def test_callers_are_not_led_to_regions_that_are_no_home():
    assert _list((_SOUTH, _EAST), _NORTH_OR_SOUTH) == ('s:2',)


def test_an_instance_beyond_the_homes_is_better_than_none():
    assert _list((_EAST,), _NORTH_OR_SOUTH) == ('e:2',)


def test_the_homes_of_most_routes_decide_where_they_differ():
    homes = [_NORTH_OR_SOUTH] * 2 + [frozenset(('east',))]
    assert _list((_SOUTH, _EAST), *homes) == ('s:2',)


def test_suspected_instances_are_not_named():
    suspect = attrs.evolve(_NORTH, liveness=Liveness.SUSPECT)
    assert _list((suspect, _EAST)) == ('e:2',)


def test_a_leaving_instance_is_not_named_beside_a_live_one_at_home():
    assert _list((_SOUTH,), _NORTH_OR_SOUTH, leaving=(_NORTH,)) == ('s:2',)


def test_a_leaving_instance_is_better_than_one_that_is_no_home():
    listed = _list((_EAST,), _NORTH_OR_SOUTH, leaving=(_NORTH,))
    assert listed == ('n:2',)
    listed = _list((_EAST,), _NORTH_OR_SOUTH, leaving=(_SOUTH,))
    assert listed == ('s:2',)


def test_stopping_instances_at_home_come_before_regions_that_are_none():
    stopping = [attrs.evolve(_NORTH, liveness=Liveness.LEAVING)]
    south = CallerLocation('south-a', 'south', (_NORTH_OR_SOUTH,))
    assert nearest_entries([_EAST], [], south, stopping) == ('n:2',)
    assert nearest_entries([_SOUTH], [], south, stopping) == ('s:2',)
    unbound = CallerLocation('south-a', 'south')
    assert nearest_entries([_EAST], [], unbound, stopping) == ('e:2',)
