"""Watches the records that the platform publishes."""

from typing import Final

import trio

from masticstage.edges.gateway import Gateway
from masticstage.exceptions import HistoryLostError, PlatformUnavailableError
from masticstage.forwarding.read_pauses import batch_pause_s
from masticstage.forwarding.record_cache import RecordEvent, RecordUpdates

#: Duration of one watch call (long poll); each call has a price. A call on a
#: dead connection is given up 0.9 s after this time. With the pauses below,
#: that is early enough for the tightest bound: a configuration has to be in
#: force 3 s after its acknowledgement. The bound holds again 5 s after the
#: connections went dead.
WATCH_TIMEOUT_S: Final = 5.0
#: Pause after a failed call, since all instances share the platform's rate
#: limit.
RETRY_PAUSE_S: Final = 0.4
#: Timeout of the refresh after the process was paused.
_REFRESH_TIMEOUT_S: Final = 0.6
_MS_PER_S: Final = 1000


def apply_updates(
    gateway: Gateway,
    updates: RecordUpdates,
    source: str,
    *,
    is_reliable: bool,
) -> None:
    """Merges updates from the platform or a peer and applies what changed.

    `source` names the sender in the log.  `is_reliable` tells whether the
    sender can reach the platform; if not, removals are deferred.
    """
    before = gateway.views.records.revision
    for event in gateway.views.records.apply(updates):
        changed = _apply_event(gateway, event, is_reliable=is_reliable)
        if changed:
            gateway.log.record(
                'record_changed',
                key=event.key,
                revision=event.revision,
                change=changed,
                source=source,
                known_revision=before,
            )


async def watch_records(gateway: Gateway) -> None:
    """Reads the records, then watches them for changes, until cancelled."""
    has_read_all = False
    while True:
        started_s = gateway.elapsed_s()
        try:
            has_read_all = await _read_or_watch(
                gateway,
                has_read_all=has_read_all,
            )
        except HistoryLostError:
            gateway.log.record('history_lost')
            has_read_all = False
        except PlatformUnavailableError as error:
            if gateway.views.outage.record_failure():
                gateway.log.record(
                    'platform_unavailable',
                    reason=error.reason,
                    took_ms=_ms_since(gateway, started_s),
                )
            await trio.sleep(RETRY_PAUSE_S)


async def refresh_records(gateway: Gateway) -> None:
    """Fetches from the platform what has changed since the known revision."""
    with trio.move_on_after(_REFRESH_TIMEOUT_S):
        revision = gateway.views.records.revision
        try:
            updates = await gateway.connections.store.watch(revision, 0)
        except (HistoryLostError, PlatformUnavailableError) as error:
            gateway.log.record('refresh_failed', reason=str(error))
        else:
            apply_updates(gateway, updates, 'platform', is_reliable=True)


def apply_due_removals(gateway: Gateway) -> None:
    """Applies deferred removals once the platform is back long enough."""
    views = gateway.views
    due = views.outage.removals_apply_at()
    for name in views.fleet.apply_due_removals(due):
        gateway.log.record('removal_applied', upstream=name)


async def _read_or_watch(gateway: Gateway, *, has_read_all: bool) -> bool:
    """Reads all records, or watches once all are read; applies the updates.

    Returns True, as all records have then been read.
    """
    store, records = gateway.connections.store, gateway.views.records
    if has_read_all:
        updates = await store.watch(records.revision, WATCH_TIMEOUT_S)
    else:
        updates = await store.read_all()
    if gateway.views.outage.record_success():
        gateway.log.record('platform_recovered', revision=updates.revision)
    apply_updates(gateway, updates, 'platform', is_reliable=True)
    if updates.events:
        await trio.sleep(batch_pause_s(gateway.live_count()))
    return True


def _ms_since(gateway: Gateway, started_s: float) -> int:
    return round((gateway.elapsed_s() - started_s) * _MS_PER_S)


def _apply_event(
    gateway: Gateway,
    event: RecordEvent,
    *,
    is_reliable: bool,
) -> str:
    """Applies a record or its deletion; returns the change for the log."""
    fleet = gateway.views.fleet
    if event.body is not None:
        return fleet.apply(
            event.key,
            gateway.wire.decode_record(event.key, event.body),
        )
    due = gateway.views.outage.removals_apply_at()
    return fleet.remove(event.key, due if is_reliable else None)
