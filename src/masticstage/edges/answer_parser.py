"""Parses one HTTP/1.1 answer, without I/O.

The parser is httptools.  What it leaves open is decided here: when an answer is
complete, and how many bytes may arrive without any of its body.
"""

from http import HTTPMethod, HTTPStatus
from typing import Final, final

import attrs
import httptools

from masticstage.exceptions import MalformedAnswerError
from masticstage.forwarding.requests import Header, Headers

#: Most bytes without progress: of a head, a trailer or the size of a chunk.
_MAX_BYTES_WITHOUT_PROGRESS: Final = 65536
_CONTENT_LENGTH: Final = b'content-length'
_TRANSFER_ENCODING: Final = b'transfer-encoding'
_CONNECTION: Final = b'connection'
#: Last status of RFC 9110; others belong to no class of answers.
_LAST_STATUS: Final = 599
#: Statuses of answers that never have a body.
_BODILESS: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)


@attrs.frozen
class AnswerHead:
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers


@final
@attrs.define(eq=False)
class AnswerParser:
    """Parses the answer to one request.

    `head` is None until the head is complete.  `has_extra` tells that bytes
    followed the complete answer; they belong to no request.
    """

    _method: bytes
    head: AnswerHead | None = None
    is_complete: bool = False
    has_extra: bool = False
    _headers: list[Header] = attrs.field(factory=list)
    _body: list[bytes] = attrs.field(factory=list)
    _ends_with_connection: bool = False
    _without_progress: int = 0
    _parser: httptools.HttpResponseParser = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Connects the parser to the callbacks of this object."""
        self._parser = httptools.HttpResponseParser(self)

    @property
    def has_body(self) -> bool:
        """Whether a part of the body has not been taken yet."""
        return bool(self._body)

    @property
    def allows_reuse(self) -> bool:
        """Whether the connection may carry another request."""
        if self.head is None or not self.is_complete or self.has_extra:
            return False
        options = dict(self.head.headers).get(_CONNECTION, b'').lower()
        is_older_http = self._parser.get_http_version() == '1.0'
        return (
            not self._ends_with_connection
            and not is_older_http
            and b'close' not in options
        )

    def feed(self, received: bytes) -> None:
        """Parses bytes; raises MalformedAnswerError if they are no answer."""
        if self.is_complete:
            self.has_extra = True
            return
        self._without_progress += len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if not self.is_complete:
                raise MalformedAnswerError(str(error)) from error
            self.has_extra = True
        if self._without_progress > _MAX_BYTES_WITHOUT_PROGRESS:
            raise MalformedAnswerError('too many bytes without progress')

    def feed_end(self) -> None:
        """Handles the end of the connection.

        Raises MalformedAnswerError unless it completes the answer.
        """
        if not self.is_complete and not self._ends_with_connection:
            raise MalformedAnswerError('unexpected end')
        self.is_complete = True

    def take_body(self) -> bytes:
        """Returns the part of the body that was parsed since the last call."""
        body = b''.join(self._body)
        self._body.clear()
        return body

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of an answer."""
        if self.is_complete:
            self.has_extra = True

    def on_header(self, name: bytes, field: bytes) -> None:
        """Called by the parser for each header; trailers are ignored."""
        if self.head is None:
            self._headers.append((name.lower(), field.strip(b' \t')))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head."""
        if self.is_complete:
            return
        status = self._parser.get_status_code()
        if not HTTPStatus.CONTINUE <= status <= _LAST_STATUS:
            raise MalformedAnswerError('status that HTTP does not have')
        if status < HTTPStatus.OK:
            # An interim response; the answer follows.
            self._headers.clear()
            return
        self.head = AnswerHead(status, tuple(self._headers))
        self._without_progress = 0
        self._read_framing(status)

    def on_body(self, body: bytes) -> None:
        """Called by the parser for each part of the body."""
        if self.is_complete:
            self.has_extra = True
            return
        self._body.append(body)
        self._without_progress = 0

    def on_message_complete(self) -> None:
        """Called by the parser after the last byte of an answer."""
        if self.head is not None:
            self.is_complete = True

    def _read_framing(self, status: int) -> None:
        fields = dict(self._headers)
        if self._method == HTTPMethod.HEAD.encode() or status in _BODILESS:
            self.is_complete = True
            return
        encoding = fields.get(_TRANSFER_ENCODING)
        if encoding is not None and encoding.lower() != b'chunked':
            raise MalformedAnswerError('unknown transfer encoding')
        self._ends_with_connection = (
            encoding is None and _CONTENT_LENGTH not in fields
        )
