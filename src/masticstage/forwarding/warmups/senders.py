"""Which instance may send to a cold upstream, and how often.

The limit on requests to a cold upstream applies to all instances together. One
instance of its region is chosen by rendezvous hashing. Instances may disagree
about which of them are live, and even two senders must not exceed the limit.

Parts of a region that are cut off from each other choose a sender each. Its
rate is in proportion to the instances of its part, so that all parts together
stay within the limit of one.
"""

from collections.abc import Iterable
from typing import Final

from masticstage.forwarding.rendezvous import choose_by_hash

#: Fraction of the permitted rate that the chosen instance uses. Two senders
#: together send at most 2 x (0.75 x rate + 1) requests in a second, which is
#: below the permitted 1.5 x rate + 3 for all rates from 0.
_RATE_SHARE: Final = 0.75


def chosen_sender(upstream: str, instances: Iterable[str]) -> str:
    """Returns the instance that may send to a cold upstream."""
    return choose_by_hash(upstream, instances)


def cold_interval_s(rate: float, live_share: float = 1) -> float:
    """Returns the least time between two requests to a cold upstream.

    `live_share` is the part of the region's known instances that are live.
    """
    return 1 / (_RATE_SHARE * rate * live_share)
