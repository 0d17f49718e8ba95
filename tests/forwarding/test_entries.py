"""Tests of the list of entries for callers."""

import attrs

from masticstage.forwarding.entries import CallerLocation, nearest_entries
from masticstage.membership import Liveness
from tests.forwarding_builders import build_member

_NORTH = build_member('n')
_SOUTH = build_member('s', 'south')
_EAST = build_member('e', 'east')
_ALL = (_NORTH, _SOUTH, _EAST)
_NORTH_OR_SOUTH = frozenset(('north', 'south'))


def _list_entries(live, *homes, leaving=(), data_centre='north-a'):
    leaving = [
        attrs.evolve(member, liveness=Liveness.LEAVING) for member in leaving
    ]
    region = data_centre.partition('-')[0]
    return nearest_entries(
        live,
        leaving,
        CallerLocation(data_centre, region, homes),
    )


def test_the_own_data_centre_is_preferred():
    assert _list_entries(_ALL) == ('n:2',)


def test_another_data_centre_of_the_region_is_second():
    assert _list_entries(_ALL, data_centre='north-b') == ('n:2',)


def test_without_homes_all_live_instances_are_listed():
    assert set(_list_entries((_SOUTH, _EAST))) == {'s:2', 'e:2'}


def test_callers_are_not_sent_outside_the_homes():
    assert _list_entries((_SOUTH, _EAST), _NORTH_OR_SOUTH) == ('s:2',)


def test_an_instance_outside_the_homes_is_the_last_resort():
    assert _list_entries((_EAST,), _NORTH_OR_SOUTH) == ('e:2',)


def test_the_region_that_serves_most_routes_is_preferred():
    homes = [_NORTH_OR_SOUTH] * 2 + [frozenset(('east',))]
    assert _list_entries((_SOUTH, _EAST), *homes) == ('s:2',)


def test_suspected_instances_are_not_listed():
    suspect = attrs.evolve(_NORTH, liveness=Liveness.SUSPECT)
    assert _list_entries((suspect, _EAST)) == ('e:2',)


def test_a_live_instance_at_home_is_preferred_to_a_leaving_one():
    assert _list_entries((_SOUTH,), _NORTH_OR_SOUTH, leaving=(_NORTH,)) == (
        's:2',
    )


def test_a_leaving_instance_is_preferred_to_one_outside_the_homes():
    listed = _list_entries((_EAST,), _NORTH_OR_SOUTH, leaving=(_NORTH,))
    assert listed == ('n:2',)
    listed = _list_entries((_EAST,), _NORTH_OR_SOUTH, leaving=(_SOUTH,))
    assert listed == ('s:2',)


def test_a_refusing_instance_at_home_is_preferred_to_other_regions():
    refusing = [attrs.evolve(_NORTH, liveness=Liveness.LEAVING)]
    south = CallerLocation('south-a', 'south', (_NORTH_OR_SOUTH,))
    assert nearest_entries([_EAST], [], south, refusing) == ('n:2',)
    assert nearest_entries([_SOUTH], [], south, refusing) == ('s:2',)
    unbound = CallerLocation('south-a', 'south')
    assert nearest_entries([_EAST], [], unbound, refusing) == ('e:2',)
