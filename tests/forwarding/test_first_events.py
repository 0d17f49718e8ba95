"""Tests of learning times to first events and waits."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.first_events import FirstEventLine, FirstEventTimes

_SECONDS = st.floats(0, 1000)
_TOKENS = st.floats(0, 1e6)


def test_the_assumed_line_holds_before_the_first_observation():
    line = FirstEventLine()

    assert line.predict_s(0) == 0.1
    assert line.predict_s(6000) == pytest.approx(0.2)


@pytest.mark.parametrize('tokens_per_s', [40_000, 61_400, 157_000])
def test_the_line_follows_the_observations(tokens_per_s):
    line, random = FirstEventLine(), Random(1)
    for _ in range(300):
        tokens = random.choice((300, 3700, 17_000))
        noise = random.uniform(-0.01, 0.01)
        line.record(tokens, 0.06 + tokens / tokens_per_s + noise)

    for tokens in (300, 17_000):
        assert line.predict_s(tokens) == pytest.approx(
            0.06 + tokens / tokens_per_s, rel=0.15, abs=0.01
        )


@given(st.lists(st.tuples(_TOKENS, _SECONDS), max_size=30), _TOKENS)
def test_the_line_stays_within_its_bounds(observations, tokens):
    line = FirstEventLine()
    for observed_tokens, observed_s in observations:
        line.record(observed_tokens, observed_s)

    assert 0.02 + tokens / 400_001 <= line.predict_s(tokens)
    assert line.predict_s(tokens) <= 0.3 + tokens / 19_999


def test_equal_observations_do_not_tilt_the_line_without_end():
    line = FirstEventLine()
    for _ in range(500):
        line.record(300, 0.05)

    assert line.predict_s(300) == pytest.approx(0.05, abs=0.02)
    assert line.predict_s(17_000) < 0.6


def test_waits_are_learnt_by_priority():
    times = FirstEventTimes()
    for _ in range(100):
        times.record_wait('model', 0, 0.3)
        times.record_wait('model', 1, 3)

    assert times.wait_factor('model', 0) == pytest.approx(0.3, rel=0.1)
    assert times.wait_factor('model', 1) == pytest.approx(3, rel=0.1)
    assert times.wait_factor('other', 1) == 1


@given(st.lists(st.floats(-1e9, 1e9)))
def test_a_wait_factor_stays_within_its_bounds(ratios):
    times = FirstEventTimes()
    for ratio in ratios:
        times.record_wait('model', 0, ratio)

    assert 0.2 <= times.wait_factor('model', 0) <= 6
