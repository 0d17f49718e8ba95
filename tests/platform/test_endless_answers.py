"""Tests of answers of the store that never end, over real sockets."""

from contextlib import asynccontextmanager, suppress

import httpx
import pytest
import trio

from masticstage.exceptions import PlatformUnavailableError
from masticstage.platform.store import StoreClient
from tests.edges.deployment import run_with_timeout

#: What the buffers of sockets may hold besides what the client accepts.
_BUFFERS_BYTES = 16_000_000
_LARGEST_ANSWER_BYTES = 8_388_608


class _EndlessStore:
    """Sends a start, then the same bytes again until the client closes."""

    def __init__(self, start, endless):
        self._start = start
        self._endless = endless * (65_536 // len(endless))
        self.sent_bytes = 0

    async def respond(self, stream):
        await stream.receive_some()
        with suppress(trio.BrokenResourceError):
            await stream.send_all(self._start)
            while True:
                await stream.send_all(self._endless)
                self.sent_bytes += len(self._endless)


@asynccontextmanager
async def _serving(store):
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, store.respond, 0)
        port = listeners[0].socket.getsockname()[1]
        yield StoreClient(f'127.0.0.1:{port}')
        nursery.cancel_scope.cancel()


_HEAD = b'HTTP/1.1 200 OK\r\n'


@pytest.mark.parametrize('call', ['read_all', 'watch', 'read_changes'])
@pytest.mark.parametrize(
    ('start', 'endless'),
    [
        (_HEAD + b'Content-Length: 99999999999\r\n\r\n', b'x'),
        (_HEAD + b'\r\n{"items": [', b'{"Key": "a"},'),
        (_HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n'),
        (_HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;', b'x'),
        (_HEAD + b'X-Long: ', b'x'),
        (_HEAD, b'X-Short: 1\r\n'),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        (b'', b'x'),
    ],
    ids=[
        'length',
        'to the end',
        'chunks',
        'extension',
        'header',
        'headers',
        'interim',
        'no answer',
    ],
)
def test_an_endless_answer_of_the_store_is_cut(call, start, endless):
    """Guards against a process that runs out of memory by one answer."""
    store = _EndlessStore(start, endless)
    arguments = {'read_all': (), 'watch': (1, 0.5), 'read_changes': (1,)}

    @run_with_timeout
    async def check():
        async with _serving(store) as client:
            with pytest.raises(PlatformUnavailableError):
                await getattr(client, call)(*arguments[call])

    check()
    if start or endless == b'x':
        assert store.sent_bytes <= _LARGEST_ANSWER_BYTES + _BUFFERS_BYTES


@run_with_timeout
async def test_a_body_that_would_grow_when_decompressed_is_not_decompressed():
    """Guards against a small answer that decompresses to a large one."""
    client = StoreClient(
        '10.0.0.1:1',
        httpx.MockTransport(
            lambda _: httpx.Response(
                200,
                headers={'content-encoding': 'gzip'},
                stream=httpx.ByteStream(b'\x1f\x8b'),
            )
        ),
    )
    with pytest.raises(PlatformUnavailableError, match='encoded'):
        await client.watch(1, 0)


@run_with_timeout
async def test_pages_that_begin_again_are_refused():
    """Guards against a range whose pages never end."""
    page = {
        'items': [{'Key': 'a', 'Value': 'MQ==', 'Revision': 1}],
        'CurrentRev': 1,
        'MorePages': True,
    }
    client = StoreClient(
        '10.0.0.1:1',
        httpx.MockTransport(lambda _: httpx.Response(200, json=page)),
    )
    with pytest.raises(PlatformUnavailableError):
        await client.read_all()


@run_with_timeout
async def test_a_page_of_the_largest_values_is_read():
    largest = 'MTIz' * (1_048_576 // 3)
    page = {
        'items': [
            {'Key': 'a', 'Value': largest, 'Revision': 1},
            {'Key': 'b', 'Value': largest, 'Revision': 2},
        ],
        'CurrentRev': 2,
    }
    client = StoreClient(
        '10.0.0.1:1',
        httpx.MockTransport(lambda _: httpx.Response(200, json=page)),
    )
    updates = await client.read_all()
    assert len(updates.events) == 2
