"""Load pattern: work at a new server takes 2.5 times as long 15 % of the time.

That changes every 0.6 s. Unless it is reported, a slow moment is learnt as a
slow server, which is avoided for long.
"""

from random import Random

from tests.patterns.server_model import Server, play


def _work(seconds):
    is_slow = Random(f'noise {int(seconds / 0.6)}').random() < 0.15
    return 2.5 if is_slow else 1


def _build_server():
    return Server(work=_work, reports_work=True)


def test_a_noisy_new_server_is_used_at_its_rate():
    before = play(lambda: Server(work=_work), is_paced=False)
    after = play(_build_server, is_paced=True)

    assert before.late > 0.1
    assert after.late <= 0.02
    assert after.rate >= 0.9 * after.steady_rate
    assert after.steady_rate > 1.3 * before.steady_rate


def test_a_noisy_server_is_not_learnt_as_slow():
    """Guards against slow moments in the long-run ratio."""
    silent = play(lambda: Server(work=_work), is_paced=True)
    telling = play(_build_server, is_paced=True)

    assert telling.steady_rate > 1.1 * silent.steady_rate
