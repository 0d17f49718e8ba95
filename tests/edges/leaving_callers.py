"""Callers and peers that end their connections, for tests.

They use blocking sockets, so that no task runs between two of their steps.
What they send and their end then wait in the socket of the instance together,
as they do if that is late.
"""

import socket
import struct

import trio

from masticstage.edges.dispatch import RELAY_PATH
from masticstage.edges.http_client import OutgoingRequest, encode_request
from masticstage.edges.messages import encode_relay
from masticstage.forwarding.routes import Route
from masticstage.forwarding.wire import DispatchOptions
from tests.forwarding_builders import SECOND, build_request, build_route

_RESET = struct.pack('ii', 1, 0)
_READ_BYTES = 65536


def call(request_id: str, path: bytes = b'/stock/1') -> bytes:
    """Returns the bytes of a caller's request."""
    return encode_request(OutgoingRequest(b'GET', path, _headers(request_id)))


def relay(
    request_id: str,
    upstream: str,
    route: Route | None = None,
    path: bytes = b'/stock/1',
) -> bytes:
    """Returns the bytes of a peer's relay of such a request."""
    route = route or build_route()
    message = encode_relay(
        build_request(headers=_headers(request_id), target=path),
        route.shares[0].service,
        (),
        route,
        DispatchOptions(upstream, 3 * SECOND, 0),
        is_compressed=False,
    )
    return encode_request(
        OutgoingRequest(
            b'POST',
            RELAY_PATH,
            ((b'host', b'peer'),),
            message.SerializeToString(),
        )
    )


def connect_at_once(address: str) -> socket.socket:
    """Connects without letting another task run."""
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)))


def leave(sock: socket.socket, how: str) -> None:
    """Ends a connection: `close` or `reset`."""
    if how == 'reset':
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()


async def read_answer(sock: socket.socket) -> bytes:
    """Reads an answer with a content length."""
    sock.setblocking(False)  # noqa: FBT003
    answer = b''
    while not _is_whole(answer):
        await trio.lowlevel.wait_readable(sock)
        answer += sock.recv(_READ_BYTES)
    sock.setblocking(True)  # noqa: FBT003
    return answer


def _is_whole(answer: bytes) -> bool:
    head, end, body = answer.partition(b'\r\n\r\n')
    lengths = [
        int(line.partition(b':')[2])
        for line in head.lower().split(b'\r\n')
        if line.startswith(b'content-length:')
    ]
    return bool(end) and len(body) >= lengths[0]


def _headers(request_id: str) -> tuple[tuple[bytes, bytes], ...]:
    return (
        (b'host', b'shop.example'),
        (b'x-request-id', request_id.encode()),
        (b'x-deadline-ms', b'3000'),
    )
