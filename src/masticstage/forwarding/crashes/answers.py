"""Remembers which causes had complete answers, and when.

An answer proves that what it was given on does not crash upstreams.  Causes
with a second answer are kept apart, so that the contents of many requests, each
answered once, do not displace what prompts share.
"""

from collections import OrderedDict
from math import inf
from typing import Final, final

import attrs

from masticstage.forwarding.crashes.causes import Cause

#: Most causes of each kind: answered once, and more often.
_CAPACITY: Final = 4096
#: A cause whose requests were answered this short a time before a crash is not
#: blamed for it. Otherwise several crashes within a second would be blamed on
#: what all prompts share, before any of their answers is complete.
_TRUSTED_FOR_S: Final = 2.0


@final
@attrs.define
class AnsweredCauses:
    """When causes had a complete answer, the least recent first.

    Times are on the monotonic clock, in seconds.
    """

    _once: OrderedDict[Cause, float] = attrs.field(factory=OrderedDict)
    _repeated: OrderedDict[Cause, float] = attrs.field(factory=OrderedDict)

    def record(self, cause: Cause, now_s: float) -> None:
        """Records an answer that is complete now."""
        is_first = (
            self._once.pop(cause, None) is None
            and self._repeated.pop(cause, None) is None
        )
        kind = self._once if is_first else self._repeated
        kind[cause] = now_s
        if len(kind) > _CAPACITY:
            kind.popitem(last=False)

    def last_s(self, cause: Cause) -> float:
        """Returns when a cause was last answered, minus infinity if never."""
        repeated_s = self._repeated.get(cause)
        return self._once.get(cause, -inf) if repeated_s is None else repeated_s

    def is_recent(self, cause: Cause, crashed_at_s: float) -> bool:
        """Returns whether an answer was as late as a crash, or nearly so."""
        return self.last_s(cause) > crashed_at_s - _TRUSTED_FOR_S
