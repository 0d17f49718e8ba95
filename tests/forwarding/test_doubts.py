"""Tests of the upstreams that have to be asked first."""

from datetime import timedelta

import pytest

from masticstage.clock import ManualClock
from masticstage.forwarding.published import Evacuation
from masticstage.forwarding.view import FleetView
from masticstage.forwarding.warmups.doubts import Doubts
from tests.forwarding_builders import SECOND, build_record


def _doubts_at(seconds):
    clock = ManualClock()
    clock.advance(seconds * SECOND)
    return clock, Doubts(clock)


def test_an_answer_settles_a_doubt_that_is_older_than_the_question():
    clock, doubts = _doubts_at(10)
    assert doubts.add('u-1')
    assert not doubts.add('u-1')
    clock.advance(SECOND)

    assert doubts.settle('u-1')

    assert not doubts.includes('u-1')


def test_an_answer_to_an_older_question_settles_nothing():
    _, doubts = _doubts_at(10)
    doubts.add('u-1')
    assert not doubts.settle('u-1', SECOND)
    assert doubts.includes('u-1')


@pytest.mark.parametrize(('age_s', 'is_new'), [(3, False), (1, True)])
def test_a_doubt_from_before_the_last_answer_is_settled_already(age_s, is_new):
    """Guards against checks for news that a peer repeats."""
    clock, doubts = _doubts_at(10)
    doubts.settle('u-1')
    clock.advance(2 * SECOND)
    assert doubts.add('u-1', age_s * SECOND) is is_new


def test_the_time_since_a_question_is_known():
    clock, doubts = _doubts_at(10)
    assert doubts.since_question('u-1') == timedelta.max
    doubts.record_question('u-1')
    clock.advance(SECOND)
    assert doubts.since_question('u-1') == SECOND


def test_removed_upstreams_are_forgotten():
    _, doubts = _doubts_at(10)
    for name in ('u-1', 'u-2'):
        doubts.record_question(name)
        doubts.add(name)

    doubts.keep_only(['u-2'])

    assert not doubts.includes('u-1')
    assert doubts.includes('u-2')
    assert doubts.since_question('u-1') == timedelta.max


def test_an_evacuation_that_ends_leaves_its_upstreams_in_doubt():
    view = FleetView(ManualClock())
    view.apply('u', build_record())
    view.apply('v', build_record('u-2', data_centre='north-b'))
    view.apply('e', Evacuation('north-a'))

    view.remove('e', timedelta())

    assert view.doubts.includes('u-1')
    assert not view.doubts.includes('u-2')
