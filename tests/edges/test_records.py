"""Tests of the intervals at which records are watched."""

import pytest

from masticstage.edges.records import RETRY_PAUSE_S, WATCH_TIMEOUT_S
from masticstage.forwarding.read_pauses import batch_pause_s
from masticstage.platform.store import ANSWER_MARGIN_S

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


@pytest.mark.parametrize(('instances', 'reconnected_s', 'in_force_s'), _BOUNDS)
def test_a_dead_watch_is_replaced_before_the_bound_holds_again(
    instances, reconnected_s, in_force_s
):
    pause_s = batch_pause_s(instances)
    silent_s = pause_s + WATCH_TIMEOUT_S + ANSWER_MARGIN_S + RETRY_PAUSE_S

    assert silent_s + ANSWER_MARGIN_S / 2 < reconnected_s + in_force_s


@pytest.mark.parametrize(('instances', '_', 'in_force_s'), _BOUNDS)
def test_batches_take_at_most_half_of_the_bound(instances, _, in_force_s):
    assert batch_pause_s(instances) <= in_force_s / 2


def test_reads_grow_more_slowly_than_the_fleet():
    """Load pattern: all instances watch while upstreams start one by one."""
    reads_per_s = [
        instances / batch_pause_s(instances) for instances in (30, 78, 300)
    ]

    assert reads_per_s[1] < 2 * reads_per_s[0]
    assert reads_per_s[2] < 300 / 2
