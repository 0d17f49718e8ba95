"""Load pattern: a new server is as fast as the others, or faster.

All instances see it idle at the same time. Unpaced, they send so much at once
that its answers are late.
"""

import pytest

from tests.patterns.server_model import Server, play


@pytest.mark.parametrize('instances', [8, 20])
def test_a_new_server_is_neither_overloaded_nor_idle(instances):
    before = play(Server, is_paced=False, instances=instances)
    after = play(Server, is_paced=True, instances=instances)

    assert before.late > 0.1
    assert after.late <= 0.01
    assert after.rate >= 0.9 * after.steady_rate
    assert not after.failed


def test_a_fast_server_is_detected():
    """Guards against a pace that keeps a fast server at a usual rate."""
    before = play(lambda: Server(service_s=0.05), is_paced=False)
    after = play(lambda: Server(service_s=0.05), is_paced=True)

    assert after.steady_rate > 2 * play(Server, is_paced=True).steady_rate
    assert after.rate >= 0.9 * before.steady_rate
    assert after.late == 0
