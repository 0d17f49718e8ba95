"""The published state in use: routes, upstreams, evacuated data centres."""

from collections import defaultdict
from collections.abc import Iterable
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.published import (
    Evacuation,
    Published,
    Unreadable,
    UpstreamRecord,
)
from masticstage.forwarding.removals import Removals
from masticstage.forwarding.routes import RouteTable, ServiceConfig
from masticstage.forwarding.upstream_notices import UpstreamNotices
from masticstage.forwarding.warmups.doubts import Doubts
from masticstage.forwarding.warmups.news import RecentNews
from masticstage.forwarding.warmups.told import ToldWarmUps

#: Time after which a leaving upstream gets nothing, unless settings name one.
_REMOVAL_TIME: Final = timedelta(seconds=3)
#: Age of this view from which an upstream that it did not know has just
#: started. Before that, all are unknown.
_SETTLED_AFTER: Final = timedelta(seconds=10)


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


@attrs.frozen
class _ServiceLists:
    """The upstreams as of a number of changes of the notices.

    `usable` may get new requests, `emptied_of` are leaving or evacuated.
    """

    notice_changes: int
    usable: list[KnownUpstream]
    usable_of: dict[str, list[KnownUpstream]]
    emptied_of: dict[str, list[KnownUpstream]]


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
    removals: Removals = attrs.field(init=False)
    told_warm_ups: ToldWarmUps = attrs.field(init=False)
    doubts: Doubts = attrs.field(init=False)
    news: RecentNews = attrs.field(init=False)
    _notices: UpstreamNotices = attrs.field(init=False)
    _kept_lists: _ServiceLists | None = None
    _began_at: timedelta = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without notices of upstreams and without removals."""
        self._began_at = self._clock.elapsed()
        self.removals = Removals(self._clock)
        self.told_warm_ups = ToldWarmUps(self._clock)
        self.doubts = Doubts(self._clock)
        self.news = RecentNews(self._clock)
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
        self.removals.forget(key)
        self._kept_lists = None
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
        self.removals.forget(key)
        self._kept_lists = None
        evacuation = self._evacuations.pop(key, None)
        if evacuation is not None:
            _doubt_all(self.doubts, self._upstreams.values(), evacuation)
            return f'end of evacuation of {evacuation.data_centre}'
        upstream = self._upstreams.get(key)
        if upstream is None:
            return ''
        self.removals.ended.record(upstream.record)
        if self.removals.defer(key, apply_at):
            return f'removal of {upstream.record.name} deferred'
        self._upstreams.pop(key)
        return f'upstream {upstream.record.name} gone'

    def apply_rolled_back(
        self,
        key: str,
        published: Published | None,
        keep_until: timedelta,
    ) -> str:
        """Applies a record of a restored platform, None if it has none.

        What the platform lacks, or has in an older form, is kept until it is
        written again, for `keep_until` at most.  Removed upstreams stay so, and
        peers hear that they leave.  Returns a description of the change for
        the log, empty if there is none.
        """
        known = self._upstreams.get(key)
        match published:
            case UpstreamRecord():
                record = known.record if known else None
                if not self.removals.is_past(published, record):
                    change = self.apply(key, published)
                    _keep_warm(self._upstreams[key], known)
                    return change
                # A start that is still in use may have been deleted by mistake.
                if not record or record.started_at_ms > published.started_at_ms:
                    self._notices.record_leaving(published, is_own=True)
                if known is None:
                    return f'upstream {published.name} had ended'
            case RouteTable() | Evacuation():
                return self.apply(key, published)
        if known is None and key not in self._evacuations:
            return ''
        self.removals.keep(key, keep_until)
        return 'kept until it is written again'

    def apply_due_removals(self, apply_at: timedelta | None) -> list[str]:
        """Removes what is due; returns the names of upstreams, or evacuations.

        `apply_at` is the due time of removals deferred during an outage, None
        while it lasts.
        """
        due = self.removals.take_due(apply_at)
        if due:
            self._kept_lists = None
        evacuations = [
            self._evacuations.pop(key)
            for key in due
            if key in self._evacuations
        ]
        for evacuation in evacuations:
            _doubt_all(self.doubts, self._upstreams.values(), evacuation)
        upstreams = [
            self._upstreams.pop(key).record
            for key in due
            if key in self._upstreams
        ]
        return [
            *(evacuation.data_centre for evacuation in evacuations),
            *(upstream.name for upstream in upstreams),
        ]

    def upstreams_of(self, service: str) -> list[KnownUpstream]:
        """Returns the upstreams of a service that may get new requests."""
        usable = self._lists().usable_of.get(service, [])
        if not self._notices.has_rests():
            return usable.copy()
        return [
            upstream
            for upstream in usable
            if not self._notices.rest_left(upstream.record)
        ]

    def emptied_of(self, service: str) -> list[KnownUpstream]:
        """Returns the upstreams of a service that are leaving or evacuated.

        They get no new requests, but engines may copy prefixes from them.
        """
        return [
            upstream
            for upstream in self._lists().emptied_of.get(service, [])
            if self._notices.may_copy_from(upstream.record)
        ]

    def find(self, name: str) -> KnownUpstream | None:
        """Returns an upstream that may get new requests, by name."""
        usable = self._lists().usable
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
            _leaves(upstream.record, self._notices)
            for upstream in self._upstreams.values()
            if upstream.record.name == name
        )

    def record_warm_up(self, name: str, cold_for: timedelta) -> None:
        """Sets the remaining warm-up time that an upstream reported."""
        now = self._clock.elapsed()
        self.told_warm_ups.record(name, cold_for)
        for upstream in self._upstreams.values():
            if upstream.record.name == name:
                if not upstream.record.cold_for:
                    self.told_warm_ups.note_unlike_record(name)
                # Each answer of a cold upstream reports its warm-up again.
                upstream.awaits_pace |= upstream.cold_until <= now
                upstream.cold_until = self.told_warm_ups.end_of(name)

    def _lists(self) -> _ServiceLists:
        """Returns the lists of upstreams, built anew only after changes."""
        kept = self._kept_lists
        changes = self._notices.changes
        if kept is None or kept.notice_changes != changes:
            evacuated = self.evacuated
            usable = [
                upstream
                for upstream in self._upstreams.values()
                if not _leaves(upstream.record, self._notices)
                and upstream.record.data_centre not in evacuated
            ]
            kept = _build_lists(changes, usable, self._upstreams.values())
            self._kept_lists = kept
        return kept

    def _apply_table(self, table: RouteTable) -> str:
        if self._table is not None and self._table.version > table.version:
            return f'version {table.version} is older than the one in force'
        self._table = table
        faults = table.teams.describe_faults() if table.teams else ''
        note = f' ({faults})' if faults else ''
        return f'version {table.version} in force{note}'

    def _apply_upstream(self, key: str, record: UpstreamRecord) -> str:
        now = self._clock.elapsed()
        known = self._upstreams.get(key)
        # The time of day of two machines may differ, so that the time of the
        # start only tells one start from another.
        is_new = (
            now - self._began_at >= _SETTLED_AFTER
            and not self.removals.ended.includes(record)
            if known is None
            else known.record.started_at_ms != record.started_at_ms
        )
        if is_new or known is None or record.cold_for:
            self.told_warm_ups.note_record(record.name)
        self.removals.ended.forget(record)
        self._upstreams[key] = KnownUpstream(
            record,
            max(
                now + record.cold_for,
                self.told_warm_ups.end_of(record.name),
            ),
            _awaits_pace(known, record, is_new=is_new),
        )
        state = 'leaving' if record.is_leaving else 'ready'
        cold_ms = record.cold_for // timedelta(milliseconds=1)
        note = f', cold for {cold_ms} ms' if cold_ms else ''
        return f'upstream {record.name} {state}{note}'


def _leaves(record: UpstreamRecord, notices: UpstreamNotices) -> bool:
    return record.is_leaving or notices.is_leaving(record)


def _doubt_all(
    doubts: Doubts, upstreams: Iterable[KnownUpstream], ended: Evacuation
) -> None:
    """Doubts the upstreams of a data centre whose evacuation has ended."""
    for upstream in upstreams:
        if upstream.record.data_centre == ended.data_centre:
            doubts.add(upstream.record.name)


def _build_lists(
    notice_changes: int,
    usable: list[KnownUpstream],
    upstreams: Iterable[KnownUpstream],
) -> _ServiceLists:
    names = {upstream.record.name for upstream in usable}
    emptied = [
        upstream for upstream in upstreams if upstream.record.name not in names
    ]
    return _ServiceLists(
        notice_changes, usable, _by_service(usable), _by_service(emptied)
    )


def _by_service(
    upstreams: Iterable[KnownUpstream],
) -> dict[str, list[KnownUpstream]]:
    by_service: dict[str, list[KnownUpstream]] = defaultdict(list)
    for upstream in upstreams:
        by_service[upstream.record.service].append(upstream)
    return by_service


def _awaits_pace(
    known: KnownUpstream | None, record: UpstreamRecord, *, is_new: bool
) -> bool:
    """Returns whether an upstream is cold or has just started."""
    if known is None or is_new:
        return bool(record.cold_for) or (is_new and bool(record.started_at_ms))
    is_cold_again = record.cold_for and not known.record.cold_for
    return known.awaits_pace or bool(is_cold_again)


def _keep_warm(copied: KnownUpstream, known: KnownUpstream | None) -> None:
    """Keeps what is known of the warm-up of the same start."""
    if known and known.record.started_at_ms == copied.record.started_at_ms:
        copied.cold_until = known.cold_until
