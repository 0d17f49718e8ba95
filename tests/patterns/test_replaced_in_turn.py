"""Load pattern: instances are replaced one by one, two seconds apart."""

from datetime import timedelta

import attrs

from masticstage.forwarding.entries import CallerLocation, nearest_entries
from masticstage.membership import Liveness
from tests.forwarding_builders import build_member

_ACCEPTS_AFTER_STOP = timedelta(seconds=1.8)
#: Open streams delay the exit of a stopping instance by some seconds.
_DRAIN = timedelta(seconds=4)
_START_TIME = timedelta(seconds=1)
_FLEET = (
    build_member('s1', 'split'),
    build_member('s2', 'split'),
    build_member('z1', 'zagreb'),
    build_member('o1', 'osijek'),
)
_HOMES = (frozenset(('split', 'zagreb')),)


def _list_entries(now, region):
    live, leaving = [], []
    for number, member in enumerate(_FLEET):
        stopped_for = now - number * timedelta(seconds=2)
        if not timedelta() <= stopped_for < _DRAIN + _START_TIME:
            live.append(member)
        elif stopped_for < _ACCEPTS_AFTER_STOP:
            leaving.append(attrs.evolve(member, liveness=Liveness.LEAVING))
    caller = CallerLocation(f'{region}-a', region, _HOMES)
    return nearest_entries(live, leaving, caller)


def test_few_callers_are_sent_outside_the_homes():
    moments = [timedelta(milliseconds=10 * step) for step in range(1200)]
    misdirected = [
        region
        for now in moments
        for region in ('split', 'zagreb')
        if _list_entries(now, region) == ('o1:2',)
    ]
    # The bound is one request in twenty over fifteen seconds.
    assert len(misdirected) / (2 * 1500) < 0.05


def test_callers_always_get_an_entry():
    for step in range(1200):
        now = timedelta(milliseconds=10 * step)
        assert all(_list_entries(now, region) for region in ('split', 'osijek'))
