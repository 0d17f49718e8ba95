"""Tests of the intervals at which records are watched."""

from masticstage.edges.records import (
    BATCH_PAUSE_S,
    RETRY_PAUSE_S,
    WATCH_TIMEOUT_S,
)
from masticstage.platform.store import ANSWER_MARGIN_S

#: Bounds: an instance is connected again 5 s after its connections went
#: dead, and a configuration is in force 3 s after its acknowledgement.
_RECONNECTED_S = 5
_IN_FORCE_S = 3


def test_a_dead_watch_is_replaced_before_the_bound_holds_again():
    silent_s = BATCH_PAUSE_S + WATCH_TIMEOUT_S + ANSWER_MARGIN_S + RETRY_PAUSE_S

    assert silent_s + ANSWER_MARGIN_S / 2 < _RECONNECTED_S + _IN_FORCE_S


def test_batches_take_less_than_half_of_the_bound():
    assert BATCH_PAUSE_S < _IN_FORCE_S / 2
