"""How a team's limit is divided over regions, keepers and instances.

The bound is on any window: (rate x window + burst) x (1 + overage) + slack.
The margin is what it allows beyond rate and burst. Its parts add up to it:
half for buckets that are larger than the burst, a quarter for keepers that
replace others (each starts with half of that), 0.15 for instances that
reach no keeper, and the rest for requests that reach an upstream in another
window than that in which they were charged.
"""

from typing import Final

import attrs

_CAPACITY_PART: Final = 0.5
_INITIAL_PART: Final = 0.125
_ALONE_PART: Final = 0.15


@attrs.frozen
class QuotaBounds:
    """Window, in seconds, and excess of the bound on each team."""

    window_s: float = 8
    overage: float = 0.25
    slack: float = 0

    def margin(self, rate: float, burst: float) -> float:
        """Returns the tokens beyond rate and burst in a window."""
        return self.overage * (rate * self.window_s + burst) + self.slack


@attrs.frozen
class Share:
    """A part of a limit: tokens a second, and the most that are kept.

    `initial` is what an instance may lease out that has just replaced another
    keeper or stands in for one.
    """

    rate: float
    capacity: float
    initial: float


def share_of(
    rate: float, burst: float, bounds: QuotaBounds, fraction: float
) -> Share:
    """Returns the share of a region that owns a fraction of a limit."""
    margin = bounds.margin(rate, burst)
    return Share(
        fraction * rate,
        fraction * (burst + _CAPACITY_PART * margin),
        fraction * _INITIAL_PART * margin,
    )


def stand_in_share(share: Share, bounds: QuotaBounds) -> Share:
    """Returns what an instance leases out while it is not a settled keeper."""
    return Share(share.initial / bounds.window_s, share.initial, share.initial)


def alone_share(
    rate: float, burst: float, bounds: QuotaBounds, instances: int
) -> Share:
    """Returns what one of all instances may use without any keeper."""
    tokens = _ALONE_PART * bounds.margin(rate, burst) / instances / 2
    return Share(tokens / bounds.window_s, tokens, tokens)
