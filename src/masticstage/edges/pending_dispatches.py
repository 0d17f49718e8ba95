"""Dispatches that wait for an answer, by upstream.

A wait that has become long counts against its upstream, which is checked.
When an upstream is found dead, waits that may be repeated elsewhere end at
once.
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


@attrs.define(eq=False)
class _Wait:
    """One wait; `scope` ends it where it may be repeated elsewhere."""

    scope: trio.CancelScope | None
    long_s: float
    is_counted: bool = False


@final
@attrs.define
class PendingDispatches:
    """Waits for answers, and when each becomes long."""

    _waits: dict[str, list[_Wait]] = attrs.field(factory=dict)
    _checked_at_s: dict[str, float] = attrs.field(factory=dict)

    @contextmanager
    def waiting(
        self,
        upstream: str,
        scope: trio.CancelScope | None,
        now_s: float,
        expected_s: float,
    ) -> Iterator[None]:
        """Notes a wait for as long as it lasts."""
        waits = self._waits.setdefault(upstream, [])
        wait = _Wait(scope, now_s + _LONG_S + _LONG_FACTOR * expected_s)
        waits.append(wait)
        try:
            yield
        finally:
            waits.remove(wait)

    def count_long(self, now_s: float) -> list[str]:
        """Returns the upstream of each wait that has become long, once."""
        late = []
        for upstream, waits in self._waits.items():
            for wait in waits:
                if wait.long_s < now_s and not wait.is_counted:
                    wait.is_counted = True
                    late.append(upstream)
        return late

    def long_at(self, now_s: float) -> list[str]:
        """Returns upstreams that are to be checked because of long waits."""
        due = []
        for upstream, waits in self._waits.items():
            checked_s = self._checked_at_s.get(upstream, 0)
            is_long = any(wait.long_s < now_s for wait in waits)
            if is_long and now_s - checked_s > _RECHECK_S:
                self._checked_at_s[upstream] = now_s
                due.append(upstream)
        return due

    def abandon(self, upstream: str) -> int:
        """Ends waits for an upstream; returns how many there were."""
        scopes = [
            wait.scope
            for wait in self._waits.get(upstream, ())
            if wait.scope is not None
        ]
        for scope in scopes:
            scope.cancel()
        return len(scopes)
