"""Tests of which connections a request may reuse."""

from datetime import timedelta

import trio

from masticstage.clock import ManualClock
from masticstage.edges.http_client import ConnectionPool, OutgoingRequest
from tests.edges.deployment import run_with_timeout

_REQUEST = OutgoingRequest(b'GET', b'/', ((b'host', b'upstream'),))
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1'


async def _answer(stream):
    while await stream.receive_some():
        await stream.send_all(_ANSWER)


async def _request(pool, address, max_idle_s):
    """Sends a request; returns whether its connection was reused."""
    connection = await pool.acquire(address, max_idle_s)
    await connection.send(_REQUEST, lambda *_: None)
    await connection.read_head()
    await connection.read_body()
    pool.release(connection)
    return connection.is_reused


@run_with_timeout
async def test_a_connection_too_old_for_one_request_is_kept_for_others():
    """Guards against new connections after each call that may run only once.

    Such a call must still get none that was idle for longer than its limit.
    """
    clock = ManualClock()
    pool = ConnectionPool(clock, 1, 1)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, _answer, 0)
        port = listeners[0].socket.getsockname()[1]
        address = f'127.0.0.1:{port}'
        await _request(pool, address, 60)
        clock.advance(timedelta(seconds=0.5))
        first = await pool.acquire(address, 0.25)
        first.close()
        assert not first.is_reused
        assert pool.opened == 2

        assert await _request(pool, address, 60)

        clock.advance(timedelta(seconds=1.5))
        assert not await _request(pool, address, 60)
        nursery.cancel_scope.cancel()
