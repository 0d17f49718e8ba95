"""A replica of the published records, kept by revision.

Events of the platform's watch, whole reads of it and updates from peers are
merged by the revision of each key, so that neither order nor repetition
matters and nothing ever goes back.  Keys and values are opaque here.
"""

from collections.abc import Iterable
from typing import Final, final

import attrs

#: Deletions that are remembered; peers that are further behind get all.
_MAX_DELETIONS: Final = 2048


@attrs.frozen
class RecordEvent:
    """A record as it was written, or its deletion (`body` is None)."""

    key: str
    revision: int
    body: bytes | None


@attrs.frozen
class RecordUpdates:
    """What a reader that is behind has to merge.

    `is_snapshot` tells that records which are not listed are gone.
    """

    events: tuple[RecordEvent, ...]
    revision: int
    is_snapshot: bool


@final
@attrs.define
class RecordReplica:
    """All records up to a revision; 0 before the first read."""

    _revision: int = 0
    _records: dict[str, RecordEvent] = attrs.field(factory=dict)
    _forgotten: int = 0

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""
        return self._revision

    def apply(self, updates: RecordUpdates) -> list[RecordEvent]:
        """Merges updates; returns the events that changed something."""
        changed = [event for event in updates.events if self._merge(event)]
        if updates.is_snapshot:
            changed.extend(self._remove_unlisted(updates))
            # Deletions before it are known only of keys that were known here.
            self._forgotten = max(self._forgotten, updates.revision)
        self._revision = max(self._revision, updates.revision)
        self._trim()
        return changed

    def updates_since(self, revision: int) -> RecordUpdates:
        """Returns what a reader that knows a revision has missed."""
        is_snapshot = revision < self._forgotten or revision == 0
        events = tuple(
            event
            for event in self._records.values()
            if event.revision > revision or is_snapshot
        )
        return RecordUpdates(events, self._revision, is_snapshot=is_snapshot)

    def _merge(self, event: RecordEvent) -> bool:
        known = self._records.get(event.key)
        if known is not None and known.revision >= event.revision:
            return False
        self._records[event.key] = event
        return True

    def _remove_unlisted(self, updates: RecordUpdates) -> Iterable[RecordEvent]:
        listed = {event.key for event in updates.events}
        removed = [
            RecordEvent(key, updates.revision, None)
            for key, known in self._records.items()
            if key not in listed
            and known.body is not None
            and known.revision <= updates.revision
        ]
        for event in removed:
            self._records[event.key] = event
        return removed

    def _trim(self) -> None:
        deletions = [
            event for event in self._records.values() if event.body is None
        ]
        if len(deletions) <= _MAX_DELETIONS:
            return
        deletions.sort(key=_revision_of)
        for event in deletions[: len(deletions) // 2]:
            self._records.pop(event.key)
            self._forgotten = max(self._forgotten, event.revision)


def _revision_of(event: RecordEvent) -> int:
    return event.revision
