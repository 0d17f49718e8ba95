"""Receives what a caller sends, and notices when it disconnects."""

from collections.abc import Awaitable
from typing import Final, final

import attrs
import trio

from masticstage.edges.byte_stream import ByteStream
from masticstage.edges.memory_budget import Holding

#: Bytes of a caller after its request that are held before reading stops.
_MAX_HELD_BYTES: Final = 16384
#: Interval at which a caller is asked for its end while no more is read.
_END_POLL_S: Final = 0.1

DISCONNECT_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)


@final
@attrs.define(eq=False)
class CallerInput:
    """What a caller sends, received by a task of its own.

    That task notices a disconnect while a request is handled, also behind bytes
    that have not been taken.  It holds at most `_MAX_HELD_BYTES` of them, and
    one read more; beyond that it only asks whether the caller has disconnected.
    A read is small while a request is handled or many connections are open.
    """

    _stream: ByteStream
    _holding: Holding
    has_ended: bool = False
    _received: bytes = b''
    _handling: trio.CancelScope | None = None
    _arrived: trio.lowlevel.ParkingLot = attrs.field(
        factory=trio.lowlevel.ParkingLot
    )
    _taken: trio.lowlevel.ParkingLot = attrs.field(
        factory=trio.lowlevel.ParkingLot
    )

    @property
    def held_bytes(self) -> int:
        """Bytes that were received and not taken."""
        return len(self._received)

    async def receive_until_end(self) -> None:
        """Receives until the caller disconnects."""
        while not self.has_ended:
            if self.held_bytes < min(_MAX_HELD_BYTES, self._holding.read_bytes):
                await self._receive()
            else:
                await self._await_room()

    def end(self) -> None:
        """Records the disconnect, which cancels the handling of a request."""
        self.has_ended = True
        if self._handling is not None:
            self._handling.cancel()
        self._arrived.unpark()

    async def take(self) -> bytes:
        """Returns received bytes; empty at the end of the stream."""
        if not self._received and not self.has_ended:
            await self._arrived.park()
        received = self._received
        self._received = b''
        self._taken.unpark()
        return received

    async def await_handler(self, respond: Awaitable[None]) -> None:
        """Awaits the handling of a request until the caller disconnects."""
        with trio.CancelScope() as scope:
            self._handling = scope
            try:
                await respond
            finally:
                self._handling = None

    async def _receive(self) -> None:
        try:
            received = await self._stream.receive(self._read_bytes())
        except DISCONNECT_ERRORS:
            received = b''
        if received:
            self._received += received
            self._arrived.unpark()
        else:
            self.end()

    def _read_bytes(self) -> int:
        """Returns the size of a read: large ones take less time a byte."""
        largest = self._holding.read_bytes
        return (
            largest if self._handling is None else min(largest, _MAX_HELD_BYTES)
        )

    async def _await_room(self) -> None:
        """Waits until bytes are taken; asks for the end meanwhile."""
        with trio.move_on_after(_END_POLL_S):
            await self._taken.park()
        if self._stream.has_ended():
            self.end()
