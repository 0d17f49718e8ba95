"""Graceful shutdown: refuse new work, finish what is open, then stop."""

from typing import final

import attrs
import trio


@final
@attrs.define
class Drain:
    """Whether this instance is shutting down, and how far it has come.

    The first signal starts the drain; the second one ends the wait.
    """

    _started: trio.Event = attrs.field(factory=trio.Event)
    _forced: trio.Event = attrs.field(factory=trio.Event)

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused."""
        return self._started.is_set()

    def request(self) -> None:
        """Starts the drain, or forces its end when it has started."""
        if self._started.is_set():
            self._forced.set()
        self._started.set()

    async def wait_started(self) -> None:
        """Waits for the first signal."""
        await self._started.wait()

    async def wait_forced(self) -> None:
        """Waits for the second signal."""
        await self._forced.wait()
