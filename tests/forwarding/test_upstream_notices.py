"""Tests of what upstreams say of themselves."""

from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticstage.clock import ManualClock
from masticstage.forwarding.published import Unreadable
from masticstage.forwarding.upstream_notices import (
    UpstreamNotices,
    retry_after_rest,
)
from masticstage.forwarding.view import FleetView
from tests.forwarding_builders import SECOND, build_record

_COPY_TIME = 3 * SECOND


def _names(view):
    return [known.record.name for known in view.upstreams_of('shop')]


def _view():
    clock = ManualClock()
    clock.advance(SECOND)
    view = FleetView(clock, _COPY_TIME)
    view.apply('u', build_record(started_at_ms=1))
    return clock, view


def test_an_upstream_that_says_it_leaves_gets_no_requests():
    """Guards against requests to an upstream that leaves unpublished."""
    _, view = _view()
    view.notices.record_leaving(build_record(started_at_ms=1), is_own=True)
    assert not _names(view)
    assert view.find('u-1') is None
    assert view.is_leaving('u-1')


def test_an_old_record_does_not_bring_a_leaving_upstream_back():
    """Guards against a leave that is forgotten when records are read again."""
    clock, view = _view()
    record = build_record(started_at_ms=1)
    view.notices.record_leaving(record, is_own=True)
    view.remove('u', timedelta())
    clock.advance(20 * SECOND)
    view.apply('u', record)
    assert not _names(view)


def test_a_new_start_under_the_same_name_gets_requests():
    _, view = _view()
    view.notices.record_leaving(build_record(started_at_ms=1), is_own=True)
    view.notices.record_rest(build_record(started_at_ms=1), 9 * SECOND)
    view.apply('u', build_record(started_at_ms=2))
    assert _names(view) == ['u-1']


def test_a_new_upstream_at_the_same_address_gets_requests():
    """Guards against notices that are kept by address."""
    _, view = _view()
    view.notices.record_leaving(build_record(started_at_ms=1), is_own=True)
    view.notices.record_rest(build_record(started_at_ms=1), 9 * SECOND)
    view.apply('v', build_record('u-2', started_at_ms=5))
    assert _names(view) == ['u-2']


def test_the_word_of_a_peer_is_a_hint_until_the_upstream_says_so():
    clock, view = _view()
    record = build_record(started_at_ms=1)
    assert view.notices.record_leaving(record, is_own=False)
    assert not _names(view)
    assert 'a peer' in view.notices.describe(record)
    assert not list(view.notices.reports())

    assert view.notices.record_leaving(record, is_own=True)
    assert not view.notices.record_leaving(record, is_own=False)
    assert 'itself' in view.notices.describe(record)
    assert [report.upstream for report in view.notices.reports()] == ['u-1']
    clock.advance(20 * SECOND)
    assert not list(view.notices.reports())


def test_prefixes_are_copied_from_a_leaving_upstream_for_a_while_only():
    clock, view = _view()
    view.notices.record_leaving(build_record(started_at_ms=1), is_own=True)
    assert view.emptied_of('shop')
    clock.advance(_COPY_TIME)
    assert not view.emptied_of('shop')


def test_a_resting_upstream_gets_requests_after_its_rest():
    clock, view = _view()
    view.notices.record_rest(build_record(started_at_ms=1), 2 * SECOND)
    assert not _names(view)
    clock.advance(1.9 * SECOND)
    assert not _names(view)
    clock.advance(0.1 * SECOND)
    assert _names(view) == ['u-1']


def test_a_shorter_rest_does_not_end_an_earlier_one():
    clock, view = _view()
    record = build_record(started_at_ms=1)
    assert view.notices.record_rest(record, 3 * SECOND)
    clock.advance(SECOND)
    assert not view.notices.record_rest(record, SECOND)
    assert view.notices.rest_left(record) == 2 * SECOND


def test_old_notices_are_dropped():
    notices = UpstreamNotices(ManualClock(), _COPY_TIME)
    for number in range(5000):
        record = build_record(f'u-{number}')
        notices.record_leaving(record, is_own=True)
        notices.record_rest(record, SECOND)
    assert not notices.is_leaving(build_record('u-0'))
    assert notices.is_leaving(build_record('u-4999'))


@pytest.mark.parametrize('rests', [[1, 1, 1], [0.2, 4], [2]])
def test_callers_come_back_after_the_rest_and_not_at_one_moment(rests):
    """Load pattern: all upstreams of a route ask for a rest at once."""
    times = [timedelta(seconds=rest) for rest in rests]
    retries = [retry_after_rest(times, f'r-{key}') for key in range(400)]
    assert min(retries) >= min(times)
    latest = max(max(times), min(times) + SECOND)
    assert max(retries) <= latest
    tenths = {retry // timedelta(milliseconds=100) for retry in retries}
    assert len(tenths) >= 9


class NoticeMachine(RuleBasedStateMachine):
    """Notices, records and time in any order, for two starts of one name."""

    def __init__(self):
        """Starts with the first start published."""
        super().__init__()
        clock, view = _view()
        self.clock = clock
        self.view = view
        self.leaving = set()
        self.rests = {1: timedelta(), 2: timedelta()}
        self.published = 1

    @rule(start=st.integers(1, 2), is_own=st.booleans())
    def leave(self, start, is_own):
        record = build_record(started_at_ms=start)
        self.view.notices.record_leaving(record, is_own=is_own)
        self.leaving.add(start)

    @rule(start=st.integers(1, 2), seconds=st.floats(0, 5))
    def rest(self, start, seconds):
        record = build_record(started_at_ms=start)
        asked = timedelta(seconds=seconds)
        self.view.notices.record_rest(record, asked)
        until = self.clock.elapsed() + asked
        self.rests[start] = max(self.rests[start], until)

    @rule(start=st.integers(1, 2))
    def publish(self, start):
        self.view.apply('u', build_record(started_at_ms=start))
        self.published = start

    @rule(is_unreadable=st.booleans())
    def unpublish(self, is_unreadable):
        if is_unreadable:
            self.view.apply('u', Unreadable('bytes'))
        else:
            self.view.remove('u', timedelta())
        self.published = 0

    @rule(seconds=st.floats(0.1, 3))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @invariant()
    def only_a_published_start_without_notices_gets_requests(self):
        start = self.published
        is_usable = (
            start != 0
            and start not in self.leaving
            and self.rests[start] <= self.clock.elapsed()
        )
        assert bool(_names(self.view)) == is_usable


NoticeMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
TestNotices = NoticeMachine.TestCase
