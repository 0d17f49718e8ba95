"""Splits a stream into server-sent events."""

import re
from typing import Final, final

import attrs

from masticstage.exceptions import UpstreamFailedError

_BOUNDARY: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
#: A line that is neither empty nor a comment.
_FIELD_LINE: Final = re.compile(rb'^[^:\n]', re.MULTILINE)
#: Largest event that is accepted; engines send a few hundred bytes each.
_MAX_EVENT_BYTES: Final = 262_144


@final
@attrs.define
class EventFramer:
    """Splits the bytes of one stream into complete events.

    `last_id` is the id of the last complete event, from which another upstream
    can resume. Events that a resumed stream repeats are dropped. `event_count`
    grows whenever events are passed on, but not by comments, which upstreams
    may send to keep a connection open.
    """

    last_id: str = ''
    event_count: int = 0
    _tail: bytes = b''

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._tail)

    @property
    def partial_bytes(self) -> int:
        """Length of the incomplete event that is buffered."""
        return len(self._tail)

    def feed(self, chunk: bytes) -> bytes:
        """Adds bytes; returns the events completed by them.

        Raises UpstreamFailedError if an event is too large.
        """
        complete, boundary, tail = (self._tail + chunk).rpartition(_BOUNDARY)
        self._tail = tail
        if len(self._tail) > _MAX_EVENT_BYTES:
            raise UpstreamFailedError('engine', 'event without end')
        if not boundary:
            return b''
        if _ID_FIELD not in complete:
            # Many small events are passed on without looking at each.
            self.event_count += _FIELD_LINE.search(complete) is not None
            return complete + boundary
        kept = [
            event for event in complete.split(_BOUNDARY) if self._accept(event)
        ]
        return b''.join(event + _BOUNDARY for event in kept)

    def discard_partial(self) -> None:
        """Drops an incomplete event before another upstream resumes."""
        self._tail = b''

    def _accept(self, event: bytes) -> bool:
        """Stores the id of an event; returns False if it is a duplicate."""
        event_id = _event_id(event)
        if not event_id:
            self.event_count += not _is_comment(event)
            return True
        if _is_duplicate(event_id, self.last_id):
            return False
        self.last_id = event_id
        self.event_count += 1
        return True


def _event_id(event: bytes) -> str:
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            return line.removeprefix(_ID_FIELD).strip().decode('latin-1')
    return ''


def _is_comment(event: bytes) -> bool:
    lines = event.split(b'\n')
    return all(not line or line.startswith(b':') for line in lines)


def _is_duplicate(event_id: str, last_id: str) -> bool:
    if event_id.isdigit() and last_id.isdigit():
        return int(event_id) <= int(last_id)
    return bool(last_id) and event_id == last_id
