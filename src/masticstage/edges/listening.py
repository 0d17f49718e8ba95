"""Accepts connections on a listening socket, all that wait at once.

`trio.serve_listeners` accepts one in each pass of the event loop.  When passes
take long, connections wait until their callers have given up.
"""

import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Final

import trio

from masticstage.edges.byte_stream import ByteStream
from masticstage.edges.receive_buffers import (
    SMALL_BYTES,
    BufferEnlargement,
    keep_small,
    limit_receive_buffer,
)

#: Length of the listen backlog, beyond which the kernel drops SYN packets.
_BACKLOG: Final = 1024
#: Most connections that are accepted in one pass of the event loop.
_BATCH: Final = 64
#: Bytes that the kernel holds unsent for a caller that reads slowly.
_MAX_UNSENT_BYTES: Final = 16384
#: Pause after a failure, such as a lack of descriptors.
_PAUSE_S: Final = 0.1

ConnectionHandler = Callable[[ByteStream], Awaitable[None]]
FailureLog = Callable[[str], None]
Admission = Callable[[ByteStream], bool]


def listen(address: str, buffer_bytes: int = SMALL_BYTES) -> socket.socket:
    """Opens a listening socket on a numeric address (`host:port`).

    Its connections begin with a receive buffer of `buffer_bytes`.  Raises
    OSError if the address cannot be used.
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections take it over, also those that wait to be accepted.
        limit_receive_buffer(listener, buffer_bytes)
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)  # noqa: FBT003
    return listener


def _admit_all(_: ByteStream) -> bool:
    return True


async def serve_connections(
    listener: socket.socket,
    serve_connection: ConnectionHandler,
    log_failure: FailureLog,
    admit: Admission = _admit_all,
    enlarge_buffer: BufferEnlargement = keep_small,
) -> None:
    """Accepts connections and handles each in a task of its own.

    One that `admit` rejects is dropped; `admit` closes it. `enlarge_buffer`
    may give it a larger receive buffer than it began with.
    A failure, such as a lack of descriptors or an error of the network that
    waited on a connection, is logged, and accepting goes on after a pause.
    """

    async with trio.open_nursery() as nursery:

        def accept(connection: socket.socket) -> None:
            _configure(connection)
            stream = ByteStream(connection, enlarge_buffer(connection))
            if admit(stream):
                nursery.start_soon(serve_connection, stream)

        while True:
            await trio.lowlevel.wait_readable(listener)
            try:
                _accept_waiting(listener, accept)
            except OSError as error:
                log_failure(errno.errorcode.get(error.errno or 0, str(error)))
                await trio.sleep(_PAUSE_S)


def _accept_waiting(
    listener: socket.socket,
    accept: Callable[[socket.socket], None],
) -> None:
    """Accepts each connection that waits, up to the batch size."""
    for _ in range(_BATCH):
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        except ConnectionAbortedError:
            # Reset by the other side before it was accepted.
            continue
        accept(connection)


def _configure(connection: socket.socket) -> None:
    """Sets the options that `trio.SocketStream` sets."""
    connection.setblocking(False)  # noqa: FBT003
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _MAX_UNSENT_BYTES
    )
