"""Tests of reading requests: limits, framing, disconnects."""

import socket
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

import pytest
import trio

from masticstage.clock import SystemClock
from masticstage.edges.byte_stream import ByteStream
from masticstage.edges.http_server import ServerConnection
from masticstage.edges.memory_budget import MemoryBudget
from masticstage.forwarding.routes import CallerLimits
from tests.edges.deployment import run_with_timeout

_LIMITS = CallerLimits(
    2048,
    1000,
    timedelta(milliseconds=200),
    timedelta(milliseconds=400),
)


class _Server:
    """Answers 200 and records the requests."""

    def __init__(self):
        self.requests = []
        self.was_cancelled = False

    async def respond(self, raw, reply):
        self.requests.append(raw)
        if raw.target == b'/slow':
            try:
                await trio.sleep_forever()
            except trio.Cancelled:
                self.was_cancelled = True
                raise
        await reply.send_complete(200, (), b'fine')


@asynccontextmanager
async def _serving(must_close=False, budget=None):
    server = _Server()

    async def handle_connection(stream):
        connection = ServerConnection(
            ByteStream.take_over(stream),
            SystemClock(),
            lambda: _LIMITS,
            lambda: must_close,
            (budget or MemoryBudget(100_000)).open(),
        )
        await connection.serve(server.respond)

    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, handle_connection, 0, host='127.0.0.1')
        listeners = await nursery.start(serve)
        address = listeners[0].socket.getsockname()
        yield server, await trio.open_tcp_stream(*address)
        nursery.cancel_scope.cancel()


async def _read(stream):
    received = b''
    while chunk := await stream.receive_some():
        received += chunk
    return received


def _assert_status(payload, status, handled=0):
    @run_with_timeout
    async def check():
        async with _serving() as (server, stream):
            await stream.send_all(payload)
            answer = await _read(stream)
            assert answer.startswith(b'HTTP/1.1 %d' % status)
            assert len(server.requests) == handled

    check()


_HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'


@pytest.mark.parametrize(
    'payload',
    [
        b'nonsense\r\n\r\n',
        _HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
        _HEAD + b'Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc',
        _HEAD + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
        _HEAD + b'X-A: 1\r\n folded\r\n\r\n',
        _HEAD + b'X-A: 1\r\n\tfolded\r\n\r\n',
        _HEAD + b'Content-Length: -3\r\n\r\n',
        b'GET / HTTP/1.1\r\n\r\n',
    ],
)
def test_ambiguous_framing_is_refused_and_the_connection_closed(payload):
    _assert_status(payload, 400)


def test_a_large_head_is_refused():
    _assert_status(_HEAD + b'X-A: ' + b'a' * 3000 + b'\r\n\r\n', 431)


@pytest.mark.parametrize(
    'payload',
    [
        _HEAD + b'Content-Length: 2000\r\n\r\n',
        _HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n7d0\r\n'
        + b'a' * 2000
        + b'\r\n0\r\n\r\n',
    ],
)
def test_a_large_body_is_refused(payload):
    _assert_status(payload, 413)


def test_a_slow_head_is_refused():
    _assert_status(_HEAD, 408)


def test_an_idle_connection_is_closed_without_an_answer():
    @run_with_timeout
    async def check():
        async with _serving() as (_, stream):
            assert await _read(stream) == b''

    check()


@run_with_timeout
async def test_a_connection_serves_several_requests():
    async with _serving() as (server, stream):
        for number in range(3):
            await stream.send_all(
                _HEAD + b'Content-Length: 1\r\n\r\n%d' % number
            )
            answer = await stream.receive_some()
            assert answer.endswith(b'fine')
        assert [raw.body for raw in server.requests] == [b'0', b'1', b'2']


@pytest.mark.parametrize(
    'fields',
    [
        b'\r\n',
        b'Content-Length: 1\r\n\r\nx',
        b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n',
    ],
    ids=['none', 'sized', 'chunked'],
)
def test_requests_that_arrive_together_are_answered_in_turn(fields):
    """Guards against bytes of the next request that a body takes or loses."""

    @run_with_timeout
    async def check():
        async with _serving() as (server, stream):
            await stream.send_all((_HEAD + fields) * 3)
            received = b''
            while received.count(b'fine') < 3:
                received += await stream.receive_some()
            assert len(server.requests) == 3

    check()


@run_with_timeout
async def test_a_body_that_does_not_fit_is_refused_as_not_run():
    """Guards against handling for which there is no memory."""
    budget = MemoryBudget(1000)
    async with _serving(budget=budget) as (server, stream):
        await stream.send_all(
            _HEAD + b'Content-Length: 900\r\n\r\n' + b'x' * 900
        )
        answer = await _read(stream)
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'Retry-After: 1' in answer
        assert not server.requests
    assert not budget.total_bytes


@run_with_timeout
async def test_pipelined_requests_are_answered_in_order():
    async with _serving() as (server, stream):
        one = _HEAD + b'Content-Length: 1\r\n\r\n'
        await stream.send_all(one + b'a' + one + b'b')
        received = b''
        while received.count(b'fine') < 2:
            received += await stream.receive_some()
        assert [raw.body for raw in server.requests] == [b'a', b'b']


@run_with_timeout
async def test_a_chunked_body_is_read_completely():
    async with _serving() as (server, stream):
        await stream.send_all(
            _HEAD + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
        )
        await stream.receive_some()
        assert server.requests[0].body == b'abc'


@run_with_timeout
async def test_an_expect_continue_header_is_answered():
    async with _serving() as (server, stream):
        head = _HEAD + b'Expect: 100-continue\r\nContent-Length: 3\r\n\r\n'
        await stream.send_all(head)
        assert (await stream.receive_some()).startswith(b'HTTP/1.1 100')
        await stream.send_all(b'abc')
        await stream.receive_some()
        assert server.requests[0].body == b'abc'


@pytest.mark.parametrize('how', ['close', 'reset'])
def test_a_disconnect_cancels_the_handling(how):
    @run_with_timeout
    async def check():
        async with _serving() as (server, stream):
            await stream.send_all(b'GET /slow HTTP/1.1\r\nHost: x\r\n\r\n')
            await trio.sleep(0.05)
            if how == 'reset':
                linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
                stream.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    linger,
                )
            stream.socket.close()
            await trio.sleep(0.1)
            assert server.was_cancelled

    check()


def test_a_connection_that_must_close_is_closed_after_the_answer():
    @run_with_timeout
    async def check():
        async with _serving(must_close=True) as (_, stream):
            await stream.send_all(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            answer = await _read(stream)
            assert b'connection: close' in answer.lower()

    check()
