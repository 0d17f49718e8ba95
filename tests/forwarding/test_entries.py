"""Tests of the list of entries for callers."""

import attrs

from masticstage.forwarding.entries import nearest_entries
from masticstage.membership import Liveness
from tests.routed import build_member

_NORTH = build_member('n')
_SOUTH = build_member('s', 'south')
_EAST = build_member('e', 'east')
_ALL = (_NORTH, _SOUTH, _EAST)


def _without(*names):
    return [
        attrs.evolve(member, liveness=Liveness.SUSPECT)
        if member.identity.name in names
        else member
        for member in _ALL
    ]


def test_the_own_data_centre_comes_first():
    assert nearest_entries(_ALL, 'north-a', 'north', ()) == ('n:2',)


def test_another_data_centre_of_the_region_comes_next():
    assert nearest_entries(_ALL, 'north-b', 'north', ()) == ('n:2',)


def test_without_homes_any_live_instance_will_do():
    listed = nearest_entries(_without('n'), 'north-a', 'north', ())
    assert set(listed) == {'s:2', 'e:2'}


def test_callers_are_not_led_to_regions_that_are_no_home():
    listed = nearest_entries(
        _without('n'),
        'north-a',
        'north',
        [frozenset(('north', 'south'))],
    )
    assert listed == ('s:2',)


def test_an_instance_beyond_the_homes_is_better_than_none():
    homes = [frozenset(('north', 'south'))]
    listed = nearest_entries(_without('n', 's'), 'north-a', 'north', homes)
    assert listed == ('e:2',)


def test_suspected_and_leaving_instances_are_not_named():
    leaving = attrs.evolve(_SOUTH, liveness=Liveness.LEAVING)
    listed = nearest_entries([_EAST, leaving], 'south-a', 'south', ())
    assert listed == ('e:2',)


def test_the_homes_of_most_routes_decide_where_they_differ():
    homes = [frozenset(('north', 'south'))] * 2 + [frozenset(('east',))]
    listed = nearest_entries(_without('n'), 'north-a', 'north', homes)
    assert listed == ('s:2',)
