"""Instances that are replaced one after the other, two seconds apart."""

from datetime import timedelta

import attrs

from masticstage.forwarding.entries import CallerLocation, nearest_entries
from masticstage.membership import Liveness
from tests.routed import build_member

_STILL_SERVING = timedelta(seconds=1.8)
#: An open stream keeps a stopping instance for some seconds.
_DRAIN = timedelta(seconds=4)
_START = timedelta(seconds=1)
_FLEET = (
    build_member('s1', 'split'),
    build_member('s2', 'split'),
    build_member('z1', 'zagreb'),
    build_member('o1', 'osijek'),
)
_HOMES = (frozenset(('split', 'zagreb')),)


def _listed(now, region):
    live, leaving = [], []
    for number, member in enumerate(_FLEET):
        stopped_for = now - number * timedelta(seconds=2)
        if not timedelta() <= stopped_for < _DRAIN + _START:
            live.append(member)
        elif stopped_for < _STILL_SERVING:
            leaving.append(attrs.evolve(member, liveness=Liveness.LEAVING))
    caller = CallerLocation(f'{region}-a', region, _HOMES)
    return nearest_entries(live, leaving, caller)


def test_few_callers_are_led_to_a_region_that_is_no_home():
    moments = [timedelta(milliseconds=10 * step) for step in range(1200)]
    astray = [
        region
        for now in moments
        for region in ('split', 'zagreb')
        if _listed(now, region) == ('o1:2',)
    ]
    # The users' bound is one request in twenty over fifteen seconds.
    assert len(astray) / (2 * 1500) < 0.05


def test_callers_are_always_led_somewhere():
    for step in range(1200):
        now = timedelta(milliseconds=10 * step)
        assert all(_listed(now, region) for region in ('split', 'osijek'))
