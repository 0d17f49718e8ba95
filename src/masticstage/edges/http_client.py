"""HTTP/1.1 client connections.

Whether a request may be retried depends on whether any byte of it was sent and
on whether a reused connection held a stale answer.  httpx exposes neither.
"""

import errno
import re
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final, final

import attrs
import trio

from masticstage.clock import Clock
from masticstage.edges.answer_parser import AnswerHead, AnswerParser
from masticstage.edges.body_buffer import BodyBuffer
from masticstage.edges.byte_stream import READ_BYTES, ByteStream
from masticstage.edges.memory_budget import MemoryBudget
from masticstage.edges.receive_buffers import (
    LONG_LINK_BYTES,
    BufferEnlargement,
    keep_small,
    limit_receive_buffer,
)
from masticstage.exceptions import (
    BrokenConnectionError,
    ConnectError,
    InvalidRequestError,
    MalformedAnswerError,
)
from masticstage.forwarding.requests import Headers

#: Time after which unacknowledged data closes a connection (TCP_USER_TIMEOUT):
#: enough for some round trips between regions with one lost packet.
_TCP_USER_TIMEOUT_MS: Final = 3000
#: Largest body that is held whole, and the most bytes of all such bodies
#: without a common budget. Streams are passed on in parts.
_MAX_BODY_BYTES: Final = 4_194_304
_MAX_HELD_BYTES: Final = 67_108_864
#: Refusals after which a connection is no longer reused; it keeps their ids.
_MAX_REFUSALS: Final = 256
#: Addresses whose idle connections have ended that are remembered.
_MAX_ENDED: Final = 1024
#: Bytes that would end a line or a field of the head.
_UNSAFE_IN_FIELD: Final = re.compile(rb'[\r\n\0]')
_UNSAFE_IN_TARGET: Final = re.compile(rb'[\r\n\0 ]')

Spawn = Callable[..., None]
_CONNECTION_ERRORS: Final = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


