"""Tests of the health of an upstream."""

from masticstage.forwarding.health import Health


def test_failures_decay_while_an_upstream_is_unused():
    health = Health()
    for _ in range(10):
        health.record_outcome(100, is_failure=True)
    assert health.outcomes(100).failure_rate > 0.7

    assert health.outcomes(112).failure_rate < 0.15


def test_a_single_failure_has_little_effect():
    health = Health()
    health.record_outcome(100, is_failure=True)

    assert health.outcomes(100).failure_rate <= 0.2


def test_pauses_between_checks_of_a_suspected_upstream_grow():
    health = Health()
    assert health.suspect(100)
    assert not health.is_check_due(100)
    assert health.is_check_due(100.3)

    assert not health.suspect(100.3)
    assert not health.is_check_due(100.6)

    assert health.clear_suspicion()
    assert not health.is_suspected
