"""Tests of the fair shares of teams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.clock import ManualClock
from masticstage.forwarding.team_shares import TeamShares, fair_level
from tests.forwarding_builders import SECOND

_DEMANDS = st.lists(
    st.tuples(
        st.floats(min_value=0, max_value=1e6),
        st.floats(min_value=0.5, max_value=1e3),
    ),
    min_size=1,
    max_size=8,
)


def _record(shares, demands, dispatched=1.0):
    for team, tokens in demands.items():
        for _ in range(10):
            shares.record_arrival(team, 1, tokens)
            shares.record_dispatch(team, dispatched * tokens)


@given(_DEMANDS, st.floats(min_value=0, max_value=2e6))
def test_a_level_hands_out_the_whole_capacity_and_no_more(demands, capacity):
    # Guards against capacity that is left idle while a demand is not met.
    level = fair_level(demands, capacity)
    granted = sum(min(demand, level * weight) for demand, weight in demands)
    total = sum(demand for demand, _ in demands)
    assert granted == pytest.approx(min(total, capacity), rel=1e-6, abs=1e-3)


def test_the_largest_demand_for_its_weight_is_above_its_share_first():
    # Guards against a small team that pays for the excess of a large one.
    shares = TeamShares(ManualClock())
    _record(shares, {'large': 1000, 'small': 10})
    assert shares.excess('large') > 1
    assert shares.excess('small') < 1


def test_a_team_without_recent_requests_is_within_its_share():
    shares = TeamShares(ManualClock())
    _record(shares, {'large': 1000}, dispatched=0.5)
    assert shares.excess('new') == 1


def test_few_requests_say_nothing_about_shares():
    shares = TeamShares(ManualClock())
    shares.record_arrival('large', 1, 100_000)
    assert shares.excess('large') == 1


def test_a_past_burst_is_forgotten():
    # Guards against a team that is refused long after its burst has ended.
    clock = ManualClock()
    shares = TeamShares(clock)
    _record(shares, {'burst': 1000, 'other': 100}, dispatched=0.5)
    assert shares.excess('burst') > 1.5
    clock.advance(20 * SECOND)
    _record(shares, {'burst': 100, 'other': 100}, dispatched=0.5)
    assert shares.excess('burst') == pytest.approx(
        shares.excess('other'), rel=0.01
    )