@attrs.frozen
class OutgoingRequest:
    """A request to be sent; a content length is added for a body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''


@final
@attrs.define(eq=False)
class HeldBodies:
    """Bytes of the bodies that are being read whole, within a budget."""

    _budget: MemoryBudget = attrs.field(
        factory=lambda: MemoryBudget(_MAX_HELD_BYTES)
    )
    total_bytes: int = 0

    @contextmanager
    def count(self) -> Iterator[BodyBuffer]:
        """Yields a buffer for the bytes of one body, and forgets it after."""
        body = BodyBuffer()
        try:
            yield body
        finally:
            self._change(-len(body))

    def add(self, body: BodyBuffer, chunk: bytes) -> bool:
        """Adds a chunk to a body; False if too much would be held."""
        body.append(chunk)
        self._change(len(chunk))
        self._budget.make_room()
        return self._budget.has_room and len(body) <= _MAX_BODY_BYTES

    def _change(self, difference: int) -> None:
        self.total_bytes += difference
        self._budget.change(difference)


@final
@attrs.define(eq=False)
class Connection:
    """A connection to a server, used for one request at a time."""

    address: str
    _stream: ByteStream
    _clock: Clock
    _held: HeldBodies = attrs.field(factory=HeldBodies)
    _answer: AnswerParser | None = None
    _last_answer_at_s: float = 0
    _pending_writes: int = 0
    _requests: int = 0
    _refused_ids: set[str] = attrs.field(factory=set)
    _is_unusable: bool = False
    _has_write_failed: bool = False
    _read_bytes: int = READ_BYTES

    @property
    def idle_s(self) -> float:
        """Seconds since the last complete answer."""
        return self._now_s() - self._last_answer_at_s

    @property
    def is_reused(self) -> bool:
        """Whether the connection has carried a request before the last one."""
        return self._requests > 1

    def record_refusal(self, request_id: str) -> None:
        """Records that the server refused a request on this connection."""
        self._refused_ids.add(request_id)

    def may_carry(self, request_id: str) -> bool:
        """Returns whether an answer would show that it is to this attempt.

        A server may write an earlier refusal once more, late.  Only its request
        id tells that from the next answer, and a caller that comes back may
        use the same id.
        """
        return request_id not in self._refused_ids

    def forbid_reuse(self) -> None:
        """Makes the connection close after the answer that is being read."""
        self._is_unusable = True

    def has_no_input(self) -> bool:
        """Returns whether neither bytes nor the end of the stream arrived."""
        return not self._stream.has_input()

    async def send(
        self,
        request: OutgoingRequest,
        spawn: Spawn,
        read_bytes: int = READ_BYTES,
    ) -> None:
        """Sends a request; its answer is read in parts of `read_bytes`.

        What the socket buffer does not take at once is written in the
        background, since a server may answer before it has read everything.
        """
        self._answer = AnswerParser(request.method)
        self._requests += 1
        self._read_bytes = read_bytes
        try:
            payload = encode_request(request)
        except InvalidRequestError:
            self.close()
            raise
        try:
            rest = self._stream.send_now(payload)
        except _CONNECTION_ERRORS as error:
            raise self._broken_connection(type(error).__name__) from error
        if rest:
            self._pending_writes += 1
            spawn(self._write_in_background, rest)

    async def read_head(self) -> AnswerHead:
        """Reads the head of the answer."""
        answer = self._current_answer()
        while answer.head is None:
            await self._receive(answer)
        return answer.head

    async def read_chunk(self) -> bytes:
        """Reads a part of the body; empty when the body is complete."""
        answer = self._current_answer()
        while not answer.has_body and not answer.is_complete:
            await self._receive(answer)
        return answer.take_body()

    async def read_body(self) -> bytes:
        """Reads the body to its end."""
        with self._held.count() as body:
            while True:
                chunk = await self.read_chunk()
                if not chunk:
                    return body.join()
                if not self._held.add(body, chunk):
                    raise self._broken_connection('body without end')

    def prepare_reuse(self) -> bool:
        """Prepares for another request; returns False if that is not safe.

        Bytes after a complete answer belong to no request, so a connection
        that received any is not reused.
        """
        answer = self._answer
        self._answer = None
        if answer is None or not answer.allows_reuse:
            return False
        if self._pending_writes or self._is_unusable:
            return False
        if len(self._refused_ids) >= _MAX_REFUSALS:
            return False
        self._last_answer_at_s = self._now_s()
        return True

    def close(self) -> None:
        """Closes at once, so that the server can cancel its work.

        A request without a complete answer is given up: the connection is
        reset, and what of the request waits to be sent is discarded.
        """
        self._is_unusable = True
        if self._answer is None or self._answer.is_complete:
            self._stream.close()
        else:
            self._stream.reset()

    def _current_answer(self) -> AnswerParser:
        if self._answer is None:
            raise AssertionError('a request has been sent')
        return self._answer

    async def _write_in_background(self, payload: bytes) -> None:
        try:
            await self._stream.send(payload)
        except _CONNECTION_ERRORS:
            # The kernel reports a reset once; reading may find an orderly end.
            self._is_unusable = True
            self._has_write_failed = True
        else:
            self._pending_writes -= 1

    async def _receive(self, answer: AnswerParser) -> None:
        """Feeds the next bytes, or the end of the connection, to a parser."""
        try:
            received = await self._stream.receive(self._read_bytes)
            if received:
                answer.feed(received)
            else:
                self._feed_end(answer)
        except _CONNECTION_ERRORS as error:
            raise self._broken_connection(type(error).__name__) from error
        except MalformedAnswerError as error:
            raise self._broken_connection(error.reason) from error

    def _feed_end(self, answer: AnswerParser) -> None:
        """Ends an answer, unless the connection was reset."""
        if self._has_write_failed:
            raise MalformedAnswerError('reset while the request was written')
        answer.feed_end()

    def _broken_connection(self, reason: str) -> BrokenConnectionError:
        """Marks the connection as unusable; returns the error to raise."""
        self._is_unusable = True
        return BrokenConnectionError(self.address, reason)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def encode_request(request: OutgoingRequest) -> bytes:
    """Returns the bytes of a request.

    Raises InvalidRequestError if a part of the head would end its line.
    """
    if _UNSAFE_IN_TARGET.search(request.method + request.target):
        raise InvalidRequestError('a method and a target in one line')
    pieces = [b'%b %b HTTP/1.1\r\n' % (request.method, request.target)]
    for name, field in request.headers:
        if _UNSAFE_IN_FIELD.search(name) or _UNSAFE_IN_FIELD.search(field):
            raise InvalidRequestError('a header in one line')
        pieces.append(b'%b: %b\r\n' % (name, field))
    if request.body:
        pieces.append(b'content-length: %d\r\n' % len(request.body))
    pieces.extend((b'\r\n', request.body))
    return b''.join(pieces)


async def connect(
    address: str,
    timeout_s: float,
    clock: Clock,
    held: HeldBodies | None = None,
    enlarge_buffer: BufferEnlargement = keep_small,
) -> Connection:
    """Opens a connection to `host:port`; `held` counts the bodies of several.

    `enlarge_buffer` may give it a larger receive buffer than it begins with.
    Raises ConnectError on failure; nothing has been sent then.
    """
    host, _, port = address.rpartition(':')
    plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    limit_receive_buffer(plain, LONG_LINK_BYTES)
    sock = trio.socket.from_stdlib_socket(plain)
    try:
        with trio.fail_after(timeout_s):
            await sock.connect((host, int(port)))
    except (OSError, OverflowError, ValueError, trio.TooSlowError) as error:
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
    return Connection(
        address,
        ByteStream.take_over(stream, enlarge_buffer(plain)),
        clock,
        held or HeldBodies(),
    )


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
    `_ended` are the addresses where that happened before a connection expired.
    """

    _clock: Clock
    _connect_timeout_s: float
    _max_idle_s: float
    _idle: dict[str, list[Connection]] = attrs.field(factory=dict)
    _held: HeldBodies = attrs.field(factory=HeldBodies)
    _enlarge_buffer: BufferEnlargement = keep_small
    _ended: set[str] = attrs.field(factory=set)
    opened: int = 0

    async def acquire(
        self, address: str, max_idle_s: float, request_id: str = ''
    ) -> Connection:
        """Returns a connection idle for at most `max_idle_s`, or a new one.

        It has not carried a refusal of `request_id`.  Raises ConnectError if a
        new one cannot be opened.
        """
        limit_s = min(max_idle_s, self._max_idle_s)
        connection = self._take_idle(address, limit_s, request_id)
        if connection is not None:
            return connection
        self.opened += 1
        return await connect(
            address,
            self._connect_timeout_s,
            self._clock,
            self._held,
            self._enlarge_buffer,
        )

    def has_idle(self, address: str) -> bool:
        """Returns whether a connection to an address may be reused now."""
        idle = self._idle.get(address, [])
        return bool(idle) and idle[-1].idle_s <= self._max_idle_s

    def has_lost(self, address: str) -> bool:
        """Returns whether idle connections have ended and none is left.

        Those are closed. The process at the address may be another one now.
        """
        idle = self._idle.get(address, [])
        has_lost = address in self._ended
        self._ended.discard(address)
        while idle and not idle[-1].has_no_input():
            idle.pop().close()
            has_lost = True
        return has_lost and not idle

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
            if idle and not idle[-1].has_no_input():
                self._note_ended(address)
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

    def _note_ended(self, address: str) -> None:
        if len(self._ended) >= _MAX_ENDED:
            self._ended.clear()
        self._ended.add(address)

    def _take_idle(
        self, address: str, limit_s: float, request_id: str
    ) -> Connection | None:
        """Returns the last used connection that is usable, if any.

        Closes those that no request may use. One that was idle for too long
        for this request is kept for one that may be repeated.
        """
        idle = self._idle.get(address, [])
        passed_over: list[Connection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            idle_s = connection.idle_s
            if idle_s > self._max_idle_s or not connection.has_no_input():
                connection.close()
            elif idle_s <= limit_s and connection.may_carry(request_id):
                found = connection
            else:
                passed_over.append(connection)
        idle.extend(reversed(passed_over))
        return found
