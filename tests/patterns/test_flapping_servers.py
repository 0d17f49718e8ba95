"""Load pattern: a server refuses connections, once or again and again.

Each time it recovers, not all that it got before must come at once.
"""

from statistics import fmean

import pytest

from tests.patterns.server_model import Deployment, Server


def _refuses_once(seconds):
    return not 8 < seconds < 9


def _flaps(seconds):
    return seconds < 6 or (seconds - 6) % 3 < 2


def _play(is_up, *, is_paced, seeds=(1, 2, 3), **changes):
    return [
        Deployment(
            Server(is_up=is_up), is_paced=is_paced, seed=seed, **changes
        ).run()
        for seed in seeds
    ]


@pytest.mark.parametrize('is_up', [_refuses_once, _flaps])
def test_a_recovered_server_is_not_overloaded(is_up):
    before, after = (_play(is_up, is_paced=paced) for paced in (False, True))

    assert max(played.late_share() for played in before) > 0.1
    assert max(played.late_share() for played in after) <= 0.02
    assert not any(played.failed for played in after)


@pytest.mark.parametrize('instances', [8, 20])
def test_a_recovered_server_does_not_stay_idle(instances):
    """Guards against failures that are held against it for long."""
    plays = _play(_refuses_once, is_paced=True, instances=instances)

    soon = fmean(played.rate_within(6, 8) for played in plays)
    steady = fmean(played.rate_within(8, 12) for played in plays)
    assert soon >= 0.9 * steady


def test_servers_that_are_all_at_their_limit_take_all_requests():
    """Guards against requests refused because no server is below its limit."""
    deployment = Deployment(Server(service_s=0.05), others=0, rate=80)
    deployment.run(warm_up_s=0)

    assert deployment.sent > 0.8 * 12 * 80
    assert len(deployment.server.times) == deployment.sent
    assert not deployment.failed
