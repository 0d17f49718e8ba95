"""Reads one request of a caller after another, within limits."""

import re
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from typing import Final, final

import attrs
import h11
import trio

from masticstage.clock import Clock
from masticstage.edges.byte_stream import ByteStream
from masticstage.edges.caller_input import CallerInput
from masticstage.edges.memory_budget import Holding, Phase
from masticstage.edges.request_bodies import (
    BodyReader,
    ChunkedBody,
    SizedBody,
)
from masticstage.exceptions import MalformedBodyError
from masticstage.forwarding.requests import Headers
from masticstage.forwarding.routes import CallerLimits
from masticstage.forwarding.wire import RawRequest

#: Timeout of a body after its head; slow links carry 100 KB in less.
_BODY_TIMEOUT: Final = timedelta(seconds=10)
_FOLDED_LINE: Final = re.compile(rb'\n[ \t]')
_CONTENT_LENGTH_LINE: Final = re.compile(rb'(?im)^content-length[ \t]*:')
_TRANSFER_ENCODING_LINE: Final = re.compile(rb'(?im)^transfer-encoding[ \t]*:')
_END_OF_HEAD: Final = re.compile(rb'\r?\n\r?\n')
#: Copies of a body while its request is handled: the body, the request to an
#: upstream or the message to a peer, and that message encoded.
_COPIES: Final = 3
#: The same for a head that arrives: here and in the parser.
_HEAD_COPIES: Final = 2
#: Memory of one header field of a request, however short it is: its strings,
#: and the entries of lists that have it.
_FIELD_BYTES: Final = 512
#: What h11 is told in place of a chunked body that was read.
_LAST_CHUNK: Final = b'0\r\n\r\n'


class RefusedError(Exception):
    """A request that is answered with an error status and not handled."""

    def __init__(self, status: HTTPStatus) -> None:
        """Stores the status of the answer."""
        super().__init__(status)
        self.status = status


@final
@attrs.define(eq=False)
class RequestReader:
    """Reads the requests on one connection.

    Nothing behind a request is given to the parser before the request has been
    handled; it waits in `_unparsed`.
    """

    _http: h11.Connection
    _stream: ByteStream
    _input: CallerInput
    _clock: Clock
    _limits: Callable[[], CallerLimits]
    _holding: Holding
    _head: bytes = b''
    _unparsed: bytes = b''

    async def read(self) -> RawRequest | None:
        """Reads a request; None if the connection ended or was idle.

        Raises RefusedError if it is not to be handled.
        """
        limits = self._limits()
        self._holding.enter(Phase.IDLE)
        has_begun = False
        with trio.CancelScope() as scope:
            self._holding.on_eviction(scope.cancel)
            _expire_after(scope, limits.idle_timeout)
            if not self._unparsed and not await self._receive():
                return None
            has_begun = True
            arrived = self._clock.elapsed()
            self._holding.enter(Phase.READING)
            _expire_after(scope, limits.header_timeout)
            request = await self._read_head()
            if request is None:
                return None
            _expire_after(scope, _BODY_TIMEOUT)
            limit = limits.body_bytes
            reader = self._body_reader(request, limit)
            self._holding.on_eviction(partial(self._drop, reader, scope))
            body = await self._read_body(reader, limit)
            headers = tuple(request.headers)
            self._take_room(body, headers)
            return RawRequest(
                request.method, request.target, headers, body, arrived
            )
        if self._holding.is_evicted:
            raise RefusedError(HTTPStatus.SERVICE_UNAVAILABLE)
        if has_begun:
            raise RefusedError(HTTPStatus.REQUEST_TIMEOUT)
        return None

    async def _read_head(self) -> h11.Request | None:
        self._head = b''
        while True:
            self._feed_head()
            event = self._next_event()
            if isinstance(event, h11.Request):
                self._check_framing()
                self._head = b''
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if not await self._receive():
                return None

    def _feed_head(self) -> None:
        """Gives the parser what was received, up to the end of the head."""
        before = len(self._head)
        received = self._head + self._unparsed
        end = _END_OF_HEAD.search(received, max(0, before - 3))
        split = end.end() if end else len(received)
        self._head = received[:split]
        self._unparsed = received[split:]
        self._http.receive_data(self._head[before:])
        self._holding.hold(len(self._head) * _HEAD_COPIES)

    async def _read_body(self, reader: BodyReader, limit: int) -> bytes:
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100,
                headers=[],
            )
            await self._stream.send(self._http.send(continue_response) or b'')
        while not self._feed_body(reader, limit):
            if not await self._receive():
                raise trio.BrokenResourceError
        return self._finish(reader)

    def _body_reader(self, request: h11.Request, limit: int) -> BodyReader:
        """Returns the reader of a body; refuses one that is too large."""
        for name, text in request.headers:
            if name == b'transfer-encoding':
                return ChunkedBody()
            if name == b'content-length':
                if int(text) > limit:
                    raise RefusedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                return SizedBody(self._http, int(text))
        return SizedBody(self._http, 0)

    def _feed_body(self, reader: BodyReader, limit: int) -> bool:
        """Takes what was received; returns whether the body is complete."""
        received = self._unparsed
        self._unparsed = b''
        try:
            self._unparsed = reader.feed(received)
        except MalformedBodyError as error:
            raise RefusedError(HTTPStatus.BAD_REQUEST) from error
        if len(reader.body) > limit:
            raise RefusedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self._holding.hold(len(reader.body))
        return reader.is_complete

    def _finish(self, reader: BodyReader) -> bytes:
        """Returns a complete body."""
        body = reader.body.take()
        if isinstance(reader, ChunkedBody):
            self._http.receive_data(_LAST_CHUNK)
            self._next_event()
        return body

    def _take_room(self, body: bytes, headers: Headers) -> None:
        """Holds what a request takes while it is handled, if there is room."""
        size = len(body) * _COPIES + len(headers) * _FIELD_BYTES
        if self._holding.is_evicted or not self._holding.take(size):
            raise RefusedError(HTTPStatus.SERVICE_UNAVAILABLE)

    def _drop(self, reader: BodyReader, scope: trio.CancelScope) -> None:
        """Frees the bytes of a request that is refused."""
        reader.body.clear()
        self._unparsed = b''
        scope.cancel()

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise RefusedError(HTTPStatus(error.error_status_hint)) from error

    async def _receive(self) -> bool:
        """Receives more bytes; False at the end of the stream."""
        self._unparsed = await self._input.take()
        if not self._unparsed:
            self._http.receive_data(b'')
        return bool(self._unparsed)

    def _check_framing(self) -> None:
        """Refuses heads whose framing two parsers could read differently."""
        if len(self._head) > self._limits().header_bytes:
            # h11 limits only heads that arrive in several reads.
            raise RefusedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        content_lengths = len(_CONTENT_LENGTH_LINE.findall(self._head))
        transfer_encodings = len(_TRANSFER_ENCODING_LINE.findall(self._head))
        if (
            _FOLDED_LINE.search(self._head)
            or content_lengths + transfer_encodings > 1
        ):
            raise RefusedError(HTTPStatus.BAD_REQUEST)


def _expire_after(scope: trio.CancelScope, timeout: timedelta) -> None:
    scope.deadline = trio.current_time() + timeout.total_seconds()
