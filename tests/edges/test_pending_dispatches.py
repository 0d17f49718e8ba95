"""Tests of the book of dispatches that wait for an answer."""

import trio

from masticstage.edges.pending_dispatches import PendingDispatches

_EXPECTED_S = 0.1
_LONG_S = 0.6


def test_a_long_wait_is_counted_once():
    book = PendingDispatches()
    with book.waiting('u-1', None, 100, _EXPECTED_S):
        assert not book.count_long(100 + _EXPECTED_S)
        assert book.count_long(100 + _LONG_S) == ['u-1']
        assert not book.count_long(100 + _LONG_S)


def test_a_wait_that_has_ended_is_not_counted():
    book = PendingDispatches()
    with book.waiting('u-1', None, 100, _EXPECTED_S):
        """An answer came at once."""

    assert not book.count_long(200)


def test_only_waits_that_may_be_repeated_are_abandoned():
    book = PendingDispatches()
    scope = trio.CancelScope()
    with (
        book.waiting('u-1', scope, 100, _EXPECTED_S),
        book.waiting('u-1', None, 100, _EXPECTED_S),
    ):
        assert book.abandon('u-1') == 1

    assert scope.cancel_called


def test_an_upstream_is_checked_again_after_a_pause():
    book = PendingDispatches()
    with book.waiting('u-1', None, 100, _EXPECTED_S):
        assert book.long_at(101) == ['u-1']
        assert not book.long_at(101.5)
        assert book.long_at(102.5) == ['u-1']
