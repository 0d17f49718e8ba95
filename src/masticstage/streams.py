"""Model answers as server-sent events: framing, progress and end marker.

The bytes of an upstream are forwarded unchanged, in blocks that end at an
event boundary.  An upstream that fails thus never leaves a partial event in
the answer.
"""

import json
from typing import Final, final

import attrs

from masticstage.exceptions import UpstreamFailedError

#: Terminates each server-sent event.
BOUNDARY: Final = b'\n\n'
#: Data of the last event of a complete answer, as sent by common engines.
END_MARKER: Final = b'data: [DONE]'
#: Maximum size of an event of an upstream.
MAX_EVENT_BYTES: Final = 262144
#: Last event that an engine sends on a connection when the stream has been
#: resumed on another one.
_SUPERSEDED: Final = b'event: superseded'
_ID_FIELD: Final = b'id: '


@final
@attrs.define
class AnswerFramer:
    """Splits the bytes of one answer into blocks of complete events.

    `last_index` is the id of the last complete event, -1 before the first.
    """

    _upstream: str
    _partial_event: bytes = b''
    _last_index: int = -1
    _ended: bool = False
    _superseded: bool = False

    @property
    def last_index(self) -> int:
        """Id of the last complete event, -1 before the first."""
        return self._last_index

    @property
    def ended(self) -> bool:
        """Whether the end marker was received."""
        return self._ended

    @property
    def superseded(self) -> bool:
        """Whether the stream was resumed on another connection."""
        return self._superseded

    def feed(self, chunk: bytes) -> bytes:
        """Adds bytes; returns the events that are now complete.

        Raises `UpstreamFailedError` for an event that exceeds the maximum
        size or has no numeric id.
        """
        complete, boundary, partial = (self._partial_event + chunk).rpartition(
            BOUNDARY
        )
        self._partial_event = partial
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise UpstreamFailedError(self._upstream, 'event without end')
        if not boundary:
            return b''
        self._read_last_event(complete)
        return complete + boundary

    def reopen(self, last_index: int) -> None:
        """Prepares for a new connection that resumes after `last_index`."""
        self._partial_event = b''
        self._last_index = last_index

    def _read_last_event(self, events: bytes) -> None:
        last_event = events.rpartition(BOUNDARY)[2]
        if last_event.startswith(_SUPERSEDED):
            self._superseded = True
            return
        self._ended = END_MARKER in last_event
        _, field, rest = last_event.rpartition(_ID_FIELD)
        index = rest.partition(b'\n')[0].strip()
        if not field or not index.isdigit():
            raise UpstreamFailedError(self._upstream, 'event without id')
        self._last_index = int(index)


@attrs.frozen
class AnswerEvent:
    """Event that names the answer to which the following events belong.

    A caller discards the events of all answers with a lower number.
    """

    answer: int
    stream_id: str
    session: str

    def encode(self) -> bytes:
        """Returns the encoded event."""
        fields = json.dumps(attrs.asdict(self), separators=(',', ':'))
        return f'event: answer\ndata: {fields}\n\n'.encode()


def encode_failure(problem: dict[str, object]) -> bytes:
    """Returns the event that terminates an answer after an error."""
    fields = json.dumps(problem, separators=(',', ':'))
    return f'event: error\ndata: {fields}\n\n'.encode()


#: Event that asks a caller to resume, at this or another instance.
RESUME: Final = b'event: resume\ndata: {}\n\n'
#: Comment that keeps an idle connection open.
KEEP_ALIVE: Final = b': keep-alive\n\n'
