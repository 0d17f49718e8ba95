"""Who may send to a cold upstream, and how often.

The bound on requests to a cold upstream is on all instances together.  One
instance of its region is chosen for it by rendezvous hashing, so that two
that disagree about the live instances stay inside the bound together.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

#: Part of the permitted rate that the chosen instance uses.  Two choosers
#: that disagree send 2 x (0.8 x rate + 1) in a second, below the permitted
#: 1.5 x rate + 3 for rates from 0.
_RATE_SHARE: Final = 0.75


def chosen_sender(upstream: str, instances: Iterable[str]) -> str:
    """Returns the instance that may send to a cold upstream."""
    return max(
        instances,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f'{name}\0{upstream}'.encode()
        ),
    )


def cold_interval_s(rate: float) -> float:
    """Returns the least time between two requests to a cold upstream."""
    return 1 / (_RATE_SHARE * rate)
