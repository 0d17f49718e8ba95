"""The published state in use: routes, upstreams, evacuated data centres."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock, to_milliseconds
from masticstage.forwarding.published import (
    Evacuation,
    Published,
    Unreadable,
    UpstreamRecord,
)
from masticstage.forwarding.routes import RouteTable, ServiceConfig
from masticstage.forwarding.upstream_notices import UpstreamNotices

#: Time after which a leaving upstream gets nothing, unless settings name one.
_REMOVAL_TIME: Final = timedelta(seconds=3)
#: Age up to which an upstream has just started, on the clocks of two machines.
_NEW_FOR_MS: Final = 10_000


@attrs.define
class KnownUpstream:
    """The record of an upstream, and the time at which its warm-up ends.

    `awaits_pace` is set for an upstream that has started, is cold or has
    recovered, until its pace begins.
    """

    record: UpstreamRecord
    cold_until: timedelta
    awaits_pace: bool = False
    has_recovered: bool = False

    def mark_recovered(self) -> None:
        """Makes a pace begin after the upstream was suspected."""
        self.awaits_pace = True
        self.has_recovered = True


@final
@attrs.define
class FleetView:
    """The published records that are in use, by key.

    Upstreams whose records disappear during an outage of the platform are kept
    until the removal can be trusted, see `OutageTracker`.
    """

    _clock: Clock
    _removal_time: timedelta = _REMOVAL_TIME
    _table: RouteTable | None = None
    _upstreams: dict[str, KnownUpstream] = attrs.field(factory=dict)
    _evacuations: dict[str, Evacuation] = attrs.field(factory=dict)
    _deferred_removals: dict[str, timedelta | None] = attrs.field(factory=dict)
    _notices: UpstreamNotices = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without notices of upstreams."""
        self._notices = UpstreamNotices(self._clock, self._removal_time)

    @property
    def notices(self) -> UpstreamNotices:
        """What upstreams said of themselves."""
        return self._notices

    @property
    def table(self) -> RouteTable | None:
        """The current configuration, None before the first."""
        return self._table

    @property
    def evacuated(self) -> frozenset[str]:
        """Data centres whose upstreams get no new requests."""
        return frozenset(
            evacuation.data_centre for evacuation in self._evacuations.values()
        )

    def service_config(self, service: str) -> ServiceConfig | None:
        """Returns the configuration of a service, None without any."""
        return self._table.services.get(service) if self._table else None

    def apply(self, key: str, published: Published) -> str:
        """Applies a published record.

        Returns a description of the change for the log, empty if there is none.
        """
        self._deferred_removals.pop(key, None)
        match published:
            case RouteTable():
                return self._apply_table(published)
            case UpstreamRecord():
                return self._apply_upstream(key, published)
            case Evacuation():
                self._evacuations[key] = published
                return f'evacuation of {published.data_centre}'
            case Unreadable():
                self._upstreams.pop(key, None)
                return f'unreadable: {published.reason}'
        return ''

    def remove(self, key: str, apply_at: timedelta | None) -> str:
        """Removes a deleted record, at once or later.

        Upstreams are kept until `apply_at`, which is None during an outage of
        the platform. Returns a description of the change for the log, empty if
        there is none.
        """
        evacuation = self._evacuations.pop(key, None)
        if evacuation is not None:
            return f'end of evacuation of {evacuation.data_centre}'
        upstream = self._upstreams.get(key)
        if upstream is None:
            return ''
        if apply_at is None or apply_at > self._clock.elapsed():
            self._deferred_removals[key] = apply_at
            return f'removal of {upstream.record.name} deferred'
        self._deferred_removals.pop(key, None)
        self._upstreams.pop(key)
        return f'upstream {upstream.record.name} gone'

    def apply_due_removals(self, apply_at: timedelta | None) -> list[str]:
        """Removes upstreams whose removal is due; returns their names.

        `apply_at` is the due time of removals deferred during an outage, None
        while it lasts.
        """
        removed = []
        for key, due in list(self._deferred_removals.items()):
            due_at = due or apply_at
            self._deferred_removals[key] = due_at
            if due_at is not None and due_at <= self._clock.elapsed():
                self._deferred_removals.pop(key)
                removed.append(self._upstreams.pop(key).record.name)
        return removed

    def upstreams_of(self, service: str) -> list[KnownUpstream]:
        """Returns the upstreams of a service that may get new requests."""
        return [
            upstream
            for upstream in self._usable()
            if upstream.record.service == service
            and not self._notices.rest_left(upstream.record)
        ]

    def emptied_of(self, service: str) -> list[KnownUpstream]:
        """Returns the upstreams of a service that are leaving or evacuated.

        They get no new requests, but engines may copy prefixes from them.
        """
        usable = {upstream.record.name for upstream in self._usable()}
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.record.service == service
            and upstream.record.name not in usable
            and self._notices.may_copy_from(upstream.record)
        ]

    def find(self, name: str) -> KnownUpstream | None:
        """Returns an upstream that may get new requests, by name."""
        usable = self._usable()
        return next(
            (upstream for upstream in usable if upstream.record.name == name),
            None,
        )

    def all_upstreams(self) -> list[KnownUpstream]:
        """Returns all upstreams, including leaving and evacuated ones."""
        return list(self._upstreams.values())

    def is_leaving(self, name: str) -> bool:
        """Returns whether an upstream is leaving or no longer published."""
        return all(
            self._leaves(upstream.record)
            for upstream in self._upstreams.values()
            if upstream.record.name == name
        )

    def record_warm_up(self, name: str, cold_for: timedelta) -> None:
        """Sets the remaining warm-up time that an upstream reported."""
        now = self._clock.elapsed()
        for upstream in self._upstreams.values():
            if upstream.record.name == name:
                # Each answer of a cold upstream reports its warm-up again.
                upstream.awaits_pace |= upstream.cold_until <= now
                upstream.cold_until = now + cold_for

    def _usable(self) -> Iterator[KnownUpstream]:
        evacuated = self.evacuated
        return (
            upstream
            for upstream in self._upstreams.values()
            if not self._leaves(upstream.record)
            and upstream.record.data_centre not in evacuated
        )

    def _leaves(self, record: UpstreamRecord) -> bool:
        return record.is_leaving or self._notices.is_leaving(record)

    def _apply_table(self, table: RouteTable) -> str:
        if self._table is not None and self._table.version > table.version:
            return f'version {table.version} is older than the one in force'
        self._table = table
        return f'version {table.version} in force'

    def _apply_upstream(self, key: str, record: UpstreamRecord) -> str:
        until = self._clock.elapsed() + record.cold_for
        now_ms = to_milliseconds(self._clock.now())
        self._upstreams[key] = KnownUpstream(
            record,
            until,
            _awaits_pace(self._upstreams.get(key), record, now_ms),
        )
        state = 'leaving' if record.is_leaving else 'ready'
        return f'upstream {record.name} {state}'


def _awaits_pace(
    known: KnownUpstream | None, record: UpstreamRecord, now_ms: int
) -> bool:
    """Returns whether an upstream is cold or has just started.

    An upstream may be new to this instance only, if that has started itself.
    """
    started_at_ms = record.started_at_ms
    if known is not None and known.record.started_at_ms == started_at_ms:
        is_cold_again = record.cold_for and not known.record.cold_for
        return known.awaits_pace or bool(is_cold_again)
    age_ms = abs(now_ms - started_at_ms)
    return bool(record.cold_for) or age_ms < _NEW_FOR_MS
