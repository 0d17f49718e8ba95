"""Tests of sending requests, over real sockets and without."""

import socket
from contextlib import asynccontextmanager, suppress

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from masticstage.clock import SystemClock
from masticstage.edges.byte_stream import ByteStream
from masticstage.edges.http_client import (
    ConnectionPool,
    OutgoingRequest,
    encode_request,
)
from masticstage.exceptions import BrokenConnectionError, InvalidRequestError
from tests.edges.deployment import run_with_timeout

_REQUEST = OutgoingRequest(b'GET', b'/', ((b'host', b'upstream'),))
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'


def _spawn_nothing(*_):
    raise AssertionError('short requests are written at once')


async def _request(pool, address):
    connection = await pool.acquire(address, 60)
    await connection.send(_REQUEST, _spawn_nothing)
    await connection.read_head()
    body = await connection.read_body()
    pool.release(connection)
    return body


@asynccontextmanager
async def _serving(respond):
    """Serves connections on loopback; yields the address."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, respond, 0)
        port = listeners[0].socket.getsockname()[1]
        yield f'127.0.0.1:{port}'
        nursery.cancel_scope.cancel()


async def _answer_without_end(stream):
    await stream.receive_some()
    with suppress(trio.BrokenResourceError):
        await stream.send_all(b'HTTP/1.1 200 OK\r\n\r\n')
        while True:
            await stream.send_all(bytes(10_000))


def _pool():
    return ConnectionPool(SystemClock(), 1, 60)


async def _answer_twice(stream):
    await stream.receive_some()
    await stream.send_all(_ANSWER + b'1')
    await trio.sleep(0.05)
    await stream.send_all(_ANSWER + b'1')
    await trio.sleep(0.05)
    await stream.send_all(_ANSWER + b'2')
    await trio.sleep_forever()


async def _answer_once(stream):
    await stream.receive_some()
    await stream.send_all(_ANSWER + b'2')
    await trio.sleep_forever()


def test_a_second_copy_of_an_answer_never_reaches_the_next_request():
    """The copy arrives late, on the connection that was kept."""
    servers = [_answer_twice, _answer_once]

    async def serve_next(stream):
        # The client closes the first connection while a copy is written.
        with suppress(trio.BrokenResourceError):
            await servers.pop(0)(stream)

    @run_with_timeout
    async def check():
        pool = _pool()
        async with _serving(serve_next) as address:
            assert await _request(pool, address) == b'1'
            await trio.sleep(0.1)
            assert await _request(pool, address) == b'2'

    check()


def test_a_body_without_end_is_refused(monkeypatch):
    monkeypatch.setattr(
        'masticstage.edges.http_client._MAX_BODY_BYTES', 100_000
    )

    @run_with_timeout
    async def check():
        async with _serving(_answer_without_end) as address:
            with pytest.raises(BrokenConnectionError):
                await _request(_pool(), address)

    check()


def test_endless_bodies_are_bounded_in_sum(monkeypatch):
    """A hundred upstreams send bodies that never end at the same time."""
    monkeypatch.setattr(
        'masticstage.edges.http_client._MAX_HELD_BYTES', 999_000
    )
    largest = []

    @run_with_timeout
    async def check():
        pool = _pool()

        async def fail(address):
            with pytest.raises(BrokenConnectionError):
                await _request(pool, address)
            largest.append(pool._held.total_bytes)

        async with _serving(_answer_without_end) as address:
            async with trio.open_nursery() as requests:
                for _ in range(100):
                    requests.start_soon(fail, address)
            assert not pool._held.total_bytes

    check()
    assert max(largest) < 999_000 + 65_536 * 2


@given(
    name=st.binary(min_size=1, max_size=8),
    field=st.binary(max_size=8),
    target=st.binary(min_size=1, max_size=8),
)
def test_no_part_of_a_request_adds_a_line(name, field, target):
    request = OutgoingRequest(b'GET', target, ((name, field),), b'body')
    try:
        encoded = encode_request(request)
    except InvalidRequestError:
        return
    head, _, body = encoded.partition(b'\r\n\r\n')
    assert body == b'body'
    assert head.split(b'\r\n') == [
        b'GET %b HTTP/1.1' % target,
        b'%b: %b' % (name, field),
        b'content-length: 4',
    ]
    assert head.count(b'\n') == 2


def test_a_caller_that_never_reads_ends_the_write(monkeypatch):
    monkeypatch.setattr('masticstage.edges.byte_stream._STALLED_WRITE_S', 0.1)

    @run_with_timeout
    async def check():
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            with pytest.raises(trio.BrokenResourceError):
                await ByteStream(near).send(bytes(10_000_000))

    check()


def test_a_slow_caller_that_reads_gets_everything(monkeypatch):
    monkeypatch.setattr('masticstage.edges.byte_stream._STALLED_WRITE_S', 0.2)
    size = 2_000_000

    async def read_slowly(far, sizes):
        while sum(sizes) < size:
            await trio.sleep(0.02)
            await trio.lowlevel.wait_readable(far)
            sizes.append(len(far.recv(100_000)))

    @run_with_timeout
    async def check():
        near, far = socket.socketpair()
        sizes = []
        with near, far:
            near.setblocking(False)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_slowly, far, sizes)
                await ByteStream(near).send(bytes(size))
        assert sum(sizes) == size

    check()


def _receive_until_end(sock):
    sock.settimeout(1)
    received = b''
    with suppress(ConnectionResetError):
        while chunk := sock.recv(65536):
            received += chunk
    return received


@run_with_timeout
async def test_a_request_that_waits_to_be_sent_is_discarded_when_given_up():
    """Guards against work for callers that left before it was sent whole."""
    body = bytes(14_000)
    with socket.socket() as listener:
        # The window of the server is far smaller than the request.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        connection = await _pool().acquire(f'127.0.0.1:{port}', 60)
        server, _ = listener.accept()
        request = OutgoingRequest(b'POST', b'/', (), body)
        await connection.send(request, _spawn_nothing)
        connection.close()

        with server:
            received = await trio.to_thread.run_sync(_receive_until_end, server)

    assert len(received) < len(body)
