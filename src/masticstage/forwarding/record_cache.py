"""Cache of the published records, merged by revision.

Watch events, snapshots from the platform and updates from peers are merged by
the revision of each key. Order and duplicates therefore make no difference, and
no record is replaced by an older one. Keys and values are opaque here.
"""

from collections.abc import Iterable
from typing import Final, final

import attrs

#: Deletions that are kept; a reader that is further behind gets a snapshot.
_MAX_DELETIONS: Final = 2048


@attrs.frozen
class RecordEvent:
    """A write of a record, or its deletion (`body` is None).

    The body may hold keys of teams.
    """

    key: str
    revision: int
    body: bytes | None = attrs.field(repr=False)


@attrs.frozen
class RecordUpdates:
    """Changes for a reader that is behind, up to a revision.

    With `is_snapshot`, records that are not listed do not exist.
    """

    events: tuple[RecordEvent, ...]
    revision: int
    is_snapshot: bool


@final
@attrs.define
class RecordCache:
    """All records up to a revision, which is 0 before the first read."""

    _revision: int = 0
    _records: dict[str, RecordEvent] = attrs.field(factory=dict)
    _compacted_revision: int = 0

    @property
    def revision(self) -> int:
        """Revision up to which all changes have been merged."""
        return self._revision

    def apply(self, updates: RecordUpdates) -> list[RecordEvent]:
        """Merges updates; returns the events that had an effect."""
        changed = [event for event in updates.events if self._merge(event)]
        if updates.is_snapshot:
            changed.extend(self._remove_unlisted(updates))
            # A snapshot shows earlier deletions only of keys cached here, so
            # readers that are behind it need a snapshot too.
            self._compacted_revision = max(
                self._compacted_revision,
                updates.revision,
            )
        self._revision = max(self._revision, updates.revision)
        self._compact()
        return changed

    def updates_since(self, revision: int) -> RecordUpdates:
        """Returns the updates for a reader that is at a revision."""
        is_snapshot = revision < self._compacted_revision or revision == 0
        events = tuple(
            event
            for event in self._records.values()
            if event.revision > revision or is_snapshot
        )
        return RecordUpdates(events, self._revision, is_snapshot=is_snapshot)

    def _merge(self, event: RecordEvent) -> bool:
        """Stores an event; returns False if the cached one is not older."""
        cached = self._records.get(event.key)
        if cached is not None and cached.revision >= event.revision:
            return False
        self._records[event.key] = event
        return True

    def _remove_unlisted(self, updates: RecordUpdates) -> Iterable[RecordEvent]:
        """Deletes records that a snapshot lacks; returns the deletions."""
        # A snapshot of a peer also has deletions, which may be old.
        listed = {
            event.key for event in updates.events if event.body is not None
        }
        removed = [
            RecordEvent(key, updates.revision, None)
            for key, cached in self._records.items()
            if key not in listed
            and cached.body is not None
            and cached.revision <= updates.revision
        ]
        for event in removed:
            self._records[event.key] = event
        return removed

    def _compact(self) -> None:
        """Drops the older half of the deletions if there are too many."""
        deletions = [
            event for event in self._records.values() if event.body is None
        ]
        if len(deletions) <= _MAX_DELETIONS:
            return
        deletions.sort(key=_revision_of)
        for event in deletions[: len(deletions) // 2]:
            self._records.pop(event.key)
            self._compacted_revision = max(
                self._compacted_revision,
                event.revision,
            )


def _revision_of(event: RecordEvent) -> int:
    return event.revision
