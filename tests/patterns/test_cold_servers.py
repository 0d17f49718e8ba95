"""Load pattern: a new server is cold for 3 s, then at its full speed.

While it is cold, the published rate bounds the requests of all instances
together. Nothing bounded them in the moment after that.
"""

import pytest

from tests.patterns.server_model import Deployment, Server, play

_RATE = 6
_COLD_S = 3.0


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_cold_server_gets_no_more_than_the_published_bound(seed):
    deployment = Deployment(
        Server(), cold_s=_COLD_S, cold_rate=_RATE, seed=seed
    ).run()
    cold_until_s = deployment.started_at_s + _COLD_S
    at_s = [
        sent for sent in deployment.server.dispatched if sent < cold_until_s
    ]

    in_a_second = [
        sum(first <= sent < first + 1 for sent in at_s) for first in at_s
    ]
    assert 0 < max(in_a_second) <= 1.5 * _RATE + 3


def _late_after_the_warm_up(*, is_paced):
    deployment = Deployment(
        Server(service_s=0.25),
        is_paced=is_paced,
        cold_s=_COLD_S,
        cold_rate=_RATE,
    ).run()
    return deployment.late_share(3, 6), deployment.rate_within(6, 8)


def test_a_server_is_not_overloaded_once_it_is_warm():
    late_before, _ = _late_after_the_warm_up(is_paced=False)
    late_after, rate_after = _late_after_the_warm_up(is_paced=True)

    assert late_before > 0.2
    assert late_after <= 0.05
    assert rate_after > 0


def test_a_cold_server_without_a_published_rate_is_paced():
    """Guards against a flood to servers that are slow while they are cold."""

    def build_server():
        return Server(work=lambda seconds: 3 if seconds < 9 else 1)

    before = play(build_server, is_paced=False, cold_s=_COLD_S)
    after = play(build_server, is_paced=True, cold_s=_COLD_S)

    assert before.late > 0.5
    assert after.late <= 0.1
