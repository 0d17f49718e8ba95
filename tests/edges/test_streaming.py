"""Tests of the times at which events of a stream are forwarded."""

from datetime import timedelta

from masticstage.edges.streaming import StreamTimes
from tests.forwarding_builders import SECOND


def test_the_longest_pause_is_between_two_events():
    times = StreamTimes()
    for moment in (10, 10.1, 10.5, 10.6):
        times.record(moment * SECOND)

    assert times.first == 10 * SECOND
    assert times.longest_pause == 0.4 * SECOND


def test_a_single_event_has_no_pause():
    times = StreamTimes()
    times.record(10 * SECOND)

    assert times.longest_pause == timedelta()
