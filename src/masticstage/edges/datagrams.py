"""Datagrams between instances.

They may be lost, and nothing waits for them: a full buffer drops the datagram.
"""

import socket
from typing import Final, final

import attrs
import trio

#: Largest datagram that is sent. Larger messages go over a connection.
_MAX_BYTES: Final = 8192


@final
@attrs.define(eq=False)
class DatagramSocket:
    """A bound, non-blocking UDP socket."""

    _socket: socket.socket

    @classmethod
    def bind(cls, address: str) -> 'DatagramSocket':
        """Binds to a numeric address (`host:port`); may raise OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)  # noqa: FBT003
        try:
            sock.bind(_split(address))
        except OSError:
            sock.close()
            raise
        return cls(sock)

    def send(self, payload: bytes, address: str) -> bool:
        """Sends a datagram; returns False if it was not sent."""
        if len(payload) > _MAX_BYTES:
            return False
        try:
            self._socket.sendto(payload, _split(address))
        except OSError:
            return False
        return True

    async def receive(self) -> bytes:
        """Waits for a datagram and returns it."""
        received: bytes | None = None
        while received is None:
            await trio.lowlevel.wait_readable(self._socket)
            received = self._receive_now()
        return received

    def close(self) -> None:
        """Closes the socket."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    def _receive_now(self) -> bytes | None:
        try:
            return self._socket.recv(_MAX_BYTES)
        except OSError:
            # Nothing is there, or the other side rejected an earlier one.
            return None


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
