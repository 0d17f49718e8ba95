"""Stand-in for a model engine.

It does continuous batching in a number of slots, admits requests by priority,
caches prompt prefixes, keeps answers for resumption, can cancel streams and
reports its load with a delay. The request and the id of the stream determine
the text of an answer, so that a check can verify that it is complete and
belongs to this request.
"""

import hashlib
import heapq
import json
import os
from collections import OrderedDict
from collections.abc import AsyncIterator
from http import HTTPStatus
from time import time
from typing import Any, Final, final

import attrs
import fire
import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.event_log import EventLog
from standins.serving import serve_app

#: The engine crashes on a request that contains this word.
CRASH_WORD: Final = 'CRASH-THE-ENGINE'
DEFAULT_TOKENS: Final = 20
_PREFILL_S_PER_BYTE: Final = 0.00001
#: Interval of load snapshots, thus the greatest age of a reported load.
_LOAD_INTERVAL_S: Final = 0.5
#: Time without a reader after which generation of a stream is cancelled.
_READER_TIMEOUT_S: Final = 15.0
#: Number of answers kept for resumption.
_MAX_STREAMS: Final = 5000


@attrs.define(eq=False)
class Stream:
    """One answer: its events so far and its readers.

    `latest_reader` is the number of the connection that gets the events; when a
    new reader arrives, the connections of earlier ones are ended.
    """

    stream_id: str
    digest: str
    tokens: int
    body_bytes: int
    prefix: str
    events: list[bytes] = attrs.field(factory=list)
    is_done: bool = False
    is_cancelled: bool = False
    latest_reader: int = 0
    active_readers: int = 0
    unread_since_s: float = 0
    changed: trio.Event = attrs.field(factory=trio.Event)

    def append(self, event: bytes) -> None:
        """Appends an event and wakes the reader."""
        self.events.append(event)
        self.wake()

    def wake(self) -> None:
        """Wakes all tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()


@attrs.define(order=True)
class _QueuedRequest:
    priority: int
    arrival: int
    admitted: trio.Event = attrs.field(factory=trio.Event, order=False)


@final
@attrs.define(eq=False)
class Engine:
    """State of the engine.

    `token_s` is the time per token; `cache` maps prompt prefixes to their
    lengths, least recently used first.
    """

    name: str
    slots: int
    token_s: float
    cache_bytes: int
    event_log: EventLog
    incarnation: int = attrs.field(factory=lambda: round(time() * 1000))
    streams: OrderedDict[str, Stream] = attrs.field(factory=OrderedDict)
    running: int = 0
    queue: list[_QueuedRequest] = attrs.field(factory=list)
    cache: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    load: dict[str, int] = attrs.field(factory=dict)
    arrivals: int = 0

    async def generate(self, stream: Stream, priority: int) -> None:
        """Generates the answer of a stream, token by token."""
        await self._admit(priority)
        try:
            await self._generate_admitted(stream)
        finally:
            self.running -= 1
            self._admit_next()

    def cache_prefix(self, prefix: str) -> int:
        """Caches a prefix; returns how many of its bytes were cached before."""
        cached = self.cache.pop(prefix, 0)
        self.cache[prefix] = len(prefix)
        while sum(self.cache.values()) > self.cache_bytes:
            self.cache.popitem(last=False)
        return cached

    def snapshot_load(self) -> None:
        """Updates the load to report until the next snapshot."""
        self.load = {
            'incarnation': self.incarnation,
            'reported_ms': round(time() * 1000),
            'queued': len(self.queue),
            'running': self.running,
        }

    async def _admit(self, priority: int) -> None:
        self.arrivals += 1
        queued_request = _QueuedRequest(priority, self.arrivals)
        heapq.heappush(self.queue, queued_request)
        self._admit_next()
        await queued_request.admitted.wait()

    def _admit_next(self) -> None:
        while self.queue and self.running < self.slots:
            self.running += 1
            heapq.heappop(self.queue).admitted.set()

    async def _generate_admitted(self, stream: Stream) -> None:
        cached = self.cache_prefix(stream.prefix)
        self.event_log.write(
            'started',
            stream=stream.stream_id,
            digest=stream.digest,
            cached_bytes=cached,
            body_bytes=stream.body_bytes,
        )
        uncached = max(stream.body_bytes - cached, 0)
        await trio.sleep(uncached * _PREFILL_S_PER_BYTE)
        for index in range(stream.tokens):
            await trio.sleep(self.token_s)
            if self._is_abandoned(stream):
                self.event_log.write('cancelled', stream=stream.stream_id)
                return
            stream.append(encode_token(stream, index))
        stream.is_done = True
        stream.append(f'id: {stream.tokens}\ndata: [DONE]\n\n'.encode())
        self.event_log.write(
            'finished',
            stream=stream.stream_id,
            tokens=stream.tokens,
        )

    def _is_abandoned(self, stream: Stream) -> bool:
        if stream.is_cancelled:
            return True
        if stream.active_readers:
            return False
        return trio.current_time() - stream.unread_since_s > _READER_TIMEOUT_S


def expected_text(digest: str, stream_id: str, tokens: int) -> str:
    """Returns the complete answer of a stream to a request."""
    return ''.join(
        _token_text(digest, stream_id, index) for index in range(tokens)
    )


def digest_request(body: bytes) -> str:
    """Returns the digest that determines the answer to a request."""
    return hashlib.sha256(body).hexdigest()


def encode_token(stream: Stream, index: int) -> bytes:
    """Returns the event of one token."""
    delta = {'content': _token_text(stream.digest, stream.stream_id, index)}
    chunk = {
        'id': stream.stream_id,
        'at_s': time(),
        'choices': [{'delta': delta}],
    }
    return f'id: {index}\ndata: {json.dumps(chunk)}\n\n'.encode()


def _token_text(digest: str, stream_id: str, index: int) -> str:
    return f'{digest[:8]}-{stream_id[-4:]}:{index} '


def create_app(engine: Engine, nursery: trio.Nursery) -> QuartTrio:
    """Returns the engine's web application."""
    app = QuartTrio('engine')
    app.config['RESPONSE_TIMEOUT'] = None
    app.config['MAX_CONTENT_LENGTH'] = None

    @app.post('/v1/chat/completions')
    async def start() -> Response:
        received: Any = await request.get_data()
        body = bytes(received)
        document = json.loads(body)
        if CRASH_WORD in str(document):
            engine.event_log.write('crashed', digest=digest_request(body))
            os._exit(1)
        stream = _new_stream(request.headers['X-Request-Id'], body, document)
        engine.streams[stream.stream_id] = stream
        while len(engine.streams) > _MAX_STREAMS:
            engine.streams.popitem(last=False)
        priority = int(request.headers.get('X-Priority', '0'))
        nursery.start_soon(engine.generate, stream, priority)
        return _stream_response(stream, 0)

    @app.get('/v1/streams/<stream_id>')
    async def resume(stream_id: str) -> Response:
        stream = engine.streams.get(stream_id)
        if stream is None or stream.is_cancelled:
            return Response('unknown stream', status=HTTPStatus.NOT_FOUND)
        engine.event_log.write('resumed', stream=stream_id)
        return _stream_response(stream, int(request.args['after']) + 1)

    @app.delete('/v1/streams/<stream_id>')
    async def cancel(stream_id: str) -> Response:
        stream = engine.streams.get(stream_id)
        if stream is not None and not stream.is_done:
            stream.is_cancelled = True
            stream.wake()
        return Response('', status=HTTPStatus.NO_CONTENT)

    @app.get('/load')
    async def load() -> Response:
        return Response(json.dumps(engine.load), mimetype='application/json')

    return app


