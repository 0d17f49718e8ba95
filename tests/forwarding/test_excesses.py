"""Tests of the fair shares of teams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.quotas.excesses import (
    Demand,
    compute_excesses,
    fair_level,
)

_DEMANDS = st.lists(
    st.builds(
        Demand,
        st.floats(min_value=0, max_value=1e6),
        st.floats(min_value=0.5, max_value=1e3),
    ),
    min_size=1,
    max_size=8,
)


@given(_DEMANDS, st.floats(min_value=0, max_value=2e6))
def test_a_level_hands_out_the_whole_capacity_and_no_more(demands, capacity):
    # Guards against capacity that is left idle while a demand is not met.
    level = fair_level(demands, capacity)
    granted = sum(min(one.rate, level * one.weight) for one in demands)
    total = sum(one.rate for one in demands)
    assert granted == pytest.approx(min(total, capacity), rel=1e-6, abs=1e-3)


def test_the_largest_demand_for_its_weight_is_above_its_share_first():
    # Guards against a small team that pays for the excess of a large one.
    excesses = compute_excesses({'large': Demand(9, 1), 'small': Demand(1, 1)})
    assert excesses['large'] > 1
    assert excesses['small'] < 1


def test_a_large_team_with_a_large_limit_is_no_worse_than_a_small_one():
    # Guards against shares that ignore the limits of teams.
    excesses = compute_excesses({'large': Demand(9, 9), 'small': Demand(1, 1)})
    assert excesses['large'] == pytest.approx(excesses['small'])


@pytest.mark.parametrize('demands', [{}, {'idle': Demand(0, 1)}])
def test_without_demand_there_are_no_excesses(demands):
    assert not compute_excesses(demands)


def test_a_team_without_weight_is_left_out():
    assert not compute_excesses({'unlimited': Demand(5, 0)})
