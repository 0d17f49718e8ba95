"""Tests of what outcomes and checks say about an upstream."""

from masticstage.forwarding.health import Health


def test_failures_count_and_fade_while_an_upstream_is_unused():
    health = Health()
    for _ in range(10):
        health.note_outcome(100, is_failure=True)
    assert health.outcomes(100).rate > 0.7

    assert health.outcomes(112).rate < 0.15


def test_a_single_failure_says_little():
    health = Health()
    health.note_outcome(100, is_failure=True)

    assert health.outcomes(100).rate <= 0.2


def test_a_doubtful_upstream_is_checked_ever_less_often_until_it_is_back():
    health = Health()
    assert health.doubt(100)
    assert not health.is_check_due(100)
    assert health.is_check_due(100.3)

    assert not health.doubt(100.3)
    assert not health.is_check_due(100.6)

    assert health.clear_doubt()
    assert not health.is_doubtful
