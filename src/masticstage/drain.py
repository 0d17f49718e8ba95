"""Graceful shutdown: refuse new requests, finish open ones, then stop."""

from typing import final

import attrs
import trio


@final
@attrs.define
class Drain:
    """State of the shutdown of this instance.

    The first request starts the drain; a second one ends it at once.
    """

    _started: trio.Event = attrs.field(factory=trio.Event)
    _forced: trio.Event = attrs.field(factory=trio.Event)

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self._started.is_set()

    def request(self) -> None:
        """Starts the drain, or forces its end if it has started already."""
        if self._started.is_set():
            self._forced.set()
        self._started.set()

    async def wait_started(self) -> None:
        """Waits for the start of the drain."""
        await self._started.wait()

    async def wait_forced(self) -> None:
        """Waits until the drain is forced to end."""
        await self._forced.wait()
