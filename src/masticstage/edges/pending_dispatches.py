"""Dispatches that wait for an answer, by upstream.

An overdue dispatch counts as a failure of its upstream, which is then checked.
When an upstream fails a check, the dispatches to it that may be retried at
another upstream are cancelled.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, final

import attrs
import trio

#: A dispatch is overdue after this time plus a multiple of the expected one.
_OVERDUE_BASE_S: Final = 0.3
_OVERDUE_FACTOR: Final = 2.0
#: Shortest time between two checks of an upstream for overdue dispatches.
_RECHECK_INTERVAL_S: Final = 1.0


@attrs.define(eq=False)
class _PendingDispatch:
    """A dispatch; `scope` is None if it must not be retried."""

    scope: trio.CancelScope | None
    overdue_at_s: float
    is_counted: bool = False


@final
@attrs.define
class PendingDispatches:
    """Dispatches without an answer, and when each becomes overdue.

    Times are on the monotonic clock, in seconds.
    """

    _pending: dict[str, list[_PendingDispatch]] = attrs.field(factory=dict)
    _checked_at_s: dict[str, float] = attrs.field(factory=dict)

    @contextmanager
    def track(
        self,
        upstream: str,
        scope: trio.CancelScope | None,
        now_s: float,
        expected_s: float,
    ) -> Iterator[None]:
        """Registers a dispatch until the context ends.

        `cancel` cancels the `scope`, which is None for a request that must not
        be retried.
        """
        pending = self._pending.setdefault(upstream, [])
        dispatch = _PendingDispatch(
            scope,
            now_s + _OVERDUE_BASE_S + _OVERDUE_FACTOR * expected_s,
        )
        pending.append(dispatch)
        try:
            yield
        finally:
            pending.remove(dispatch)

    def collect_newly_overdue(self, now_s: float) -> list[str]:
        """Returns the upstream of each dispatch that has become overdue.

        Each dispatch is returned only once.
        """
        upstreams = []
        for upstream, pending in self._pending.items():
            for dispatch in pending:
                if dispatch.overdue_at_s < now_s and not dispatch.is_counted:
                    dispatch.is_counted = True
                    upstreams.append(upstream)
        return upstreams

    def upstreams_to_check(self, now_s: float) -> list[str]:
        """Returns upstreams to check now because of overdue dispatches."""
        due = []
        for upstream, pending in self._pending.items():
            last_check_s = self._checked_at_s.get(upstream, 0)
            is_overdue = any(
                dispatch.overdue_at_s < now_s for dispatch in pending
            )
            if is_overdue and now_s - last_check_s > _RECHECK_INTERVAL_S:
                self._checked_at_s[upstream] = now_s
                due.append(upstream)
        return due

    def cancel(self, upstream: str) -> int:
        """Cancels the retryable dispatches to an upstream; returns how many."""
        scopes = [
            dispatch.scope
            for dispatch in self._pending.get(upstream, ())
            if dispatch.scope is not None
        ]
        for scope in scopes:
            scope.cancel()
        return len(scopes)
