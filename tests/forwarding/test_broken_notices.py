"""Checks that wrong ways of keeping notices are caught by their tests."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from masticstage.forwarding import upstream_notices
from masticstage.forwarding.view import FleetView
from tests.edges import test_upstream_notices as edge_tests
from tests.forwarding import test_upstream_notices as own_tests

_SETTINGS = settings(
    max_examples=200,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.generate,),
)


def _run_machine():
    run_state_machine_as_test(own_tests.NoticeMachine, settings=_SETTINGS)


def test_a_leave_that_is_forgotten_on_a_new_read_is_caught(monkeypatch):
    apply = FleetView.apply

    def apply_and_forget(view, key, published):
        view.notices._leaving.clear()
        return apply(view, key, published)

    monkeypatch.setattr(FleetView, 'apply', apply_and_forget)
    with pytest.raises(AssertionError):
        own_tests.test_an_old_record_does_not_bring_a_leaving_upstream_back()
    with pytest.raises(AssertionError):
        _run_machine()


def test_notices_that_are_kept_by_address_are_caught(monkeypatch):
    monkeypatch.setattr(
        upstream_notices, '_start_of', lambda record: (record.address, 0)
    )
    with pytest.raises(AssertionError):
        own_tests.test_a_new_upstream_at_the_same_address_gets_requests()
    with pytest.raises(AssertionError):
        _run_machine()


def test_a_rest_that_is_ended_by_a_shorter_one_is_caught(monkeypatch):
    def record_last(notices, record, rest):
        until = notices._clock.elapsed() + rest
        notices._rests[record.name, record.started_at_ms] = until
        return True

    monkeypatch.setattr(
        upstream_notices.UpstreamNotices, 'record_rest', record_last
    )
    with pytest.raises(AssertionError):
        own_tests.test_a_shorter_rest_does_not_end_an_earlier_one()
    with pytest.raises(AssertionError):
        _run_machine()


def test_a_rest_that_is_not_applied_to_relays_is_caught(monkeypatch):
    upstreams_of = FleetView.upstreams_of

    def upstreams_with_resting(view, service):
        rests = dict(view.notices._rests)
        view.notices._rests.clear()
        try:
            return upstreams_of(view, service)
        finally:
            view.notices._rests.update(rests)

    monkeypatch.setattr(FleetView, 'upstreams_of', upstreams_with_resting)
    with pytest.raises(BaseExceptionGroup) as caught:
        edge_tests.test_a_relay_does_not_reach_a_resting_upstream()
    assert caught.group_contains(AssertionError)
