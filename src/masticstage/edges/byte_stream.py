"""Bytes over a connected TCP socket, with few system calls.

Unlike `trio.SocketStream`, a read waits for input before it tries to receive,
and a write that the kernel accepts at once does not yield to other tasks.  For
small messages both save a system call and a pass of the scheduler.
"""

import select
import socket
import struct
from typing import Final, final

import attrs
import trio

from masticstage.edges.callbacks import Callback, do_nothing

#: Largest number of bytes that one read returns, if no less is asked for.
READ_BYTES: Final = 65536
#: Time without a byte taken after which a write fails, in seconds. Callers give
#: up earlier; the kernel does not notice a peer that lives but never reads.
_STALLED_WRITE_S: Final = 20
#: Value of SO_LINGER that makes closing reset the connection.
_NO_LINGER: Final = struct.pack('ii', 1, 0)


@final
@attrs.define(eq=False)
class ByteStream:
    """A connected, non-blocking TCP socket.

    Its methods raise trio.BrokenResourceError when the connection has failed
    and trio.ClosedResourceError after `close`.  `on_close` is called once.
    """

    _socket: socket.socket
    _on_close: Callback = do_nothing

    @classmethod
    def take_over(
        cls,
        stream: trio.SocketStream,
        on_close: Callback = do_nothing,
    ) -> 'ByteStream':
        """Returns a stream over the socket of another one, now unusable."""
        sock = stream.socket
        plain = socket.socket(
            sock.family,
            sock.type,
            sock.proto,
            fileno=sock.detach(),
        )
        plain.setblocking(False)  # noqa: FBT003
        return cls(plain, on_close)

    async def receive(self, most: int = READ_BYTES) -> bytes:
        """Waits for at most `most` bytes; returns none at the end."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                return self._socket.recv(most)
            except BlockingIOError:
                # Woken up although nothing has arrived.
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def send(
        self, payload: bytes, on_part: Callback = do_nothing
    ) -> None:
        """Writes all bytes; waits only while the socket buffer is full.

        `on_part` is called whenever the other side has taken some.  Raises
        trio.BrokenResourceError if it takes none for long.
        """
        # A view, since each part that is taken would copy the rest.
        rest = memoryview(payload)
        if payload:
            sent = self._send_part(rest)
            rest = rest[sent:]
        while rest:
            with trio.move_on_after(_STALLED_WRITE_S) as scope:
                await trio.lowlevel.wait_writable(self._socket)
            if scope.cancelled_caught:
                raise trio.BrokenResourceError('the other side does not read')
            on_part()
            sent = self._send_part(rest)
            rest = rest[sent:]

    def send_now(self, payload: bytes) -> bytes:
        """Writes what the socket buffer takes; returns the rest."""
        sent = self._send_part(payload)
        return payload[sent:] if sent else payload

    def send_eof(self) -> None:
        """Ends the outgoing direction."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def has_input(self) -> bool:
        """Returns whether bytes, the end of the stream or an error arrived."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def has_ended(self) -> bool:
        """Returns whether the other side has ended or reset the connection.

        Also if bytes that have not been received lie before the end.
        """
        if self._socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self._socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Closes the socket at once; waiting tasks get an exception."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
            self._on_close()

    def reset(self) -> None:
        """Closes the socket and discards what has not been sent yet."""
        if self._socket.fileno() >= 0:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
        self.close()

    def _send_part(self, payload: bytes | memoryview) -> int:
        """Writes what the socket buffer takes; returns how much."""
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError('the connection was closed')
        try:
            return self._socket.send(payload)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error
