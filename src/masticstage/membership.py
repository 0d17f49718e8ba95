"""One instance's view of which instances are live.

This module does no I/O.  Records are ordered by (incarnation, heartbeat,
liveness); on every instance the greater record replaces the smaller one, in
whatever order they arrive.  An instance that learns that it is marked as
suspect or gone refutes that by raising its own heartbeat.  `LEAVING` is kept
for the rest of an incarnation.
"""

import enum
from collections.abc import Iterable
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Times that a changed record is sent, for each doubling of the fleet size.
_SENDS_PER_DOUBLING: Final = 3
#: Gone or leaving records are removed after this many gone timeouts.
_REMOVAL_FACTOR: Final = 40


@enum.unique
class Liveness(enum.IntEnum):
    """State of an instance; for equal heartbeats the greater one applies."""

    LIVE = 0
    SUSPECT = 1
    GONE = 2
    LEAVING = 3


_SUSPECT_OR_GONE: Final = frozenset((Liveness.SUSPECT, Liveness.GONE))


@attrs.frozen
class MemberId:
    """One incarnation of an instance: one run of its process."""

    name: str
    incarnation: int


@attrs.frozen
class Member:
    """Record of an instance, as exchanged by gossip.

    `gossip_address` takes datagrams; it is empty if the instance takes none.
    `takes_compressed` tells whether relays to it may be compressed, which older
    programs cannot read.
    """

    identity: MemberId
    data_centre: str
    region: str
    peer_address: str
    caller_address: str
    liveness: Liveness = Liveness.LIVE
    heartbeat: int = 0
    gossip_address: str = ''
    takes_compressed: bool = False

    @property
    def order(self) -> tuple[int, bool, int, Liveness]:
        """Sort key: the greater record supersedes the smaller one."""
        return (
            self.identity.incarnation,
            self.liveness is Liveness.LEAVING,
            self.heartbeat,
            self.liveness,
        )


@attrs.define
class _Entry:
    """A record with the time of its last change and its remaining sends."""

    member: Member
    changed_at: timedelta
    sends_left: int


