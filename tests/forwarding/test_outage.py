"""Tests of telling disturbed calls from an outage of the platform."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from masticstage.clock import ManualClock, milliseconds
from masticstage.forwarding.outage import OutageTracker
from tests.forwarding_builders import SECOND

_RECONNECT_TIME = 5 * SECOND


def _answered_tracker():
    clock = ManualClock()
    outage = OutageTracker(clock, _RECONNECT_TIME)
    outage.record_success()
    return clock, outage


def test_without_failures_removals_apply_at_once():
    _, outage = _answered_tracker()
    assert outage.removals_apply_at() == timedelta()


def test_during_an_outage_no_removal_applies():
    clock, outage = _answered_tracker()
    assert outage.record_failure(clock.elapsed())
    assert not outage.record_failure(clock.elapsed())
    assert outage.removals_apply_at() is None


def test_after_one_silent_call_removals_apply_when_the_bound_holds():
    """Guards against an outage that is assumed for one silent connection."""
    clock, outage = _answered_tracker()
    clock.advance(4.3 * SECOND)
    outage.record_failure(milliseconds(0))
    clock.advance(0.2 * SECOND)
    outage.record_success()

    assert outage.removals_apply_at() < _RECONNECT_TIME


def test_after_calls_that_failed_on_new_connections_removals_wait():
    """Guards against dropping upstreams whose records expired in an outage."""
    clock, outage = _answered_tracker()
    for _ in range(12):
        started_at = clock.elapsed()
        clock.advance(0.9 * SECOND)
        outage.record_failure(started_at)
    outage.record_success()

    assert outage.removals_apply_at() >= clock.elapsed() + 2 * SECOND


@given(
    st.lists(
        st.tuples(st.floats(0, 6), st.booleans()), min_size=1, max_size=30
    ),
)
def test_no_removal_waits_longer_than_the_bound_after_the_last_failure(calls):
    clock, outage = _answered_tracker()
    failed_at = None
    for took_s, is_answered in calls:
        started_at = clock.elapsed()
        clock.advance(timedelta(seconds=took_s))
        if is_answered:
            outage.record_success()
        else:
            outage.record_failure(started_at)
            failed_at = clock.elapsed()
    outage.record_success()

    due = outage.removals_apply_at()
    assert due is not None
    if failed_at is not None:
        assert due < failed_at + _RECONNECT_TIME
