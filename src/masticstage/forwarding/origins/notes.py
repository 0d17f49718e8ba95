"""Notes of what began the streams of the last seconds."""

from collections.abc import Collection
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.origins.origin import Origin

#: Notes that are kept; the oldest are dropped.
_MAX_NOTES: Final = 16_384
#: Longest request id that is noted; a stream with a longer one cannot go on.
_MAX_ID_LENGTH: Final = 64


@attrs.frozen
class OriginNote:
    """That the answer to a request began a stream."""

    request_id: str
    origin: Origin


@attrs.frozen
class _Note:
    origin: Origin
    noted_at: timedelta


@final
@attrs.define
class OriginNotes:
    """Origins by the request whose answer brought the first event.

    Those of this instance are sent to others, which answer for it later.
    """

    _clock: Clock
    _notes: dict[str, _Note] = attrs.field(factory=dict)
    _unsent: dict[str, None] = attrs.field(factory=dict)

    def record(self, request_id: str, origin: Origin) -> None:
        """Notes the origin of a stream that begins here."""
        if len(request_id) <= _MAX_ID_LENGTH:
            self._store(request_id, _Note(origin, self._clock.elapsed()))
            self._unsent[request_id] = None

    def record_take_up(self, request_id: str, origin: Origin) -> None:
        """Notes the origin of a stream that goes on here, if there is none."""
        if request_id not in self._notes:
            self.record(request_id, origin)

    def learn(self, note: OriginNote) -> None:
        """Keeps the note of another instance."""
        if note.request_id not in self._notes:
            noted = _Note(note.origin, self._clock.elapsed())
            self._store(note.request_id, noted)

    def find(self, request_id: str) -> Origin | None:
        """Returns what began a stream, None if there is no note."""
        note = self._notes.get(request_id)
        return note.origin if note else None

    def take_unsent(
        self, services: Collection[str], limit: int
    ) -> list[OriginNote]:
        """Returns notes of some services that were not sent yet."""
        if not services:
            return []
        notes = [
            OriginNote(request_id, self._notes[request_id].origin)
            for request_id in self._unsent
            if self._notes[request_id].origin.service in services
        ]
        taken = notes[:limit]
        for note in taken:
            self._unsent.pop(note.request_id)
        return taken

    def drop_older(self, age: timedelta) -> None:
        """Drops notes of streams that have ended."""
        oldest = self._clock.elapsed() - age
        for request_id, note in list(self._notes.items()):
            if note.noted_at >= oldest:
                return
            self._notes.pop(request_id)
            self._unsent.pop(request_id, None)

    def _store(self, request_id: str, note: _Note) -> None:
        self._notes.pop(request_id, None)
        self._notes[request_id] = note
        if len(self._notes) > _MAX_NOTES:
            oldest = next(iter(self._notes))
            self._notes.pop(oldest)
            self._unsent.pop(oldest, None)
