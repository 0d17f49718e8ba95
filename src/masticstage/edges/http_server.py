"""Server connections over h11, with the limits that are published.

A request is read whole before it is handled.  What cannot be framed beyond
doubt is refused and its connection closed, so that nothing can be smuggled.
A caller that leaves cancels the handling of its request.
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
from masticstage.forwarding.requests import Headers
from masticstage.forwarding.routes import CallerLimits
from masticstage.forwarding.wire import RawRequest

_READ_BYTES: Final = 65536
#: Time for a body after its head; callers on slow links send 100 KB in less.
_BODY_S: Final = 10
#: Time in which a refused caller may still send what nobody reads.
_LINGER_S: Final = 0.5
#: Connections that wait to be accepted; an opening packet beyond is lost.
_BACKLOG: Final = 1024
_FOLDED: Final = re.compile(rb'\n[ \t]')
_LENGTHS: Final = re.compile(rb'(?im)^content-length[ \t]*:')
_CODINGS: Final = re.compile(rb'(?im)^transfer-encoding[ \t]*:')
_HEAD_END: Final = re.compile(rb'\r?\n\r?\n')

_GONE: Final = (trio.BrokenResourceError, trio.ClosedResourceError)


class _RefusedError(Exception):
    """A request that is answered without being handled."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status)
        self.status = status


@final
@attrs.define(eq=False)
class Reply:
    """The answer to one request; whole, or started, sent and finished."""

    _http: h11.Connection
    _stream: trio.SocketStream
    _is_last: Callable[[], bool]
    is_started: bool = False

    async def send_complete(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Sends a whole answer."""
        length = (b'content-length', b'%d' % len(body))
        head = self._head(status, (*headers, length))
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())

    async def start(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends the head and the first bytes of an answer in chunks."""
        chunked = (b'transfer-encoding', b'chunked')
        head = self._head(status, (*headers, chunked))
        await self._send(head, h11.Data(data=body))

    async def send(self, chunk: bytes) -> None:
        """Sends further bytes of a started answer."""
        await self._send(h11.Data(data=chunk))

    async def finish(self) -> None:
        """Marks a started answer as complete."""
        await self._send(h11.EndOfMessage())

    def _head(self, status: int, headers: Headers) -> h11.Response:
        self.is_started = True
        framed = list(headers)
        if self._is_last():
            framed.append((b'connection', b'close'))
        return h11.Response(status_code=status, headers=framed, reason=b'')

    async def _send(self, *events: h11.Event) -> None:
        pieces = [self._http.send(event) for event in events]
        await self._stream.send_all(b''.join(one for one in pieces if one))


RequestHandler = Callable[[RawRequest, Reply], Awaitable[None]]


@final
@attrs.define(eq=False)
class ServerConnection:
    """One accepted connection and the requests on it, one after another."""

    _stream: trio.SocketStream
    _clock: Clock
    _limits: Callable[[], CallerLimits]
    _is_last: Callable[[], bool]
    _http: h11.Connection = attrs.field(init=False)
    _head: bytes = b''
    _is_gone: bool = False

    def __attrs_post_init__(self) -> None:
        """Sets the parser up with the largest head that is permitted."""
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes,
        )

    async def serve(self, respond: RequestHandler) -> None:
        """Handles requests until either side ends the connection."""
        try:
            while await self._serve_one(respond):
                self._http.start_next_cycle()
                self._head = self._http.trailing_data[0]
        except _GONE:
            # The caller is gone; its handler was cancelled.
            return
        except _RefusedError as refusal:
            await self._refuse(refusal.status)
        finally:
            self._stream.socket.close()

    async def _serve_one(self, respond: RequestHandler) -> bool:
        raw = await self._read_request()
        if raw is None:
            return False
        reply = Reply(self._http, self._stream, self._is_last)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_departure, nursery.cancel_scope)
                await respond(raw, reply)
                nursery.cancel_scope.cancel()
        except* _GONE:
            # The caller left while its answer was written.
            self._is_gone = True
        return not self._is_gone and (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )

    async def _watch_departure(self, scope: trio.CancelScope) -> None:
        """Cancels the handling when the caller closes its connection."""
        try:
            chunk = await self._stream.receive_some(_READ_BYTES)
        except _GONE:
            chunk = b''
        if not chunk:
            scope.cancel()
            return
        # The next request, sent early; it is parsed after this one.
        self._http.receive_data(chunk)

    async def _read_request(self) -> RawRequest | None:
        limits = self._limits()
        with trio.move_on_after(limits.idle_timeout.total_seconds()):
            if not self._head and not await self._receive():
                return None
        if not self._head:
            return None
        arrived = self._clock.elapsed()
        request = await self._read_head_in(limits.header_timeout)
        if request is None:
            return None
        with trio.move_on_after(_BODY_S):
            body = await self._read_body(request, limits.body_bytes)
            headers = tuple(request.headers)
            return RawRequest(
                request.method,
                request.target,
                headers,
                body,
                arrived,
            )
        raise _RefusedError(HTTPStatus.REQUEST_TIMEOUT)

    async def _read_head_in(self, timeout: timedelta) -> h11.Request | None:
        with trio.move_on_after(timeout.total_seconds()):
            return await self._read_head()
        raise _RefusedError(HTTPStatus.REQUEST_TIMEOUT)

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
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._http.send(go_on))
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

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise _RefusedError(HTTPStatus(error.error_status_hint)) from error

    async def _receive(self) -> bool:
        """Reads more bytes; False at the end of the connection."""
        chunk = await self._stream.receive_some(_READ_BYTES)
        self._http.receive_data(chunk)
        if self._http.their_state is h11.IDLE:
            self._head += chunk
        return bool(chunk)

    def _check_framing(self) -> None:
        """Refuses heads whose framing two parsers could read differently."""
        end = _HEAD_END.search(self._head)
        head = self._head[: end.start()] if end else self._head
        if len(head) > self._limits().header_bytes:
            # The parser bounds only heads that come in several pieces.
            raise _RefusedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        lengths = len(_LENGTHS.findall(head))
        codings = len(_CODINGS.findall(head))
        if _FOLDED.search(head) or lengths + codings > 1:
            raise _RefusedError(HTTPStatus.BAD_REQUEST)

    async def _refuse(self, status: HTTPStatus) -> None:
        """Answers and closes, after the rest has been read for a while."""
        head = (
            f'HTTP/1.1 {status.value} {status.phrase}\r\n'
            'Content-Length: 0\r\nConnection: close\r\n\r\n'
        )
        with trio.move_on_after(_LINGER_S):
            try:
                await self._stream.send_all(head.encode())
                await self._stream.send_eof()
                await _read_to_end(self._stream)
            except _GONE:
                return


def _declared_length(request: h11.Request) -> int:
    for name, text in request.headers:
        if name == b'content-length':
            return int(text)
    return 0


async def _read_to_end(stream: trio.SocketStream) -> None:
    """Drops what still comes, so that closing does not reset the answer."""
    is_open = True
    while is_open:
        is_open = bool(await stream.receive_some(_READ_BYTES))


async def listen(address: str) -> trio.SocketListener:
    """Opens a listening socket on a numeric address."""
    host, _, port = address.rpartition(':')
    listeners = await trio.open_tcp_listeners(
        int(port),
        host=host,
        backlog=_BACKLOG,
    )
    return listeners[0]
