"""Timers that expire together.

Each wake-up of an instance costs processor time, so timers whose intervals are
multiples of each other expire at the same moments.  trio's clock starts at a
random time in each process, so that instances don't wake up at the same ones.
"""

from math import floor

import trio


async def sleep_until_next(interval_s: float) -> float:
    """Sleeps until the next multiple of an interval; returns how late it is."""
    due_s = (floor(trio.current_time() / interval_s) + 1) * interval_s
    await trio.sleep_until(due_s)
    return max(0, trio.current_time() - due_s)
