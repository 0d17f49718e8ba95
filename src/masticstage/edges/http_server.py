"""HTTP/1.1 server connections over h11, with limits on requests.

A request is read completely before it is handled.  A request with ambiguous
framing is refused and its connection closed, against request smuggling.  When
a caller disconnects, the handling of its request is cancelled.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, final

import attrs
import h11
import trio

from masticstage.clock import Clock
from masticstage.edges.byte_stream import ByteStream
from masticstage.edges.caller_input import DISCONNECT_ERRORS, CallerInput
from masticstage.edges.memory_budget import Holding, MemoryBudget, Phase
from masticstage.edges.request_reader import RefusedError, RequestReader
from masticstage.forwarding.requests import Headers
from masticstage.forwarding.routes import CallerLimits
from masticstage.forwarding.wire import RawRequest

#: Longest time for which the rest of a refused request is read and discarded.
_LINGER_TIMEOUT_S: Final = 0.5
#: Sent when the memory for requests is used up.
_RETRY_AFTER_S: Final = 1
#: Copies of a body that was unpacked, or of an answer that waits for its
#: caller: the body, and what is sent with it.
_COPIES: Final = 2
#: Part of an event from which on it counts.
_LONG_EVENT_BYTES: Final = 16384
#: Bytes that connections without a common budget may hold.
_OWN_BUDGET_BYTES: Final = 67_108_864


@final
@attrs.define(eq=False)
class Reply:
    """The answer to one request, sent at once or as a chunked stream.

    A stream is sent with `start`, any number of `send`, and `finish`.
    `waited_s` is the time for which the caller took less than there was.
    """

    _http: h11.Connection
    _stream: ByteStream
    _input: CallerInput
    _must_close: Callable[[], bool]
    _holding: Holding
    is_started: bool = False
    waited_s: float = 0
    _unsent: bytes = b''
    _partial_bytes: int = 0
    _request_bytes: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Stores what the request holds, beside its answer."""
        self._request_bytes = self._holding.held_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that the caller has sent after its request."""
        return self._input.held_bytes

    def take_room(self, size: int) -> bool:
        """Counts a body that was unpacked; False if it does not fit."""
        self._request_bytes += _COPIES * size
        return self._holding.take(self._request_bytes)

    def hold_partial(self, size: int) -> None:
        """Counts a part of a long event, which waits for the rest of it.

        Raises trio.BrokenResourceError if it does not fit; the connection is
        reset then.
        """
        counted = size if size >= _LONG_EVENT_BYTES else 0
        if counted == self._partial_bytes:
            return
        self._partial_bytes = counted
        self._holding.hold(self._request_bytes + counted)
        if not self._holding.has_room:
            self._stream.reset()
            raise trio.BrokenResourceError('the memory is used up')

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
        self._unsent = self._write(h11.Data(data=chunk))
        return not self._unsent

    async def flush(self) -> None:
        """Waits until the caller has taken what is left of the last chunk."""
        if self._unsent:
            await self._send_slowly()

    async def finish(self) -> None:
        """Sends the last chunk, which marks the answer as complete."""
        await self._send_events(h11.EndOfMessage())

    def _build_head(self, status: int, headers: Headers) -> h11.Response:
        self.is_started = True
        framed = list(headers)
        if self._must_close():
            framed.append((b'connection', b'close'))
        return h11.Response(status_code=status, headers=framed, reason=b'')

    def _write(self, *events: h11.Event) -> bytes:
        """Writes what the socket buffer takes; returns the rest."""
        pieces = [self._http.send(event) for event in events]
        payload = b''.join(piece for piece in pieces if piece)
        return self._stream.send_now(payload)

    async def _send_events(self, *events: h11.Event) -> None:
        self._unsent = self._write(*events)
        await self.flush()

    async def _send_slowly(self) -> None:
        """Sends what the caller has not taken at once.

        What waits counts, and is given up if the memory is needed.
        """
        rest = self._unsent
        self._unsent = b''
        started_s = trio.current_time()
        self._holding.on_eviction(self._stream.reset)
        self._holding.enter(Phase.ANSWERING)
        self._holding.hold(self._request_bytes + _COPIES * len(rest))
        await self._stream.send(rest, self._holding.record_progress)
        self._holding.enter(Phase.HANDLING)
        self._holding.hold(self._request_bytes)
        self.waited_s += trio.current_time() - started_s


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
    _holding: Holding = attrs.field(
        factory=lambda: Holding(MemoryBudget(_OWN_BUDGET_BYTES))
    )
    _input: CallerInput = attrs.field(init=False)
    _http: h11.Connection = attrs.field(init=False)
    _reader: RequestReader = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the parser with the limit on the head of a request."""
        self._input = CallerInput(self._stream, self._holding)
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes,
        )
        self._reader = RequestReader(
            self._http,
            self._stream,
            self._input,
            self._clock,
            self._limits,
            self._holding,
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
        except DISCONNECT_ERRORS:
            # The caller has disconnected, and its handler was cancelled.
            return
        except RefusedError as refusal:
            await self._refuse(refusal.status)

    async def _serve_one(self, respond: RequestHandler) -> bool:
        """Handles a request; returns whether the connection can be reused."""
        raw = await self._reader.read()
        if raw is None or self._input.has_ended:
            return False
        reply = Reply(
            self._http,
            self._stream,
            self._input,
            self._must_close,
            self._holding,
        )
        await self._input.await_handler(respond(raw, reply))
        self._holding.hold(0)
        return not self._input.has_ended and (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )

    async def _refuse(self, status: HTTPStatus) -> None:
        """Sends an error answer, then discards input until the timeout."""
        self._holding.hold(0)
        retry = (
            f'Retry-After: {_RETRY_AFTER_S}\r\n'
            if status is HTTPStatus.SERVICE_UNAVAILABLE
            else ''
        )
        head = (
            f'HTTP/1.1 {status.value} {status.phrase}\r\n{retry}'
            'Content-Length: 0\r\nConnection: close\r\n\r\n'
        )
        with trio.move_on_after(_LINGER_TIMEOUT_S):
            try:
                await self._stream.send(head.encode())
                self._stream.send_eof()
                await self._discard_input()
            except DISCONNECT_ERRORS:
                return

    async def _discard_input(self) -> None:
        """Discards input, as closing with unread bytes loses the answer."""
        is_open = True
        while is_open:
            is_open = bool(await self._input.take())
