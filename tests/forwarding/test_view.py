"""Tests of the published state in use."""

from datetime import timedelta

import pytest

from masticstage.clock import ManualClock, milliseconds
from masticstage.forwarding.outage import OutageTracker
from masticstage.forwarding.published import Evacuation, Unreadable
from masticstage.forwarding.view import FleetView
from tests.forwarding_builders import SECOND, build_record, build_table

#: Time after a disturbance from which removals are in force in time.
_RECONNECT_TIME = 5 * SECOND


def _names(view):
    return [known.record.name for known in view.upstreams_of('shop')]


def test_a_leaving_upstream_gets_no_requests():
    view = FleetView(ManualClock())
    view.apply('u', build_record())
    assert _names(view) == ['u-1']

    view.apply('u', build_record(is_leaving=True))

    assert not _names(view)
    assert view.find('u-1') is None


def test_an_evacuated_data_centre_gets_no_requests_until_its_end():
    view = FleetView(ManualClock())
    view.apply('u', build_record())
    view.apply('e', Evacuation('north-a'))
    assert not _names(view)

    view.remove('e', timedelta())

    assert _names(view) == ['u-1']


def test_an_unreadable_record_removes_only_its_own_upstream():
    view = FleetView(ManualClock())
    view.apply('u', build_record())
    view.apply('v', build_record('u-2'))

    view.apply('u', Unreadable('bytes'))

    assert _names(view) == ['u-2']


def test_an_unreadable_configuration_keeps_the_previous_one():
    view = FleetView(ManualClock())
    view.apply('c', build_table(4))
    view.apply('c', Unreadable('bytes'))
    assert view.table is not None
    assert view.table.version == 4


def test_an_older_version_is_ignored():
    view = FleetView(ManualClock())
    view.apply('c', build_table(4))
    view.apply('c', build_table(3))
    assert view.table is not None
    assert view.table.version == 4


def test_a_removal_applies_at_once_without_an_outage():
    clock = ManualClock()
    view, outage = FleetView(clock), OutageTracker(clock, _RECONNECT_TIME)
    view.apply('u', build_record())

    view.remove('u', outage.removals_apply_at())

    assert not _names(view)


def test_a_removal_is_deferred_until_some_time_after_an_outage():
    clock = ManualClock()
    view, outage = FleetView(clock), OutageTracker(clock, _RECONNECT_TIME)
    view.apply('u', build_record())
    outage.record_failure(clock.elapsed())
    view.remove('u', outage.removals_apply_at())
    clock.advance(20 * SECOND)
    assert not view.apply_due_removals(outage.removals_apply_at())
    assert _names(view) == ['u-1']
    outage.record_failure(clock.elapsed())

    outage.record_success()
    assert not view.apply_due_removals(outage.removals_apply_at())
    clock.advance(3 * SECOND)

    assert view.apply_due_removals(outage.removals_apply_at()) == ['u-1']
    assert not _names(view)


def test_a_record_that_returns_cancels_its_removal():
    clock = ManualClock()
    view, outage = FleetView(clock), OutageTracker(clock, _RECONNECT_TIME)
    view.apply('u', build_record())
    outage.record_failure(clock.elapsed())
    view.remove('u', outage.removals_apply_at())
    outage.record_success()

    view.apply('u', build_record())
    clock.advance(30 * SECOND)

    assert not view.apply_due_removals(outage.removals_apply_at())
    assert _names(view) == ['u-1']


def test_a_record_sets_the_end_of_the_warm_up():
    clock = ManualClock()
    clock.advance(SECOND)
    view = FleetView(clock)
    view.apply('u', build_record(cold_for=milliseconds(1500)))

    known = view.find('u-1')

    assert known is not None
    assert known.cold_until == milliseconds(2500)


@pytest.mark.parametrize('is_unreadable', [False, True])
def test_a_deferred_removal_that_is_applied_otherwise_is_forgotten(
    is_unreadable,
):
    """Guards against a KeyError that ends the task of the ticks."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record())
    view.remove('u', None)
    if is_unreadable:
        view.apply('u', Unreadable('no address'))
    else:
        view.remove('u', clock.elapsed())

    clock.advance(SECOND)

    assert not view.apply_due_removals(clock.elapsed())
    assert not view.all_upstreams()
