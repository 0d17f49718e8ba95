"""Tests of the load summaries of other data centres."""

from datetime import timedelta

from masticstage.clock import ManualClock
from masticstage.summaries import Summary, SummaryTable

SUMMARY = Summary('b', 'model', 5, 0, free_slots=1, slot_us=500_000)


def build_table():
    table = SummaryTable(ManualClock())
    table.merge([SUMMARY])
    return table


def test_own_transfers_increase_the_expected_wait():
    table = build_table()
    for _ in range(3):
        table.record_transfer('b', 'model')
    assert table.expected_waits('model')[0].wait_s == 1


def test_new_summary_resets_the_transfers():
    table = build_table()
    table.record_transfer('b', 'model')
    table.record_transfer('b', 'model')
    table.merge([Summary('b', 'model', 6, 0, free_slots=1, slot_us=500_000)])
    assert not table.expected_waits('model')[0].wait_s


def test_older_summary_is_ignored():
    table = build_table()
    table.merge([Summary('b', 'model', 4, 9000)])
    assert not table.expected_waits('model')[0].wait_s


def test_stale_summary_is_not_used():
    clock = ManualClock()
    table = SummaryTable(clock)
    table.merge([SUMMARY])
    clock.advance(timedelta(seconds=11))
    assert not table.expected_waits('model')
