"""Load pattern: traffic moves between instances while upstreams reject much.

Each instance limits its own retries; the bound is on those of all of them. The
instances whose traffic falls have earned retries before, those whose traffic
grows earn as many again.
"""

import math
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.clock import ManualClock
from masticstage.forwarding.budgets import RetryBudget
from tests.retry_model import BOUNDS, RetryModel

_SEEDS = (1, 2, 3)


def _steady(_):
    return [60, 60, 60, 60]


def _moving(now_s):
    moved = min(1, max(0, (now_s - 10) / 6))
    return [85 - 70 * moved, 85 - 70 * moved, 40 + 130 * moved, 30]


def _moving_in_turn(now_s):
    return [60 + 50 * math.sin(now_s / 9 + turn * 1.6) for turn in range(4)]


def _jumping(now_s):
    busy = int(now_s / 7) % 4
    return [200 if number == busy else 15 for number in range(4)]


def _rejecting(_):
    return 0.45


def _rejecting_for_a_time(now_s):
    return 0.45 if 10.5 < now_s < 22.5 else 0


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('rejected', [_rejecting, _rejecting_for_a_time])
@pytest.mark.parametrize('rates', [_steady, _moving, _moving_in_turn, _jumping])
def test_all_instances_stay_within_the_budget(rates, rejected, seed):
    """Guards against too many retries while traffic moves (review/4)."""
    model = RetryModel(rates, rejected, seed)
    model.run(40)
    assert model.worst_excess() <= 0


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('restarted_at_s', [12, 14.5, 21])
def test_restarts_add_nothing_to_the_budget(restarted_at_s, seed):
    """Guards against a budget that is spent twice around a restart."""
    model = RetryModel(_moving, _rejecting, seed, min_instances=4)
    model.run(40, restarted_at_s)
    assert model.worst_excess() <= 0


def test_under_steady_traffic_most_of_the_budget_can_be_used():
    model = RetryModel(_steady, _rejecting, seed=1)
    model.run(40)
    retries = sum(model.retries[200:300])
    allowed = BOUNDS.ratio * sum(model.requests[200:300])
    assert retries > 0.85 * allowed


_STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.floats(0, 3),
        st.integers(0, 60),
        st.integers(0, 40),
    ),
    min_size=1,
    max_size=40,
)


@given(_STEPS)
def test_no_window_exceeds_the_budget_whatever_the_traffic(steps):
    """Guards against retries that are earned in no window of all."""
    clock = ManualClock()
    budgets = [RetryBudget(clock, BOUNDS, 4) for _ in range(4)]
    clock.advance(BOUNDS.window)
    requests, retries = [], []
    for instance, pause_s, received, wanted in steps:
        clock.advance(timedelta(seconds=pause_s))
        now = clock.elapsed()
        for _ in range(received):
            budgets[instance].record_request('shop')
        requests.append((now, received))
        taken = sum(budgets[instance].try_retry('shop') for _ in range(wanted))
        retries.append((now, taken))
    for start, _ in retries:
        assert _sum_from(retries, start) <= _allowed_from(requests, start)


def _allowed_from(requests, start):
    half = BOUNDS.window / 2
    most = max(
        _sum_from(requests, start - shift)
        for shift in (timedelta(), half, BOUNDS.window)
    )
    return BOUNDS.ratio * most + BOUNDS.slack


def _sum_from(counts, start):
    """Returns the sum in the window that begins at a moment."""
    end = start + BOUNDS.window
    return sum(count for moment, count in counts if start <= moment < end)
