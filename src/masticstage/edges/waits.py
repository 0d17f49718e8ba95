"""Dispatches that wait for an answer, by upstream.

A wait that has become long has its upstream checked.  When an upstream is
found dead, waits that may be repeated elsewhere end at once.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, final

import attrs
import trio

#: A wait is long after this time and a multiple of what was expected.
_LONG_S: Final = 0.3
_LONG_FACTOR: Final = 2.0
#: Pause between two checks of an upstream because of long waits.
_RECHECK_S: Final = 1.0


@final
@attrs.define
class WaitBook:
    """Scopes of idempotent dispatches, and when each becomes long."""

    _waits: dict[str, dict[trio.CancelScope, float]] = attrs.field(factory=dict)
    _checked_at_s: dict[str, float] = attrs.field(factory=dict)

    @contextmanager
    def waiting(
        self,
        upstream: str,
        scope: trio.CancelScope,
        now_s: float,
        expected_s: float,
    ) -> Iterator[None]:
        """Notes a wait for as long as it lasts."""
        waits = self._waits.setdefault(upstream, {})
        waits[scope] = now_s + _LONG_S + _LONG_FACTOR * expected_s
        try:
            yield
        finally:
            waits.pop(scope)

    def long_at(self, now_s: float) -> list[str]:
        """Returns upstreams that are to be checked because of long waits."""
        due = []
        for upstream, waits in self._waits.items():
            checked_s = self._checked_at_s.get(upstream, 0)
            is_long = any(long_s < now_s for long_s in waits.values())
            if is_long and now_s - checked_s > _RECHECK_S:
                self._checked_at_s[upstream] = now_s
                due.append(upstream)
        return due

    def abandon(self, upstream: str) -> int:
        """Ends all waits for an upstream; returns how many there were."""
        waits = self._waits.get(upstream, {})
        for scope in waits:
            scope.cancel()
        return len(waits)
