"""Client connections over h11, with proof of what was sent.

httpx hides whether a kept connection carried a stale answer and whether a
byte left before a failure; both decide here whether a call may be repeated.
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
#: Requests up to this size are written before the answer is read; they fit
#: into socket buffers. Longer ones are written beside the reading.
_SMALL_BYTES: Final = 8192
#: Time after which unacknowledged data ends a connection, in milliseconds:
#: some round trips between regions with a lost packet among them.
_USER_TIMEOUT_MS: Final = 3000
#: Largest head of an answer that is accepted.
_HEAD_BYTES: Final = 65536

Spawn = Callable[..., None]
_BROKEN: Final = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@attrs.frozen
class AnswerHead:
    """Status and headers of an answer, names in lower case."""

    status: int
    headers: Headers


@attrs.frozen
class OutgoingRequest:
    """A request as it is to be written."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''


@final
@attrs.define(eq=False)
class Connection:
    """One connection to a server, used for one request at a time."""

    address: str
    _stream: trio.SocketStream
    _clock: Clock
    _http: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=_HEAD_BYTES,
        ),
    )
    _used_at_s: float = 0
    _writes_left: int = 0
    _is_spoilt: bool = False

    @property
    def idle_s(self) -> float:
        """Seconds since the last whole answer."""
        return self._now_s() - self._used_at_s

    def is_quiet(self) -> bool:
        """Tells whether neither an end nor stray bytes have arrived."""
        return not self._stream.socket.is_readable()

    async def send(self, outgoing: OutgoingRequest, spawn: Spawn) -> None:
        """Writes a request; a long one goes on beside the reading."""
        payload = self._encode(outgoing)
        if len(payload) > _SMALL_BYTES:
            self._writes_left += 1
            spawn(self._write_beside, payload)
            return
        try:
            await self._stream.send_all(payload)
        except _BROKEN as error:
            raise self._broken(error) from error

    async def read_head(self) -> AnswerHead:
        """Reads the head of the answer."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return AnswerHead(event.status_code, tuple(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken(None)

    async def read_chunk(self) -> bytes:
        """Reads a part of the body, empty at its proper end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise self._broken(None)

    async def read_body(self) -> bytes:
        """Reads the whole body."""
        chunks: list[bytes] = []
        while True:
            chunk = await self.read_chunk()
            if not chunk:
                return b''.join(chunks)
            chunks.append(chunk)

    def renew(self) -> bool:
        """Prepares for another request; False when that is not safe.

        Bytes behind a whole answer belong to no request, so a connection on
        which any have come is not used again.
        """
        is_done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        is_clean = not self._http.trailing_data[0] and not self._writes_left
        if not is_done or not is_clean or self._is_spoilt:
            return False
        self._http.start_next_cycle()
        self._used_at_s = self._now_s()
        return True

    def close(self) -> None:
        """Closes at once; what runs for it at the server ends."""
        self._is_spoilt = True
        self._stream.socket.close()

    def _encode(self, outgoing: OutgoingRequest) -> bytes:
        headers: list[Header] = list(outgoing.headers)
        if outgoing.body:
            headers.append((b'content-length', b'%d' % len(outgoing.body)))
        request = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=headers,
        )
        pieces = [self._http.send(request)]
        if outgoing.body:
            pieces.append(self._http.send(h11.Data(data=outgoing.body)))
        pieces.append(self._http.send(h11.EndOfMessage()))
        return b''.join(piece for piece in pieces if piece)

    async def _write_beside(self, payload: bytes) -> None:
        try:
            await self._stream.send_all(payload)
        except _BROKEN:
            # The reader meets the same end and reports it.
            self._is_spoilt = True
        else:
            self._writes_left -= 1

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                chunk = await self._stream.receive_some(_READ_BYTES)
                self._http.receive_data(chunk)
            except _BROKEN as error:
                raise self._broken(error) from error

    def _broken(self, cause: Exception | None) -> BrokenConnectionError:
        self._is_spoilt = True
        reason = type(cause).__name__ if cause else 'unexpected end'
        return BrokenConnectionError(self.address, reason)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


async def connect(address: str, timeout_s: float, clock: Clock) -> Connection:
    """Opens a connection; fails with `ConnectError` when nothing was sent."""
    host, _, port = address.rpartition(':')
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout_s):
            await sock.connect((host, int(port)))
    except (OSError, trio.TooSlowError) as error:
        sock.close()
        raise ConnectError(address, _reason(error)) from error
    except trio.Cancelled:
        sock.close()
        raise
    stream = trio.SocketStream(sock)
    stream.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
    return Connection(address, stream, clock)


def _reason(error: Exception) -> str:
    if isinstance(error, OSError) and error.errno:
        return errno.errorcode.get(error.errno, str(error.errno))
    return type(error).__name__


@final
@attrs.define(eq=False)
class ConnectionPool:
    """Idle connections by address, the last used one first.

    `longest_idle_s` bounds the age of a reused one: the other side closes
    idle connections, and what crosses that close may or may not have run.
    """

    _clock: Clock
    _connect_s: float
    _longest_idle_s: float
    _idle: dict[str, list[Connection]] = attrs.field(factory=dict)
    opened: int = 0

    async def take(self, address: str, longest_idle_s: float) -> Connection:
        """Returns an idle connection of at most that age, or a new one."""
        limit_s = min(longest_idle_s, self._longest_idle_s)
        idle = self._idle.get(address, [])
        while idle:
            kept = idle.pop()
            if kept.idle_s <= limit_s and kept.is_quiet():
                return kept
            kept.close()
        self.opened += 1
        return await connect(address, self._connect_s, self._clock)

    def give_back(self, connection: Connection) -> None:
        """Keeps a connection for another request, or closes it."""
        if connection.renew():
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            connection.close()

    def drop(self, address: str) -> None:
        """Closes the idle connections of an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def discard_old(self) -> None:
        """Closes connections that have been idle for too long."""
        for address, idle in list(self._idle.items()):
            for connection in idle:
                if connection.idle_s > self._longest_idle_s:
                    connection.close()
            kept = [one for one in idle if one.idle_s <= self._longest_idle_s]
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)
