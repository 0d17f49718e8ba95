"""How much longer work takes at an upstream at this moment than usual.

Upstreams that share their machines with other work report a ratio with their
answers: 1 is usual, 2.5 means that work takes two and a half times as long. The
ratio changes within a second, so a report loses its weight with its age, and it
is kept out of what is learnt about an upstream or a service.
"""

from math import exp, inf
from typing import Final

import attrs

#: Age at which a report has lost all but a share of 1/e of its weight, in
#: seconds: the ratio changes about that often.
_CHANGE_S: Final = 0.6
#: Bounds on a reported ratio. Greater ones would only exclude an upstream that
#: may be at its usual speed again, which suspicion does for failing ones.
_MIN_RATIO: Final = 0.5
_MAX_RATIO: Final = 10.0


@attrs.frozen
class Slowdown:
    """The last reported ratio, and when it arrived (s)."""

    ratio: float = 1
    reported_at_s: float = -inf

    def expected(self, now_s: float) -> float:
        """Returns the ratio to expect now; it approaches 1 with its age."""
        if self.ratio == 1:
            return 1
        weight = exp((self.reported_at_s - now_s) / _CHANGE_S)
        return 1 + weight * (self.ratio - 1)


def bound_slowdown(ratio: float, now_s: float) -> Slowdown:
    """Returns a report of now, with its ratio inside the bounds."""
    return Slowdown(min(max(ratio, _MIN_RATIO), _MAX_RATIO), now_s)
