"""A short soak of real processes, with every fault of the stand-ins."""

import trio

from bench.soak import run_soak

_RATE_PER_S = 40
_DURATION_S = 10
_FAULT_SHARE = 0.3


def test_callers_see_no_broken_guarantee_under_faults():
    """Guards against calls that run twice or that run after a refusal.

    On 6ee724c both rules were broken in each of three seeds.
    """
    counts = trio.run(run_soak, _RATE_PER_S, _DURATION_S, 34, _FAULT_SHARE)
    assert counts['requests'] > _RATE_PER_S * _DURATION_S / 2
    assert not counts['violations']
