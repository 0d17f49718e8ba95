"""HTTP/1.1 server connections over h11, with limits on requests.

A request is read completely before it is handled.  A request with ambiguous
framing is refused and its connection closed, against request smuggling.  When
a caller disconnects, the handling of its request is cancelled.
"""

import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Final, final

import attrs
import h11
import trio

from masticstage.clock import Clock
from masticstage.edges.byte_stream import ByteStream
from masticstage.forwarding.requests import Headers
from masticstage.forwarding.routes import CallerLimits
from masticstage.forwarding.wire import RawRequest

#: Timeout of a body after its head; slow links carry 100 KB in less.
_BODY_TIMEOUT: Final = timedelta(seconds=10)
#: Longest time for which the rest of a refused request is read and discarded.
_LINGER_TIMEOUT_S: Final = 0.5
#: Bytes of a caller after its request that are held before reading stops.
_MAX_HELD_BYTES: Final = 65536
#: Interval at which a caller is asked for its end while no more is read.
_END_POLL_S: Final = 0.1
_FOLDED_LINE: Final = re.compile(rb'\n[ \t]')
_CONTENT_LENGTH_LINE: Final = re.compile(rb'(?im)^content-length[ \t]*:')
_TRANSFER_ENCODING_LINE: Final = re.compile(rb'(?im)^transfer-encoding[ \t]*:')
_END_OF_HEAD: Final = re.compile(rb'\r?\n\r?\n')

_DISCONNECT_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)