def _new_stream(
    stream_id: str,
    body: bytes,
    document: dict[str, Any],
) -> Stream:
    first = document['messages'][0]
    return Stream(
        stream_id,
        digest_request(body),
        int(document.get('max_tokens', DEFAULT_TOKENS)),
        len(body),
        str(first.get('content', '')),
    )


def _stream_response(stream: Stream, position: int) -> Response:
    stream.latest_reader += 1
    stream.wake()
    response = Response(
        _read_events(stream, position, stream.latest_reader),
        content_type='text/event-stream',
    )
    response.timeout = None
    return response


async def _read_events(
    stream: Stream,
    position: int,
    reader: int,
) -> AsyncIterator[bytes]:
    stream.active_readers += 1
    try:
        while True:
            if stream.latest_reader != reader:
                yield b'event: superseded\ndata: {}\n\n'
                return
            if position < len(stream.events):
                block = b''.join(stream.events[position:])
                position = len(stream.events)
                yield block
            elif stream.is_done or stream.is_cancelled:
                return
            else:
                await stream.changed.wait()
    finally:
        stream.active_readers -= 1
        stream.unread_since_s = trio.current_time()


async def _report_load(engine: Engine) -> None:
    while True:
        engine.snapshot_load()
        await trio.sleep(_LOAD_INTERVAL_S)


def run(
    name: str,
    address: str,
    record: str,
    slots: int = 8,
    tokens_per_s: float = 50.0,
    cache_bytes: int = 4_000_000,
) -> None:
    """Runs an engine until it is killed."""
    engine = Engine(
        name,
        slots,
        1 / tokens_per_s,
        cache_bytes,
        EventLog(record),
    )

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_report_load, engine)
            await serve_app(create_app(engine, nursery), address)

    trio.run(serve)


if __name__ == '__main__':
    fire.Fire(run)
