"""Tests of the bounds on bytes that wait unread, over real sockets."""

import socket
from contextlib import closing, contextmanager

import pytest

from masticstage.edges.listening import listen
from masticstage.edges.receive_buffers import (
    LONG_LINK_BYTES,
    SMALL_BYTES,
    ReceiveBuffers,
)

_PIECE = bytes(65536)
_MB = 1_000_000


@contextmanager
def _connected(buffer_bytes):
    """Yields the accepted and the connecting end of a connection."""
    with closing(listen('127.0.0.1:0', buffer_bytes)) as listener:
        listener.setblocking(True)  # noqa: FBT003
        with socket.create_connection(listener.getsockname()) as caller:
            caller.setblocking(False)  # noqa: FBT003
            accepted, _ = listener.accept()
            with accepted:
                yield accepted, caller


def _fill(caller):
    try:
        while True:
            caller.send(_PIECE)
    except BlockingIOError:
        return


def _unread_bytes(accepted):
    accepted.setblocking(False)  # noqa: FBT003
    return len(accepted.recv(100 * _MB, socket.MSG_PEEK))


@pytest.mark.parametrize('buffer_bytes', [SMALL_BYTES, LONG_LINK_BYTES])
def test_few_bytes_wait_on_a_connection_that_is_not_read(buffer_bytes):
    """Guards against megabytes in the kernel for each connection."""
    with _connected(buffer_bytes) as (accepted, caller):
        _fill(caller)

        assert 0 < _unread_bytes(accepted) <= 2 * buffer_bytes


def test_a_connection_with_room_gets_a_large_buffer_until_it_ends():
    buffers = ReceiveBuffers(300_000)
    with _connected(SMALL_BYTES) as (accepted, caller):
        give_back = buffers.enlarge(accepted)
        _fill(caller)
        assert _unread_bytes(accepted) > 2 * SMALL_BYTES

        with _connected(SMALL_BYTES) as (other, other_caller):
            buffers.enlarge(other)
            _fill(other_caller)
            assert _unread_bytes(other) <= 2 * SMALL_BYTES

            give_back()
            size = other.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
            buffers.enlarge(other)
            assert size < other.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