class _RefusedError(Exception):
    """A request that is answered with an error status and not handled."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status)
        self.status = status


@final
@attrs.define(eq=False)
class _CallerInput:
    """What a caller sends, received by a task of its own.

    That task notices a disconnect while a request is handled, also behind bytes
    that have not been taken.  It holds at most `_MAX_HELD_BYTES` of them, and
    one read more; beyond that it only asks whether the caller has disconnected.
    """

    _stream: ByteStream
    has_ended: bool = False
    _received: bytes = b''
    _handling: trio.CancelScope | None = None
    _arrived: trio.lowlevel.ParkingLot = attrs.field(
        factory=trio.lowlevel.ParkingLot
    )
    _taken: trio.lowlevel.ParkingLot = attrs.field(
        factory=trio.lowlevel.ParkingLot
    )

    @property
    def held_bytes(self) -> int:
        """Bytes that were received and not taken."""
        return len(self._received)

    async def receive_until_end(self) -> None:
        """Receives until the caller disconnects."""
        while not self.has_ended:
            if self.held_bytes < _MAX_HELD_BYTES:
                await self._receive()
            else:
                await self._await_room()

    def end(self) -> None:
        """Records the disconnect, which cancels the handling of a request."""
        self.has_ended = True
        if self._handling is not None:
            self._handling.cancel()
        self._arrived.unpark()

    async def take(self) -> bytes:
        """Returns received bytes; empty at the end of the stream."""
        if not self._received and not self.has_ended:
            await self._arrived.park()
        received = self._received
        self._received = b''
        self._taken.unpark()
        return received

    async def await_handler(self, respond: Awaitable[None]) -> None:
        """Awaits the handling of a request until the caller disconnects."""
        with trio.CancelScope() as scope:
            self._handling = scope
            try:
                await respond
            finally:
                self._handling = None

    async def _receive(self) -> None:
        try:
            received = await self._stream.receive()
        except _DISCONNECT_ERRORS:
            received = b''
        if received:
            self._received += received
            self._arrived.unpark()
        else:
            self.end()

    async def _await_room(self) -> None:
        """Waits until bytes are taken; asks for the end meanwhile."""
        with trio.move_on_after(_END_POLL_S):
            await self._taken.park()
        if self._stream.has_ended():
            self.end()


@final
@attrs.define(eq=False)
class Reply:
    """The answer to one request, sent at once or as a chunked stream.

    A stream is sent with `start`, any number of `send`, and `finish`.
    """

    _http: h11.Connection
    _stream: ByteStream
    _input: _CallerInput
    _must_close: Callable[[], bool]
    is_started: bool = False
    _unsent: bytes = b''

    @property
    def held_bytes(self) -> int:
        """Bytes that the caller has sent after its request."""
        return self._input.held_bytes

    async def stop_if_caller_left(self) -> None:
        """Raises trio.Cancelled if the caller has ended the connection.

        The end may still wait in the socket, so that the task that receives
        has not seen it.
        """
        if self._stream.has_ended():
            self._input.end()
        await trio.lowlevel.checkpoint_if_cancelled()

    async def send_complete(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Sends a complete answer with its content length."""
        length = (b'content-length', b'%d' % len(body))
        head = self._build_head(status, (*headers, length))
        await self._send_events(head, h11.Data(data=body), h11.EndOfMessage())

    async def start(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends the head and the first bytes of a chunked answer."""
        chunked = (b'transfer-encoding', b'chunked')
        head = self._build_head(status, (*headers, chunked))
        await self._send_events(head, h11.Data(data=body))

    async def send(self, chunk: bytes) -> None:
        """Sends the next chunk of a started answer."""
        self.send_now(chunk)
        await self.flush()

    def send_now(self, chunk: bytes) -> bool:
        """Sends a chunk; returns False if a part of it is left to `flush`."""
        framed = self._http.send(h11.Data(data=chunk)) or b''
        self._unsent = self._stream.send_now(framed)
        return not self._unsent

    async def flush(self) -> None:
        """Waits until the caller has taken the rest of the last chunk."""
        rest = self._unsent
        self._unsent = b''
        await self._stream.send(rest)

    async def finish(self) -> None:
        """Sends the last chunk, which marks the answer as complete."""
        await self._send_events(h11.EndOfMessage())

    def _build_head(self, status: int, headers: Headers) -> h11.Response:
        self.is_started = True
        framed = list(headers)
        if self._must_close():
            framed.append((b'connection', b'close'))
        return h11.Response(status_code=status, headers=framed, reason=b'')

    async def _send_events(self, *events: h11.Event) -> None:
        pieces = [self._http.send(event) for event in events]
        await self._stream.send(b''.join(piece for piece in pieces if piece))


RequestHandler = Callable[[RawRequest, Reply], Awaitable[None]]


@final
@attrs.define(eq=False)
class ServerConnection:
    """An accepted connection, which serves one request after another.

    If `must_close` returns true when an answer starts, the connection is
    closed after it.
    """

    _stream: ByteStream
    _clock: Clock
    _limits: Callable[[], CallerLimits]
    _must_close: Callable[[], bool]
    _input: _CallerInput = attrs.field(init=False)
    _http: h11.Connection = attrs.field(init=False)
    _head: bytes = b''

    def __attrs_post_init__(self) -> None:
        """Creates the parser with the limit on the head of a request."""
        self._input = _CallerInput(self._stream)
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes,
        )

    async def serve(self, respond: RequestHandler) -> None:
        """Handles requests until either side ends the connection."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._input.receive_until_end)
                await self._serve_all(respond)
                nursery.cancel_scope.cancel()
        finally:
            self._stream.close()

    async def _serve_all(self, respond: RequestHandler) -> None:
        try:
            while await self._serve_one(respond):
                self._http.start_next_cycle()
                self._head = self._http.trailing_data[0]
        except _DISCONNECT_ERRORS:
            # The caller has disconnected, and its handler was cancelled.
            return
        except _RefusedError as refusal:
            await self._refuse(refusal.status)

    async def _serve_one(self, respond: RequestHandler) -> bool:
        """Handles a request; returns whether the connection can be reused."""
        raw = await self._read_request()
        if raw is None or self._input.has_ended:
            return False
        reply = Reply(self._http, self._stream, self._input, self._must_close)
        await self._input.await_handler(respond(raw, reply))
        return not self._input.has_ended and (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )

    async def _read_request(self) -> RawRequest | None:
        """Reads a request; None if the connection ended or was idle."""
        limits = self._limits()
        has_begun = False
        with trio.CancelScope() as scope:
            _expire_after(scope, limits.idle_timeout)
            if not self._head and not await self._receive():
                return None
            has_begun = True
            arrived = self._clock.elapsed()
            _expire_after(scope, limits.header_timeout)
            request = await self._read_head()
            if request is None:
                return None
            _expire_after(scope, _BODY_TIMEOUT)
            body = await self._read_body(request, limits.body_bytes)
            return RawRequest(
                request.method,
                request.target,
                tuple(request.headers),
                body,
                arrived,
            )
        if has_begun:
            raise _RefusedError(HTTPStatus.REQUEST_TIMEOUT)
        return None

    async def _read_head(self) -> h11.Request | None:
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                self._check_framing()
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if not await self._receive():
                return None

    async def _read_body(self, request: h11.Request, limit: int) -> bytes:
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100,
                headers=[],
            )
            await self._send_event(continue_response)
        chunks: list[bytes] = []
        size = _declared_length(request)
        while size <= limit:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b''.join(chunks)
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                size = sum(map(len, chunks))
            elif not await self._receive():
                raise trio.BrokenResourceError
        raise _RefusedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    async def _send_event(self, event: h11.Event) -> None:
        await self._stream.send(self._http.send(event) or b'')

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise _RefusedError(HTTPStatus(error.error_status_hint)) from error

    async def _receive(self) -> bool:
        """Feeds more bytes to the parser; False at the end of the stream."""
        chunk = await self._input.take()
        self._http.receive_data(chunk)
        if self._http.their_state is h11.IDLE:
            self._head += chunk
        return bool(chunk)

    def _check_framing(self) -> None:
        """Refuses heads whose framing two parsers could read differently."""
        end = _END_OF_HEAD.search(self._head)
        head = self._head[: end.start()] if end else self._head
        if len(head) > self._limits().header_bytes:
            # h11 limits only heads that arrive in several reads.
            raise _RefusedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        content_lengths = len(_CONTENT_LENGTH_LINE.findall(head))
        transfer_encodings = len(_TRANSFER_ENCODING_LINE.findall(head))
        if (
            _FOLDED_LINE.search(head)
            or content_lengths + transfer_encodings > 1
        ):
            raise _RefusedError(HTTPStatus.BAD_REQUEST)

    async def _refuse(self, status: HTTPStatus) -> None:
        """Sends an error answer, then discards input until the timeout."""
        head = (
            f'HTTP/1.1 {status.value} {status.phrase}\r\n'
            'Content-Length: 0\r\nConnection: close\r\n\r\n'
        )
        with trio.move_on_after(_LINGER_TIMEOUT_S):
            try:
                await self._stream.send(head.encode())
                self._stream.send_eof()
                await self._discard_input()
            except _DISCONNECT_ERRORS:
                return

    async def _discard_input(self) -> None:
        """Discards input, as closing with unread bytes loses the answer."""
        is_open = True
        while is_open:
            is_open = bool(await self._input.take())


def _declared_length(request: h11.Request) -> int:
    for name, text in request.headers:
        if name == b'content-length':
            return int(text)
    return 0


def _expire_after(scope: trio.CancelScope, timeout: timedelta) -> None:
    scope.deadline = trio.current_time() + timeout.total_seconds()
