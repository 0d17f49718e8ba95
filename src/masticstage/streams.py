"""Model answers as server-sent events: framing, progress and end marks.

Bytes of an upstream are passed on unparsed, in blocks that end at an event
boundary, so that a broken upstream never leaves half an event behind.
"""

import json
from typing import Final, final

import attrs

from masticstage.exceptions import UpstreamFailedError

#: Ends each server-sent event.
BOUNDARY: Final = b'\n\n'
#: Data of the last event of a whole answer, as usual for model engines.
END_MARK: Final = b'data: [DONE]'
#: Largest event that is accepted from an upstream.
MAX_EVENT_BYTES: Final = 262144
#: Event by which an engine ends a reader whose stream was resumed elsewhere.
_SUPERSEDED: Final = b'event: superseded'
_ID_FIELD: Final = b'id: '


@final
@attrs.define
class AnswerFramer:
    """Cuts the bytes of one answer into blocks of whole events.

    `last_index` is the id of the last whole event, -1 before the first.
    """

    _upstream: str
    _tail: bytes = b''
    _last_index: int = -1
    _ended: bool = False
    _superseded: bool = False

    @property
    def last_index(self) -> int:
        """Id of the last whole event that was passed on."""
        return self._last_index

    @property
    def ended(self) -> bool:
        """Whether the end mark was seen."""
        return self._ended

    @property
    def superseded(self) -> bool:
        """Whether another reader has taken the stream over."""
        return self._superseded

    def feed(self, chunk: bytes) -> bytes:
        """Adds bytes; returns the whole events, empty when there is none."""
        head, boundary, tail = (self._tail + chunk).rpartition(BOUNDARY)
        self._tail = tail
        if len(self._tail) > MAX_EVENT_BYTES:
            raise UpstreamFailedError(self._upstream, 'event without end')
        if not boundary:
            return b''
        self._note_progress(head)
        return head + boundary

    def reopen(self, last_index: int) -> None:
        """Prepares for a new connection that continues after an event."""
        self._tail = b''
        self._last_index = last_index

    def _note_progress(self, events: bytes) -> None:
        last_event = events.rpartition(BOUNDARY)[2]
        if last_event.startswith(_SUPERSEDED):
            self._superseded = True
            return
        self._ended = END_MARK in last_event
        _, field, rest = last_event.rpartition(_ID_FIELD)
        index = rest.partition(b'\n')[0].strip()
        if not field or not index.isdigit():
            raise UpstreamFailedError(self._upstream, 'event without id')
        self._last_index = int(index)


@attrs.frozen
class AnswerEvent:
    """Announces which answer the following events belong to.

    A caller discards the events of all answers with a lower number.
    """

    answer: int
    stream_id: str
    session: str

    def encode(self) -> bytes:
        """Returns the event that carries the mark."""
        fields = json.dumps(attrs.asdict(self), separators=(',', ':'))
        return f'event: answer\ndata: {fields}\n\n'.encode()


def encode_failure(problem: dict[str, object]) -> bytes:
    """Returns the event that ends an answer which cannot be completed."""
    fields = json.dumps(problem, separators=(',', ':'))
    return f'event: error\ndata: {fields}\n\n'.encode()


#: Event by which a caller is asked to resume, at this or another instance.
RESUME: Final = b'event: resume\ndata: {}\n\n'
#: Comment that keeps an idle connection open.
KEEP_ALIVE: Final = b': keep-alive\n\n'
