"""Load pattern: a new server takes three times as long as the others.

Nothing is known of it yet, so that unpaced it gets as much as a usual one.
"""

from tests.patterns.server_model import Server, play


def _build_server():
    return Server(service_s=0.4)


def test_a_slow_new_server_is_not_overloaded():
    before = play(_build_server, is_paced=False)
    after = play(_build_server, is_paced=True)

    assert before.late > 0.5
    assert after.late <= 0.02
    assert after.steady_rate >= before.steady_rate
    assert not after.failed
