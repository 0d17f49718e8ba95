"""Bounds on the bytes that the kernel holds for connections of an instance.

Bytes that have arrived and were not read count towards the memory of the
process.  Without a bound, the kernel lets them grow to megabytes a connection.
"""

import socket
from collections.abc import Callable
from typing import Final, final

import attrs

from masticstage.edges.callbacks import Callback, do_nothing

#: SO_RCVBUF of a connection, unless it is enlarged.
SMALL_BYTES: Final = 8192
#: The same on links with long round trips, for a request in one of them.
LONG_LINK_BYTES: Final = 16384
_LARGE_BYTES: Final = 131_072
#: The kernel doubles SO_RCVBUF for its overhead, and may fill that with bytes.
_MOST_FILLED: Final = 2
#: Share of an instance's memory that all enlarged buffers may take.
_SHARE: Final = 0.1
_MB: Final = 1_000_000

BufferEnlargement = Callable[[socket.socket], Callback]


def limit_receive_buffer(sock: socket.socket, size: int) -> None:
    """Sets the receive buffer, also of connections that a listener accepts."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


@final
@attrs.define(eq=False)
class ReceiveBuffers:
    """The room for large receive buffers, which the first connections get."""

    _room_bytes: int

    @classmethod
    def within(cls, memory_mb: float) -> 'ReceiveBuffers':
        """Returns the room of an instance with this memory."""
        return cls(int(memory_mb * _MB * _SHARE))

    def enlarge(self, sock: socket.socket) -> Callback:
        """Enlarges a connection's buffer if there is room.

        Returns what must be called once, when the connection has ended.
        """
        size = _LARGE_BYTES * _MOST_FILLED
        if self._room_bytes < size:
            return do_nothing
        limit_receive_buffer(sock, _LARGE_BYTES)
        self._room_bytes -= size

        def give_back() -> None:
            self._room_bytes += size

        return give_back


def keep_small(_: socket.socket) -> Callback:
    """Leaves a buffer as it is, where no room is kept for large ones."""
    return do_nothing
