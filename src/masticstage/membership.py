"""Which instances are live, as one of them believes.

Pure decisions.  Records are ordered by (incarnation, heartbeat, liveness);
the greater record replaces the smaller one on every instance, whatever the
order of arrival.  A suspected or gone instance refutes that by a higher
heartbeat of its own.  Leaving is kept for the rest of an incarnation.
"""

import enum
from collections.abc import Iterable
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: How often a changed record is passed on, per doubling of the fleet.
_TRANSMISSIONS_PER_DOUBLING: Final = 3
#: Gone or leaving records are forgotten after this many gone timeouts.
_FORGET_FACTOR: Final = 40


@enum.unique
class Liveness(enum.IntEnum):
    """State of an instance; a greater one wins under equal heartbeats."""

    LIVE = 0
    SUSPECT = 1
    GONE = 2
    LEAVING = 3


_DOUBTED: Final = frozenset((Liveness.SUSPECT, Liveness.GONE))


@attrs.frozen
class MemberId:
    """One life of an instance, between a start and the next."""

    name: str
    incarnation: int


@attrs.frozen
class Member:
    """One record about an instance."""

    identity: MemberId
    data_centre: str
    region: str
    peer_address: str
    caller_address: str
    liveness: Liveness = Liveness.LIVE
    heartbeat: int = 0

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
    """A record, when it last changed and how often it may be passed on."""

    member: Member
    changed_at: timedelta
    transmissions_left: int


@final
@attrs.define
class MemberTable:
    """All known instances, with the records still to be passed on.

    `expected_size` is a lower bound of the fleet's size, for an instance
    that knows only few others yet.
    """

    _clock: Clock
    _own: Member
    _gone_after: timedelta
    _expected_size: int = 0
    _entries: dict[str, _Entry] = attrs.field(factory=dict)

    @property
    def own(self) -> Member:
        """This instance's record of itself."""
        return self._own

    def others(self) -> tuple[Member, ...]:
        """Records of all other instances that are not gone."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.liveness is not Liveness.GONE
        )

    def gone(self) -> tuple[Member, ...]:
        """Records of instances that are gone and may come back."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.liveness is Liveness.GONE
        )

    def recently_leaving(self, longest: timedelta) -> tuple[Member, ...]:
        """Instances that have been leaving for at most this long."""
        now = self._clock.elapsed()
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.liveness is Liveness.LEAVING
            and now - entry.changed_at <= longest
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

    def merge(self, records: Iterable[Member]) -> tuple[Member, ...]:
        """Takes in records; returns those that changed the table."""
        return tuple(record for record in records if self._merge_record(record))

    def suspect(self, name: str) -> Member | None:
        """Marks a live instance that did not answer as suspect."""
        entry = self._entries.get(name)
        if entry is None or entry.member.liveness is not Liveness.LIVE:
            return None
        return self._replace(entry, Liveness.SUSPECT)

    def confirm_live(self, name: str) -> Member | None:
        """Withdraws a suspicion after a direct answer of the suspect."""
        entry = self._entries.get(name)
        if entry is None or entry.member.liveness not in _DOUBTED:
            return None
        member = attrs.evolve(
            entry.member,
            liveness=Liveness.LIVE,
            heartbeat=entry.member.heartbeat + 1,
        )
        return self._store(member)

    def leave(self) -> Member:
        """Declares that this instance is shutting down."""
        self._own = attrs.evolve(
            self._own,
            liveness=Liveness.LEAVING,
            heartbeat=self._own.heartbeat + 1,
        )
        return self._own

    def expire(self) -> tuple[Member, ...]:
        """Turns long suspected instances into gone ones.

        Records that have not changed for much longer are forgotten.
        """
        self._forget()
        return tuple(
            self._replace(entry, Liveness.GONE)
            for entry in self._unchanged_for(self._gone_after)
            if entry.member.liveness is Liveness.SUSPECT
        )

    def changes(self, limit: int) -> tuple[Member, ...]:
        """Returns own record and up to `limit` recent changes to pass on."""
        pending = [
            entry
            for entry in self._entries.values()
            if entry.transmissions_left > 0
        ]
        pending.sort(key=_by_transmissions_left, reverse=True)
        chosen = pending[:limit]
        for entry in chosen:
            entry.transmissions_left -= 1
        return (self._own, *(entry.member for entry in chosen))

    def all_records(self) -> tuple[Member, ...]:
        """Returns all records, for an instance that has just joined."""
        return (
            self._own,
            *(entry.member for entry in self._entries.values()),
        )

    def _forget(self) -> None:
        forget_after = _FORGET_FACTOR * self._gone_after
        for entry in self._unchanged_for(forget_after):
            if entry.member.liveness >= Liveness.GONE:
                self._entries.pop(entry.member.identity.name)

    def _unchanged_for(self, duration: timedelta) -> list[_Entry]:
        now = self._clock.elapsed()
        return [
            entry
            for entry in self._entries.values()
            if now - entry.changed_at > duration
        ]

    def _merge_record(self, record: Member) -> bool:
        if record.identity.name == self._own.identity.name:
            return self._refute(record)
        entry = self._entries.get(record.identity.name)
        if entry is not None and record.order <= entry.member.order:
            return False
        self._store(record)
        return True

    def _refute(self, record: Member) -> bool:
        if record.identity != self._own.identity:
            return False
        if record.order <= self._own.order:
            return False
        self._own = attrs.evolve(
            self._own,
            heartbeat=record.heartbeat + 1,
        )
        return True

    def _replace(self, entry: _Entry, liveness: Liveness) -> Member:
        return self._store(attrs.evolve(entry.member, liveness=liveness))

    def _store(self, member: Member) -> Member:
        size = max(len(self._entries) + 2, self._expected_size)
        self._entries[member.identity.name] = _Entry(
            member,
            self._clock.elapsed(),
            _TRANSMISSIONS_PER_DOUBLING * size.bit_length(),
        )
        return member


def _by_transmissions_left(entry: _Entry) -> int:
    return entry.transmissions_left
