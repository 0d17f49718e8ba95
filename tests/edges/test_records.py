"""Tests of the intervals at which records are watched."""

import pytest

from masticstage.forwarding.read_pauses import (
    ANSWER_MARGIN_S,
    batch_pause_s,
    watch_wait_s,
)

#: Bounds by the number of instances: when an instance is connected again after
#: its connections went dead, and when a configuration is in force after its
#: acknowledgement (s).
_BOUNDS = [
    (1, 5, 3),
    (4, 5, 3),
    (10, 5, 3),
    (30, 6, 5),
    (78, 6, 5),
    (900, 6, 5),
]
#: Two round trips between regions: a new connection and an answer on it (s).
_RECONNECT_S = 0.22


@pytest.mark.parametrize(('instances', 'reconnected_s', 'in_force_s'), _BOUNDS)
@pytest.mark.parametrize('is_after_changes', [False, True])
def test_a_dead_watch_is_replaced_before_the_bound_holds_again(
    instances, reconnected_s, in_force_s, is_after_changes
):
    pause_s = batch_pause_s(instances, in_force_s) if is_after_changes else 0
    wait_s = watch_wait_s(reconnected_s, pause_s)
    silent_s = pause_s + wait_s + ANSWER_MARGIN_S

    assert silent_s + _RECONNECT_S < reconnected_s


@pytest.mark.parametrize(('instances', '_', 'in_force_s'), _BOUNDS)
def test_batches_take_at_most_half_of_the_bound(instances, _, in_force_s):
    assert batch_pause_s(instances, in_force_s) <= in_force_s / 2


def test_reads_grow_more_slowly_than_the_fleet():
    """Load pattern: all instances watch while upstreams start one by one."""
    reads_per_s = [
        instances / batch_pause_s(instances, 5) for instances in (30, 78, 300)
    ]

    assert reads_per_s[1] < 2 * reads_per_s[0]
    assert reads_per_s[2] < 300 / 2
