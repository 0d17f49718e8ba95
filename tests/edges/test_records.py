"""Tests of how soon records are followed again."""

from masticstage.edges.records import (
    BATCH_PAUSE_S,
    RETRY_PAUSE_S,
    WATCH_TIMEOUT_S,
)
from masticstage.platform.store import ANSWER_S

#: The users' bounds: a machine is in touch 5 s after its connections went
#: silent, and a configuration is in force 3 s after its acknowledgement.
_IN_TOUCH_S = 5
_IN_FORCE_S = 3


def test_a_silent_watch_is_replaced_before_the_bound_holds_again():
    silent_s = BATCH_PAUSE_S + WATCH_TIMEOUT_S + ANSWER_S + RETRY_PAUSE_S

    assert silent_s + ANSWER_S / 2 < _IN_TOUCH_S + _IN_FORCE_S


def test_changes_are_gathered_for_a_part_of_the_bound():
    assert BATCH_PAUSE_S < _IN_FORCE_S / 2
