"""Reads the body of a request, chunked or with a length, without I/O.

Chunks are parsed by httptools, since h11 occupies the event loop for seconds
with a body in chunks of one byte.  They are joined to blocks, since a list of
small chunks takes over forty times their bytes.
"""

import re
from collections.abc import Iterator
from typing import Final, Protocol, final

import attrs
import h11
import httptools

from masticstage.edges.body_buffer import BodyBuffer
from masticstage.exceptions import MalformedBodyError

#: Most bytes without any of the body: of a chunk's size or of trailers.
_MAX_BYTES_WITHOUT_PROGRESS: Final = 65536
_CHUNKED_HEAD: Final = b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
#: Where a chunked body can end.
_BLANK_LINE: Final = b'\r\n\r\n'
_KEPT_BYTES: Final = len(_BLANK_LINE) - 1


class BodyReader(Protocol):
    """Takes the bytes after a head, up to the end of the body."""

    body: BodyBuffer
    is_complete: bool

    def feed(self, received: bytes) -> bytes:
        """Takes bytes; returns those that follow the body."""


@final
@attrs.define(eq=False)
class SizedBody:
    """A body with a stated length, zero if the request has none.

    It is parsed by the connection's own parser, which has read the head.
    """

    _http: h11.Connection
    _length: int
    body: BodyBuffer = attrs.field(factory=BodyBuffer)
    is_complete: bool = False

    def feed(self, received: bytes) -> bytes:
        """Takes bytes; returns those that follow the body."""
        missing = self._length - len(self.body)
        part = received[:missing]
        if part:
            # No bytes would mean the end of the connection.
            self._http.receive_data(part)
        event = self._http.next_event()
        while isinstance(event, h11.Data):
            self.body.append(bytes(event.data))
            event = self._http.next_event()
        self.is_complete = isinstance(event, h11.EndOfMessage)
        return received[missing:]


@final
@attrs.define(eq=False)
class ChunkedBody:
    """A chunked body; trailers are dropped."""

    body: BodyBuffer = attrs.field(factory=BodyBuffer)
    is_complete: bool = False
    _last_bytes: bytes = b''
    _without_progress: int = 0
    _parser: httptools.HttpRequestParser = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Brings the parser behind a head."""
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(_CHUNKED_HEAD)

    def feed(self, received: bytes) -> bytes:
        """Takes bytes; returns those that follow the body.

        Raises MalformedBodyError if they are no chunks.
        """
        start = 0
        for end in self._possible_ends(received):
            self._feed_part(received[start:end])
            start = end
            if self.is_complete:
                break
        self._last_bytes = (self._last_bytes + received)[-_KEPT_BYTES:]
        return received[start:]

    def on_body(self, chunk: bytes) -> None:
        """Called by the parser for each part of the body."""
        self.body.append(chunk)
        self._without_progress = 0

    def on_message_complete(self) -> None:
        """Called by the parser after the last chunk and the trailers."""
        self.is_complete = True

    def _feed_part(self, part: bytes) -> None:
        self._without_progress += len(part)
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserError as error:
            raise MalformedBodyError(str(error)) from error
        if self._without_progress > _MAX_BYTES_WITHOUT_PROGRESS + len(part):
            raise MalformedBodyError('too many bytes without progress')

    def _possible_ends(self, received: bytes) -> Iterator[int]:
        """Yields where the body may end, and the end of the bytes.

        The parser would take what follows for another request.
        """
        before = len(self._last_bytes)
        joined = self._last_bytes + received
        for found in re.finditer(b'(?=%b)' % _BLANK_LINE, joined):
            yield found.start() + len(_BLANK_LINE) - before
        yield len(received)
