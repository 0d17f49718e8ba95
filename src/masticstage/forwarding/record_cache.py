"""Cache of the published records, merged by revision.

Watch events, snapshots from the platform and updates from peers are merged by
the revision of each key. Order and duplicates therefore make no difference, and
no record is replaced by an older one. Keys and values are opaque here.

A platform that is restored from a copy issues revisions again, in a new era.
Records of two eras are never mixed: only a snapshot begins an era, and updates
of an earlier one are ignored.
"""

from collections.abc import Iterable
from typing import Final, final

import attrs

#: Deletions that are kept; a reader that is further behind gets a snapshot.
_MAX_DELETIONS: Final = 2048


@attrs.frozen
class RecordEvent:
    """A write of a record, or its deletion (`body` is None).

    The body may hold keys of teams. With `is_rolled_back` it is no write: the
    snapshot that began an era has this record, or lacks it, and may be older
    than what was known before.
    """

    key: str
    revision: int
    body: bytes | None = attrs.field(repr=False)
    is_rolled_back: bool = False


@attrs.frozen
class RecordUpdates:
    """Changes for a reader that is behind, up to a revision of an era.

    With `is_snapshot`, records that are not listed do not exist.  The era is 0
    if the platform or an older program names none.
    """

    events: tuple[RecordEvent, ...]
    revision: int
    is_snapshot: bool
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision up to which these updates lead."""
        return self.era, self.revision


@final
@attrs.define
class RecordCache:
    """All records up to a revision, which is 0 before the first read."""

    _revision: int = 0
    _era: int = 0
    _records: dict[str, RecordEvent] = attrs.field(factory=dict)
    _compacted_revision: int = 0
    _lost: dict[str, RecordEvent] = attrs.field(factory=dict)

    @property
    def revision(self) -> int:
        """Revision up to which all changes have been merged."""
        return self._revision

    @property
    def era(self) -> int:
        """Era of the platform to which the records belong."""
        return self._era

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision, in which order states follow each other."""
        return self._era, self._revision

    def apply(self, updates: RecordUpdates) -> list[RecordEvent]:
        """Merges updates; returns the events that had an effect.

        Updates of another era have none, except a snapshot of a later one.
        """
        if updates.era > self._era and updates.is_snapshot:
            return self._begin_era(updates)
        if updates.era != self._era:
            return []
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

    def updates_since(self, revision: int, era: int = 0) -> RecordUpdates:
        """Returns the updates for a reader that is at a revision of an era."""
        is_snapshot = (
            revision < self._compacted_revision
            or revision == 0
            or era != self._era
        )
        events = tuple(
            event
            for event in self._records.values()
            if event.revision > revision or is_snapshot
        )
        return RecordUpdates(
            events, self._revision, is_snapshot=is_snapshot, era=self._era
        )

    def has_deleted(self, key: str) -> bool:
        """Returns whether a record is known to have been deleted."""
        event = self._records.get(key)
        return event is not None and event.body is None

    def lost_records(self) -> tuple[RecordEvent, ...]:
        """Returns what was lost in a rollback and not written again since.

        These are records of former eras that differ from the present ones.
        """
        return tuple(self._lost.values())

    def _begin_era(self, updates: RecordUpdates) -> list[RecordEvent]:
        """Replaces all records by a snapshot of a later era.

        Returns the records and deletions that were not known in this form.
        """
        former = {
            key: event
            for key, event in self._records.items()
            if event.body is not None
        }
        is_rollback = self.position > (0, 0)
        self._era = updates.era
        self._revision = updates.revision
        self._compacted_revision = updates.revision
        self._records = {event.key: event for event in updates.events}
        self._lost = {
            key: event
            for key, event in {**former, **self._lost}.items()
            if self._body(key) != event.body
        }
        known = {key: event.body for key, event in former.items()}
        self._compact()
        changed = [
            attrs.evolve(
                event, is_rolled_back=is_rollback and event.body is not None
            )
            for event in updates.events
            if known.get(event.key) != event.body
        ]
        changed.extend(
            RecordEvent(key, updates.revision, None, is_rolled_back=True)
            for key in former.keys() - {event.key for event in updates.events}
        )
        return changed

    def _merge(self, event: RecordEvent) -> bool:
        """Stores an event; returns False if the cached one is not older."""
        cached = self._records.get(event.key)
        # A key that is not cached did not exist at the compacted revision.
        known = cached.revision if cached else self._compacted_revision
        if known >= event.revision:
            return False
        self._records[event.key] = event
        self._lost.pop(event.key, None)
        return True

    def _body(self, key: str) -> bytes | None:
        event = self._records.get(key)
        return event.body if event else None

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