@final
@attrs.define
class MemberTable:
    """All known instances, with the records that are still to be sent.

    `expected_size` is a lower bound of the fleet size, for the time in which
    this instance knows only a few others.  With `supersedes_itself` an instance
    that learns of a later incarnation of itself takes a still later one: that
    was its own before a restart, if the time of day was set back since.
    """

    _clock: Clock
    _own: Member
    _gone_after: timedelta
    _expected_size: int = 0
    _supersedes_itself: bool = False
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    _others: tuple[Member, ...] | None = None
    _live_places: dict[tuple[str, str | None], tuple[Member, ...]] = (
        attrs.field(factory=dict)
    )

    @property
    def own(self) -> Member:
        """This instance's record of itself."""
        return self._own

    def others(self) -> tuple[Member, ...]:
        """Records of all other instances that are not gone."""
        if self._others is None:
            self._others = tuple(
                entry.member
                for entry in self._entries.values()
                if entry.member.liveness is not Liveness.GONE
            )
        return self._others

    def gone(self) -> tuple[Member, ...]:
        """Records of instances that are gone and may return."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.liveness is Liveness.GONE
        )

    def recently_leaving(self, max_age: timedelta) -> tuple[Member, ...]:
        """Instances that have been leaving for at most `max_age`."""
        now = self._clock.elapsed()
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.liveness is Liveness.LEAVING
            and now - entry.changed_at <= max_age
        )

    def find(self, name: str) -> Member | None:
        """Returns the record of an instance by name."""
        if name == self._own.identity.name:
            return self._own
        entry = self._entries.get(name)
        return entry.member if entry else None

    def live_in(self, data_centre: str) -> tuple[Member, ...]:
        """Other live instances of a data centre."""
        return tuple(
            member
            for member in self.others()
            if member.data_centre == data_centre
            and member.liveness is Liveness.LIVE
        )

    def live_in_place(
        self, region: str, data_centre: str | None = None
    ) -> tuple[Member, ...]:
        """Other live instances of a region, or of one of its data centres."""
        place = (region, data_centre)
        kept = self._live_places.get(place)
        if kept is None:
            kept = tuple(
                member
                for member in self.others()
                if member.region == region
                and member.liveness is Liveness.LIVE
                and data_centre in {None, member.data_centre}
            )
            self._live_places[place] = kept
        return kept

    def merge(self, records: Iterable[Member]) -> tuple[Member, ...]:
        """Merges records; returns those that changed the table."""
        return tuple(record for record in records if self._merge_record(record))

    def suspect(self, name: str) -> Member | None:
        """Marks an instance as suspect; returns None if it was not live."""
        entry = self._entries.get(name)
        if entry is None or entry.member.liveness is not Liveness.LIVE:
            return None
        return self._set_liveness(entry, Liveness.SUSPECT)

    def confirm_live(self, name: str) -> Member | None:
        """Marks an instance that has answered as live.

        Returns None if it was neither suspect nor gone.
        """
        entry = self._entries.get(name)
        if entry is None or entry.member.liveness not in _SUSPECT_OR_GONE:
            return None
        member = attrs.evolve(
            entry.member,
            liveness=Liveness.LIVE,
            heartbeat=entry.member.heartbeat + 1,
        )
        return self._store(member)

    def leave(self) -> Member:
        """Marks this instance as leaving; returns its record."""
        self._own = attrs.evolve(
            self._own,
            liveness=Liveness.LEAVING,
            heartbeat=self._own.heartbeat + 1,
        )
        return self._own

    def expire(self) -> tuple[Member, ...]:
        """Marks suspect instances as gone after the gone timeout.

        Returns their records.  Gone and leaving records that have not
        changed for much longer are removed.
        """
        self._remove_outdated()
        return tuple(
            self._set_liveness(entry, Liveness.GONE)
            for entry in self._entries_unchanged_for(self._gone_after)
            if entry.member.liveness is Liveness.SUSPECT
        )

    def changes(self, limit: int) -> tuple[Member, ...]:
        """Returns this instance's record and up to `limit` changed ones."""
        pending = [
            entry for entry in self._entries.values() if entry.sends_left > 0
        ]
        pending.sort(key=_by_sends_left, reverse=True)
        chosen = pending[:limit]
        for entry in chosen:
            entry.sends_left -= 1
        return (self._own, *(entry.member for entry in chosen))

    def all_records(self) -> tuple[Member, ...]:
        """Returns all records, for a full exchange."""
        return (
            self._own,
            *(entry.member for entry in self._entries.values()),
        )

    def _remove_outdated(self) -> None:
        removal_age = _REMOVAL_FACTOR * self._gone_after
        for entry in self._entries_unchanged_for(removal_age):
            if entry.member.liveness >= Liveness.GONE:
                self._entries.pop(entry.member.identity.name)
                self._forget_lists()

    def _entries_unchanged_for(self, duration: timedelta) -> list[_Entry]:
        now = self._clock.elapsed()
        return [
            entry
            for entry in self._entries.values()
            if now - entry.changed_at > duration
        ]

    def _merge_record(self, record: Member) -> bool:
        """Merges a record; True if it changed the table."""
        if record.identity.name == self._own.identity.name:
            return self._refute(record)
        entry = self._entries.get(record.identity.name)
        if entry is not None and record.order <= entry.member.order:
            return False
        self._store(record)
        return True

    def _refute(self, record: Member) -> bool:
        """Raises the heartbeat of this instance above that of a greater record.

        Returns whether the record was greater.
        """
        if record.identity != self._own.identity:
            return self._supersede(record.identity)
        if record.order <= self._own.order:
            return False
        self._own = attrs.evolve(
            self._own,
            heartbeat=record.heartbeat + 1,
        )
        return True

    def _supersede(self, known: MemberId) -> bool:
        """Takes an incarnation after a known one, if that is later."""
        if not self._supersedes_itself:
            return False
        if known.incarnation <= self._own.identity.incarnation:
            return False
        identity = MemberId(known.name, known.incarnation + 1)
        self._own = attrs.evolve(self._own, identity=identity)
        return True

    def _set_liveness(self, entry: _Entry, liveness: Liveness) -> Member:
        return self._store(attrs.evolve(entry.member, liveness=liveness))

    def _store(self, member: Member) -> Member:
        size = max(len(self._entries) + 2, self._expected_size)
        self._entries[member.identity.name] = _Entry(
            member,
            self._clock.elapsed(),
            _SENDS_PER_DOUBLING * size.bit_length(),
        )
        self._forget_lists()
        return member

    def _forget_lists(self) -> None:
        self._others = None
        self._live_places.clear()


def _by_sends_left(entry: _Entry) -> int:
    return entry.sends_left
