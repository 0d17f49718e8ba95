"""HTTP/1.1 client connections over h11.

Whether a request may be retried depends on whether any byte of it was sent and
on whether a reused connection held a stale answer.  httpx exposes neither.
"""

import errno
import socket
from collections.abc import Callable
from typing import Final, final

import attrs
import h11
import trio

from masticstage.clock import Clock
from masticstage.exceptions import BrokenConnectionError, ConnectError
from masticstage.forwarding.requests import Header, Headers

#: Bytes read from a socket at once.
_READ_BYTES: Final = 65536
#: Requests up to this size fit into socket buffers and are written before the
#: answer is read. Longer ones are written while it is read.
_INLINE_WRITE_BYTES: Final = 8192
#: Time after which unacknowledged data closes a connection (TCP_USER_TIMEOUT):
#: enough for some round trips between regions with one lost packet.
_TCP_USER_TIMEOUT_MS: Final = 3000
#: Largest accepted head of an answer.
_MAX_HEAD_BYTES: Final = 65536

Spawn = Callable[..., None]
_CONNECTION_ERRORS: Final = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@attrs.frozen
class AnswerHead:
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers


@attrs.frozen
class OutgoingRequest:
    """A request to be sent; a content length is added for a body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''


@final
@attrs.define(eq=False)
class Connection:
    """A connection to a server, used for one request at a time."""

    address: str
    _stream: trio.SocketStream
    _clock: Clock
    _http: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=_MAX_HEAD_BYTES,
        ),
    )
    _last_answer_at_s: float = 0
    _pending_writes: int = 0
    _is_unusable: bool = False

    @property
    def idle_s(self) -> float:
        """Seconds since the last complete answer."""
        return self._now_s() - self._last_answer_at_s

    def has_no_input(self) -> bool:
        """Returns whether neither bytes nor the end of the stream arrived."""
        return not self._stream.socket.is_readable()

    async def send(self, request: OutgoingRequest, spawn: Spawn) -> None:
        """Sends a request; a long one is written in the background."""
        payload = self._encode_request(request)
        if len(payload) > _INLINE_WRITE_BYTES:
            self._pending_writes += 1
            spawn(self._write_in_background, payload)
            return
        try:
            await self._stream.send_all(payload)
        except _CONNECTION_ERRORS as error:
            raise self._broken_connection(error) from error

    async def read_head(self) -> AnswerHead:
        """Reads the head of the answer."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, tuple(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken_connection(None)

    async def read_chunk(self) -> bytes:
        """Reads a chunk of the body; empty when the body is complete."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise self._broken_connection(None)

    async def read_body(self) -> bytes:
        """Reads the body to its end."""
        chunks: list[bytes] = []
        while True:
            chunk = await self.read_chunk()
            if not chunk:
                return b''.join(chunks)
            chunks.append(chunk)

    def prepare_reuse(self) -> bool:
        """Prepares for another request; returns False if that is not safe.

        Bytes after a complete answer belong to no request, so a connection
        that received any is not reused.
        """
        is_done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        is_clean = not self._http.trailing_data[0] and not self._pending_writes
        if not is_done or not is_clean or self._is_unusable:
            return False
        self._http.start_next_cycle()
        self._last_answer_at_s = self._now_s()
        return True

    def close(self) -> None:
        """Closes at once, so that the server can cancel its work."""
        self._is_unusable = True
        self._stream.socket.close()

    def _encode_request(self, request: OutgoingRequest) -> bytes:
        headers: list[Header] = list(request.headers)
        if request.body:
            headers.append((b'content-length', b'%d' % len(request.body)))
        h11_request = h11.Request(
            method=request.method,
            target=request.target,
            headers=headers,
        )
        pieces = [self._http.send(h11_request)]
        if request.body:
            pieces.append(self._http.send(h11.Data(data=request.body)))
        pieces.append(self._http.send(h11.EndOfMessage()))
        return b''.join(piece for piece in pieces if piece)

    async def _write_in_background(self, payload: bytes) -> None:
        try:
            await self._stream.send_all(payload)
        except _CONNECTION_ERRORS:
            # Reading the answer fails as well and reports the error.
            self._is_unusable = True
        else:
            self._pending_writes -= 1

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                chunk = await self._stream.receive_some(_READ_BYTES)
                self._http.receive_data(chunk)
            except _CONNECTION_ERRORS as error:
                raise self._broken_connection(error) from error

    def _broken_connection(
        self,
        cause: Exception | None,
    ) -> BrokenConnectionError:
        """Marks the connection as unusable; returns the error to raise."""
        self._is_unusable = True
        reason = type(cause).__name__ if cause else 'unexpected end'
        return BrokenConnectionError(self.address, reason)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


async def connect(address: str, timeout_s: float, clock: Clock) -> Connection:
    """Opens a connection to `host:port`.

    Raises ConnectError on failure; nothing has been sent then.
    """
    host, _, port = address.rpartition(':')
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout_s):
            await sock.connect((host, int(port)))
    except (OSError, trio.TooSlowError) as error:
        sock.close()
        raise ConnectError(address, _error_name(error)) from error
    except trio.Cancelled:
        sock.close()
        raise
    stream = trio.SocketStream(sock)
    stream.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MS,
    )
    return Connection(address, stream, clock)


def _error_name(error: Exception) -> str:
    if isinstance(error, OSError) and error.errno:
        return errno.errorcode.get(error.errno, str(error.errno))
    return type(error).__name__


@final
@attrs.define(eq=False)
class ConnectionPool:
    """Idle connections by address; the most recently used is reused first.

    `max_idle_s` limits the idle time of a reused connection.  Servers close
    idle connections, and a request sent at that moment may or may not run.
    """

    _clock: Clock
    _connect_timeout_s: float
    _max_idle_s: float
    _idle: dict[str, list[Connection]] = attrs.field(factory=dict)
    opened: int = 0

    async def acquire(self, address: str, max_idle_s: float) -> Connection:
        """Returns a connection idle for at most `max_idle_s`, or a new one.

        Raises ConnectError if a new one cannot be opened.
        """
        limit_s = min(max_idle_s, self._max_idle_s)
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.idle_s <= limit_s and connection.has_no_input():
                return connection
            connection.close()
        self.opened += 1
        return await connect(address, self._connect_timeout_s, self._clock)

    def release(self, connection: Connection) -> None:
        """Keeps a connection for reuse, or closes it if that is not safe."""
        if connection.prepare_reuse():
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections of an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close_expired(self) -> None:
        """Closes connections that exceed the maximum idle time."""
        for address, idle in list(self._idle.items()):
            for connection in idle:
                if connection.idle_s > self._max_idle_s:
                    connection.close()
            kept = [
                pooled for pooled in idle if pooled.idle_s <= self._max_idle_s
            ]
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)
