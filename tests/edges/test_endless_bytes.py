"""Tests of servers that send bytes without end, over real sockets."""

import tracemalloc
from contextlib import suppress

import attrs
import pytest
import trio

from masticstage.edges.gossip import post_message
from masticstage.edges.health_checks import _request_health
from masticstage.edges.http_client import OutgoingRequest
from masticstage.edges.records import watch_records
from masticstage.exceptions import (
    AnswerTooLargeError,
    BrokenConnectionError,
)
from masticstage.forwarding.record_cache import RecordUpdates
from tests.edges.deployment import (
    deploy_entry,
    deploy_two_regions,
    run_with_timeout,
)
from tests.edges.endless_servers import endless_server, move_upstreams

#: Memory beyond the answers' bounds, as docs/OPERATIONS.md names them: 4 MB of
#: a body, which is held in parts and as a whole.
_MAX_PEAK_BYTES = 4 * (2 * 4_194_304) + 8_000_000
_AT_ONCE = 4

_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n'
_STREAM = _CHUNKED + (
    b'X-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n'
)
_ENDLESS = {
    'no answer': (b'', b'x'),
    'header': (_HEAD + b'X-Long: ', b'x'),
    'headers': (_HEAD, b'X-Short: 1\r\n'),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'body': (_HEAD + b'\r\n', b'x'),
    'length': (_HEAD + b'Content-Length: 99999999999\r\n\r\n', b'x'),
    'extension': (_CHUNKED + b'\r\n1;', b'x'),
    'trailers': (_CHUNKED + b'\r\n0\r\n', b'X-Short: 1\r\n'),
    'event': (_STREAM + b'fffffff0\r\n', b'x'),
}
_PROMPT = (
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('shape', _ENDLESS)
def test_endless_bytes_of_an_upstream_end_one_request_only(shape, is_relayed):
    """Guards against a faulty upstream that exhausts an instance's memory.

    Four endless answers at once; another request is answered meanwhile.
    """
    statuses = []

    async def ask(deployment):
        status, _, _, is_complete = await deployment.request_partial(
            b'/ask/1', b'question', *_PROMPT
        )
        statuses.append(status if is_complete else 'incomplete')

    async def check_with(deployment, gateways):
        async with endless_server(*_ENDLESS[shape]) as address:
            for gateway in gateways:
                move_upstreams(gateway, 'model', address)
            async with trio.open_nursery() as callers:
                for _ in range(_AT_ONCE):
                    callers.start_soon(ask, deployment)
                await trio.sleep(0.1)
                sound, _, _ = await deployment.request(b'/stock/1')
            assert sound == 200

    @run_with_timeout
    async def check():
        if is_relayed:
            async with deploy_two_regions() as (deployment, far):
                await check_with(deployment, (deployment.gateway, far))
        else:
            async with deploy_entry() as deployment:
                await check_with(deployment, (deployment.gateway,))

    tracemalloc.start()
    try:
        check()
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert statuses
    assert not set(statuses) & {200, 408, 421, 429}
    assert peak_bytes < _MAX_PEAK_BYTES


@pytest.mark.parametrize('shape', _ENDLESS)
def test_an_endless_answer_to_a_health_check_fails_it(shape):
    """Guards against health checks that read without a bound."""

    @run_with_timeout
    async def check():
        async with (
            deploy_entry() as deployment,
            endless_server(*_ENDLESS[shape]) as address,
        ):
            gateway = deployment.gateway
            move_upstreams(gateway, 'shop', address)
            upstream = gateway.views.fleet.find('shop-1')
            with suppress(BrokenConnectionError), trio.fail_after(2):
                await _request_health(gateway, upstream)

    check()


@pytest.mark.parametrize('shape', _ENDLESS)
def test_an_endless_answer_to_gossip_is_dropped(shape):
    """Guards against answers of peers that are read without a bound."""

    @run_with_timeout
    async def check():
        async with (
            deploy_entry() as deployment,
            endless_server(*_ENDLESS[shape]) as address,
        ):
            gateway = deployment.gateway
            body = await post_message(gateway, address, b'/exchange', b'', 2)
            assert body is None
            assert not gateway.connections.gossip._held.total_bytes

    check()


@run_with_timeout
async def test_a_caller_that_does_not_read_stops_the_reading_of_its_stream():
    """Guards against events that are held for a slow caller without a bound."""
    event = b'data: ' + b'x' * 500 + b'\n\n'
    chunk = b'%x\r\n%b\r\n' % (len(event), event)
    sent = []

    async def respond(stream):
        with suppress(trio.BrokenResourceError):
            await stream.receive_some()
            await stream.send_all(_STREAM)
            while True:
                await stream.send_all(chunk * 100)
                sent.append(len(chunk) * 100)

    async with deploy_entry() as deployment, trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, respond, 0)
        port = listeners[0].socket.getsockname()[1]
        move_upstreams(deployment.gateway, 'model', f'127.0.0.1:{port}')
        connection = await deployment.open()
        headers = (
            (b'host', b'shop.example'),
            (b'x-request-id', b'r-1'),
            *_PROMPT,
        )
        await connection.send(
            OutgoingRequest(b'POST', b'/ask/1', headers, b'question'),
            deployment.gateway.spawn,
        )
        await trio.sleep(1)
        first = sum(sent)
        await trio.sleep(1)
        assert first
        assert sum(sent) == first
        connection.close()
        nursery.cancel_scope.cancel()


@attrs.define
class _StoreWithTooManyChanges:
    """A store whose watches answer with more than is read."""

    calls: list[str] = attrs.field(factory=list)

    async def read_all(self):
        self.calls.append('read_all')
        return RecordUpdates((), 1, is_snapshot=True)

    async def watch(self, after, wait_s):
        self.calls.append('watch')
        raise AnswerTooLargeError('answer without end')


@run_with_timeout
async def test_changes_that_are_too_many_are_read_page_by_page():
    """Guards against a watch that fails for ever on the same changes."""
    store = _StoreWithTooManyChanges()
    async with deploy_entry() as deployment:
        connections = attrs.evolve(deployment.gateway.connections, store=store)
        gateway = attrs.evolve(deployment.gateway, connections=connections)
        with trio.move_on_after(1):
            await watch_records(gateway)

    assert store.calls[:4] == ['read_all', 'watch', 'read_all', 'watch']
    # Each instance makes at most one call in 0.4 s besides the reads.
    assert len(store.calls) <= 8
