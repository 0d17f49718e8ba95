"""Tests of spreading which upstreams hold which prefixes."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from masticstage.clock import ManualClock
from masticstage.forwarding.prefix_reports import PrefixReport, PrefixReports
from masticstage.forwarding.requests import PromptPart

_PARTS = (PromptPart('a1', 4000), PromptPart('b2', 500))
_REPORT = PrefixReport('e-1', _PARTS)


def _build_reports():
    clock = ManualClock()
    return clock, PrefixReports(clock)


def _sent(reports, *, is_own_region=True):
    """Returns how often each report is sent until none is left."""
    sent = []
    while batch := reports.next_batch(is_own_region=is_own_region):
        sent.extend(batch)
    return sent


def test_an_observation_is_sent_a_few_times_to_each_side():
    _, reports = _build_reports()
    reports.observe('e-1', _PARTS)

    assert _sent(reports) == 3 * [_REPORT]
    assert _sent(reports, is_own_region=False) == 4 * [_REPORT]


def test_what_was_learnt_is_passed_on_in_the_region_only():
    _, reports = _build_reports()

    assert reports.learn([_REPORT]) == [_REPORT]
    assert _sent(reports) == 3 * [_REPORT]
    assert not _sent(reports, is_own_region=False)


def test_what_was_heard_a_moment_ago_is_not_new():
    clock, reports = _build_reports()
    reports.learn([_REPORT])
    _sent(reports)
    clock.advance(timedelta(seconds=19))

    reports.observe('e-1', _PARTS)
    assert not reports.learn([_REPORT])
    assert not _sent(reports)

    clock.advance(timedelta(seconds=2))
    assert reports.learn([_REPORT])


def test_short_prefixes_are_not_reported():
    _, reports = _build_reports()
    reports.observe('e-1', (PromptPart('a1', 90),))

    assert not _sent(reports)


@given(st.integers(1, 3000))
def test_memory_and_messages_are_bounded(count):
    _, reports = _build_reports()
    for number in range(count):
        reports.observe(f'e-{number}', _PARTS)

    batch = reports.next_batch(is_own_region=True)
    assert len(batch) <= 60
    assert len(_sent(reports)) <= 4 * 1000
