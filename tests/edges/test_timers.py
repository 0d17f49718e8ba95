"""Tests of timers that expire together."""

import trio
from trio.testing import MockClock

from masticstage.edges.timers import sleep_until_next


def test_timers_of_multiples_wake_together():
    """Guards against a wake-up of its own for each timer of an instance."""
    wake_ups = set()

    async def run_timer(interval_s):
        while True:
            assert await sleep_until_next(interval_s) == 0
            wake_ups.add(trio.current_time())

    async def run_all():
        await trio.sleep(0.07)
        with trio.move_on_after(2.2):
            async with trio.open_nursery() as nursery:
                for interval_s in (0.125, 0.25, 1.0, 1.0):
                    nursery.start_soon(run_timer, interval_s)

    trio.run(run_all, clock=MockClock(autojump_threshold=0))
    assert len(wake_ups) == 18


def test_a_timer_does_not_expire_twice_at_one_moment():
    """Guards against a loop without sleep when a timer wakes on time."""

    async def sleep_twice():
        await sleep_until_next(0.25)
        first_s = trio.current_time()
        await sleep_until_next(0.25)
        return trio.current_time() - first_s

    clock = MockClock(autojump_threshold=0)
    assert trio.run(sleep_twice, clock=clock) == 0.25
