"""Tests of dispatches that wait for an answer."""

import trio

from masticstage.edges.pending_dispatches import PendingDispatches

_EXPECTED_S = 0.1
_OVERDUE_S = 0.6


def test_an_overdue_dispatch_is_counted_once():
    pending = PendingDispatches()
    with pending.track('u-1', None, 100, _EXPECTED_S):
        assert not pending.collect_newly_overdue(100 + _EXPECTED_S)
        assert pending.collect_newly_overdue(100 + _OVERDUE_S) == ['u-1']
        assert not pending.collect_newly_overdue(100 + _OVERDUE_S)


def test_a_dispatch_that_has_ended_is_not_counted():
    pending = PendingDispatches()
    with pending.track('u-1', None, 100, _EXPECTED_S):
        """The answer arrives at once."""

    assert not pending.collect_newly_overdue(200)


def test_only_dispatches_that_may_be_retried_are_cancelled():
    pending = PendingDispatches()
    scope = trio.CancelScope()
    with (
        pending.track('u-1', scope, 100, _EXPECTED_S),
        pending.track('u-1', None, 100, _EXPECTED_S),
    ):
        assert pending.cancel('u-1') == 1

    assert scope.cancel_called


def test_an_overdue_upstream_is_checked_again_after_an_interval():
    pending = PendingDispatches()
    with pending.track('u-1', None, 100, _EXPECTED_S):
        assert pending.upstreams_to_check(101) == ['u-1']
        assert not pending.upstreams_to_check(101.5)
        assert pending.upstreams_to_check(102.5) == ['u-1']
