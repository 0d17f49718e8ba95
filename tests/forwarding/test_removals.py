"""Tests of what a platform that was restored from a copy may undo."""

from datetime import timedelta

import pytest

from masticstage.clock import ManualClock
from masticstage.forwarding.outage import OutageTracker
from masticstage.forwarding.published import Evacuation, Unreadable
from masticstage.forwarding.view import FleetView
from tests.forwarding_builders import SECOND, build_record, build_table

_KEEP = 7 * SECOND


def _names(view):
    return [known.record.name for known in view.upstreams_of('shop')]


def _roll_back(view, clock, key, published):
    until = clock.elapsed() + _KEEP
    view.removals.begin_rollback(until)
    return view.apply_rolled_back(key, published, until)


@pytest.mark.parametrize(
    ('removed', 'copied', 'is_used'),
    [(5, 5, False), (5, 4, False), (0, 0, False), (5, 6, True)],
)
def test_a_removed_upstream_returns_only_with_a_later_start(
    removed, copied, is_used
):
    """Guards against requests to an upstream whose deletion was lost."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record(started_at_ms=removed))
    view.remove('u', timedelta())

    _roll_back(view, clock, 'u', build_record(started_at_ms=copied))

    assert bool(_names(view)) is is_used
    told = [report.started_at_ms for report in view.notices.reports()]
    assert (told == [copied]) is not is_used


def test_a_removed_upstream_returns_when_it_is_written_again():
    """Guards against a live upstream that is refused for ever."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record())
    view.remove('u', timedelta())

    view.apply('u', build_record())

    assert _names(view) == ['u-1']


@pytest.mark.parametrize(
    'copied',
    [None, Unreadable('bytes'), build_record('u-1', started_at_ms=4)],
)
def test_what_the_copy_lacks_is_kept_until_the_bound(copied):
    """Guards against live upstreams that are dropped with their writes."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record(started_at_ms=5))

    _roll_back(view, clock, 'u', copied)
    clock.advance(_KEEP - SECOND / 10)
    assert not view.apply_due_removals(timedelta())
    assert view.find('u-1').record.started_at_ms == 5
    clock.advance(SECOND / 5)

    assert not view.apply_due_removals(None)
    assert view.apply_due_removals(timedelta()) == ['u-1']
    assert not _names(view)


@pytest.mark.parametrize('is_written_again', [True, False])
def test_a_deferred_deletion_is_not_undone_by_the_copy(is_written_again):
    """Guards against the return of what was deleted just before a drill."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record())
    view.remove('u', None)

    _roll_back(view, clock, 'u', build_record())
    assert _names(view) == ['u-1']
    if is_written_again:
        view.apply('u', build_record())
    clock.advance(2 * _KEEP)
    view.apply_due_removals(timedelta())

    assert bool(_names(view)) is is_written_again


def test_an_upstream_that_was_written_again_stays_in_a_later_copy():
    """Guards against live upstreams that are taken for deleted ones."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record())
    view.remove('u', timedelta())
    view.apply('u', build_record())

    _roll_back(view, clock, 'u', build_record(slots=9))
    clock.advance(2 * _KEEP)

    assert not view.apply_due_removals(timedelta())
    assert view.find('u-1').record.slots == 9


def test_a_copy_does_not_make_a_warm_upstream_cold():
    """Guards against few requests to an upstream whose warm-up has ended."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record())
    clock.advance(SECOND)

    _roll_back(view, clock, 'u', build_record(cold_for=5 * SECOND))

    assert view.find('u-1').cold_until <= clock.elapsed()


def test_what_is_written_again_stays():
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record())
    _roll_back(view, clock, 'u', None)

    view.apply('u', build_record())
    clock.advance(2 * _KEEP)

    assert not view.apply_due_removals(timedelta())
    assert _names(view) == ['u-1']


def test_an_evacuation_is_kept_until_the_bound():
    """Guards against requests to a data centre whose evacuation was lost."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record())
    view.apply('e', Evacuation('north-a'))

    _roll_back(view, clock, 'e', None)
    assert not _names(view)
    clock.advance(2 * _KEEP)

    assert view.apply_due_removals(timedelta()) == ['north-a']
    assert _names(view) == ['u-1']


def test_an_upstream_does_not_take_its_leaving_back():
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record(is_leaving=True))

    _roll_back(view, clock, 'u', build_record())

    assert not _names(view)


def test_an_older_configuration_is_not_restored():
    """Guards against keys and routes that a later version has revoked."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('c', build_table(4))

    _roll_back(view, clock, 'c', build_table(3))
    assert view.table.version == 4
    _roll_back(view, clock, 'c', None)
    clock.advance(2 * _KEEP)

    assert not view.apply_due_removals(timedelta())
    assert view.table.version == 4


@pytest.mark.parametrize('is_deleted_before', [True, False])
def test_a_second_rollback_keeps_what_waits_for_longer(is_deleted_before):
    """Guards against drops of what was written again, and lost again."""
    clock = ManualClock()
    view = FleetView(clock)
    view.apply('u', build_record())
    if is_deleted_before:
        view.remove('u', SECOND)
    else:
        _roll_back(view, clock, 'u', None)
    clock.advance(_KEEP - SECOND)

    view.removals.begin_rollback(clock.elapsed() + _KEEP)
    clock.advance(_KEEP - SECOND / 10)

    assert not view.apply_due_removals(timedelta())
    clock.advance(SECOND / 5)
    assert view.apply_due_removals(timedelta()) == ['u-1']


@pytest.mark.parametrize(
    ('reconnect_s', 'removal_s', 'kept_s'), [(5, 3, 6.7), (1, 1, 2.3)]
)
def test_lost_records_are_kept_until_the_bounds_hold(
    reconnect_s, removal_s, kept_s
):
    """Guards against drops before upstreams had two seconds to write again."""
    outage = OutageTracker(ManualClock(), reconnect_s * SECOND)

    assert outage.keep_until(removal_s * SECOND) == timedelta(seconds=kept_s)
