"""What is in force: routes, usable upstreams, evacuated data centres."""

from collections.abc import Iterator
from datetime import timedelta
from typing import final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.published import (
    Evacuation,
    Published,
    Unreadable,
    UpstreamRecord,
)
from masticstage.forwarding.routes import RouteTable, ServicePlan


@attrs.define
class KnownUpstream:
    """An upstream's record, with the time until which it is cold."""

    record: UpstreamRecord
    cold_until: timedelta


@final
@attrs.define
class FleetView:
    """The records in force, by their keys.

    A record that vanished while the platform was in trouble is kept until
    `withdraw` says that its absence is to be believed.
    """

    _clock: Clock
    _table: RouteTable | None = None
    _known: dict[str, KnownUpstream] = attrs.field(factory=dict)
    _evacuations: dict[str, Evacuation] = attrs.field(factory=dict)
    _pending_removals: dict[str, timedelta | None] = attrs.field(factory=dict)

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force, None before the first."""
        return self._table

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres whose upstreams get nothing."""
        return frozenset(
            evacuation.data_centre for evacuation in self._evacuations.values()
        )

    def plan(self, service: str) -> ServicePlan | None:
        """Returns how a service is reached, if it is configured."""
        return self._table.services.get(service) if self._table else None

    def apply(self, key: str, published: Published) -> str:
        """Takes a record over; returns what changed, for the log."""
        self._pending_removals.pop(key, None)
        match published:
            case RouteTable():
                return self._apply_table(published)
            case UpstreamRecord():
                return self._apply_upstream(key, published)
            case Evacuation():
                self._evacuations[key] = published
                return f'evacuation of {published.data_centre}'
            case Unreadable():
                self._known.pop(key, None)
                return f'unreadable: {published.reason}'
        return ''

    def remove(self, key: str, apply_at: timedelta | None) -> str:
        """Drops a deleted record, at once or at a later time.

        `apply_at` is None while the platform's trouble lasts.
        """
        evacuation = self._evacuations.pop(key, None)
        if evacuation is not None:
            return f'end of evacuation of {evacuation.data_centre}'
        known = self._known.get(key)
        if known is None:
            return ''
        if apply_at is None or apply_at > self._clock.elapsed():
            self._pending_removals[key] = apply_at
            return f'absence of {known.record.name} not believed yet'
        self._known.pop(key)
        return f'upstream {known.record.name} gone'

    def apply_due_removals(self, apply_at: timedelta | None) -> list[str]:
        """Drops held records whose time has come; returns their names.

        `apply_at` replaces the time of those held while trouble lasted.
        """
        gone = []
        for key, due in list(self._pending_removals.items()):
            moment = due or apply_at
            self._pending_removals[key] = moment
            if moment is not None and moment <= self._clock.elapsed():
                self._pending_removals.pop(key)
                gone.append(self._known.pop(key).record.name)
        return gone

    def upstreams_of(self, service: str) -> list[KnownUpstream]:
        """Returns the upstreams of a service that may get new work."""
        return [
            known for known in self._usable() if known.record.service == service
        ]

    def find(self, name: str) -> KnownUpstream | None:
        """Returns an upstream that may get new work, by name."""
        usable = self._usable()
        return next((one for one in usable if one.record.name == name), None)

    def all_upstreams(self) -> list[KnownUpstream]:
        """Returns all listed upstreams, leaving ones included."""
        return list(self._known.values())

    def record_warm_up(self, name: str, cold_for: timedelta) -> None:
        """Notes what an upstream said about its own warm-up."""
        until = self._clock.elapsed() + cold_for
        for known in self._known.values():
            if known.record.name == name:
                known.cold_until = until

    def _usable(self) -> Iterator[KnownUpstream]:
        evacuated = self.evacuated
        return (
            known
            for known in self._known.values()
            if not known.record.is_leaving
            and known.record.data_centre not in evacuated
        )

    def _apply_table(self, table: RouteTable) -> str:
        if self._table is not None and self._table.version > table.version:
            return f'version {table.version} is older than the one in force'
        self._table = table
        return f'version {table.version} in force'

    def _apply_upstream(self, key: str, record: UpstreamRecord) -> str:
        until = self._clock.elapsed() + record.cold_for
        self._known[key] = KnownUpstream(record, until)
        state = 'leaving' if record.is_leaving else 'ready'
        return f'upstream {record.name} {state}'
