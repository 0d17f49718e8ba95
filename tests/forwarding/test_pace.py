"""Tests of the limit on requests in flight after a start."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.health import Outcomes
from masticstage.forwarding.pace import Pace, is_in_time, share_of_limit

_TARGET = timedelta(seconds=0.6)


@given(st.floats(1, 200), st.integers(min_value=1, max_value=60))
def test_the_shares_of_all_instances_add_up_to_the_limit(limit, instances):
    """Guards against instances that together exceed the limit."""
    shares = [
        share_of_limit(limit, rank, instances) for rank in range(instances)
    ]
    assert sum(shares) == int(limit)
    assert max(shares) - min(shares) <= 1


def test_answers_in_time_raise_the_limit_beyond_the_slots():
    pace = Pace(12, 100)
    assert pace.limit == 3
    for _ in range(21):
        assert not pace.has_ended(101)
        pace.record_answer(101, is_late=False)
    assert pace.has_ended(101)


def test_a_late_answer_ends_the_fast_growth():
    pace = Pace(64, 100)
    pace.record_answer(101, is_late=True)
    lowered = pace.limit
    assert lowered == pytest.approx(0.7 * 16)
    for _ in range(11):
        pace.record_answer(101, is_late=False)
    assert lowered + 0.8 < pace.limit < lowered + 1


def test_late_answers_of_one_moment_count_once():
    """Guards against a limit of one after a single burst."""
    pace = Pace(64, 100)
    for _ in range(20):
        pace.record_answer(100.1, is_late=True)
    assert pace.limit > 11
    for _ in range(20):
        pace.record_failure(101)
        pace.record_failure(102)
    assert pace.limit >= 1


def test_answers_of_other_instances_count():
    pace = Pace(64, 100)
    pace.record_others(101, Outcomes(0, 10))
    pace.record_others(101, Outcomes(0, 10))
    assert pace.limit == 26
    pace.record_others(101.5, Outcomes(15, 20))
    assert pace.limit == 13


def test_outcomes_before_the_start_do_not_count():
    """Guards against a limit that grows by what a server did before it fell."""
    before = Outcomes(8, 40)
    pace = Pace(64, 100, before)
    pace.record_others(100.1, before)
    pace.record_others(100.9, before)
    assert pace.limit == 16


def test_a_pace_ends_after_a_while():
    pace = Pace(64, 100)
    assert not pace.has_ended(109)
    assert pace.has_ended(111)


@pytest.mark.parametrize(
    ('took_s', 'expected_s', 'is_fine'),
    [
        (0.29, 0.05, True),
        (0.31, 0.05, False),
        (0.55, 0.29, True),
        (0.61, 5, False),
    ],
)
def test_an_answer_beyond_the_target_is_late(took_s, expected_s, is_fine):
    assert is_in_time(took_s, expected_s, _TARGET) is is_fine
