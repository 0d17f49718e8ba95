"""Tests of the shared retry budget."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from masticstage.clock import ManualClock
from masticstage.forwarding.budgets import BudgetBounds, RetryBudget

_BOUNDS = BudgetBounds(0.2, timedelta(seconds=10), 56)


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 40), st.integers(0, 40)),
        min_size=1,
        max_size=60,
    ),
)
def test_independent_instances_together_stay_within_the_bound(steps):
    clock = ManualClock()
    budgets = [RetryBudget(clock, _BOUNDS, 4) for _ in range(4)]
    requests, retries = [], []
    clock.advance(_BOUNDS.window)
    for instance, received, wanted in steps:
        clock.advance(timedelta(milliseconds=500))
        now = clock.elapsed()
        for _ in range(received):
            budgets[instance].record_request('shop')
            requests.append(now)
        taken = sum(budgets[instance].try_retry('shop') for _ in range(wanted))
        retries.extend([now] * taken)
        start = now - _BOUNDS.window
        recent_retries = sum(moment > start for moment in retries)
        recent_requests = sum(moment > start for moment in requests)
        assert recent_retries <= 0.2 * recent_requests + 56


def _build_with_full_slack(min_instances):
    """Returns a budget that is older than the window."""
    clock = ManualClock()
    budget = RetryBudget(clock, _BOUNDS, min_instances)
    clock.advance(_BOUNDS.window)
    return budget


def test_a_new_instance_has_no_slack():
    clock = ManualClock()
    budget = RetryBudget(clock, _BOUNDS, 4)
    assert not budget.try_retry('shop')
    clock.advance(_BOUNDS.window)
    assert budget.try_retry('shop')


def test_each_service_has_its_own_budget():
    budget = _build_with_full_slack(56)
    assert not budget.try_retry('shop')
    for _ in range(10):
        budget.record_request('shop')
    assert budget.try_retry('shop')
    assert not budget.try_retry('model')


def test_the_largest_number_of_instances_counts():
    budget = _build_with_full_slack(2)
    budget.record_instances(8)
    remaining = budget.remaining('shop')
    budget.record_instances(1)
    assert budget.remaining('shop') == remaining
