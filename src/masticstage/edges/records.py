"""Watches the records that the platform publishes."""

from datetime import timedelta
from typing import Final

import trio

from masticstage.clock import milliseconds
from masticstage.edges.gateway import Gateway
from masticstage.exceptions import (
    AnswerTooLargeError,
    HistoryLostError,
    PlatformBusyError,
    PlatformUnavailableError,
)
from masticstage.forwarding.published import Published, UpstreamRecord
from masticstage.forwarding.read_pauses import batch_pause_s, watch_wait_s
from masticstage.forwarding.record_cache import RecordEvent, RecordUpdates

#: Shortest time from the start of a failed call to the next one, since all
#: instances share the platform's rate limit.
_RETRY_INTERVAL_S: Final = 0.4
#: Timeout of the refresh after the process was paused.
_REFRESH_TIMEOUT_S: Final = 0.6
_MS_PER_S: Final = 1000
_MS: Final = timedelta(milliseconds=1)


def apply_updates(
    gateway: Gateway,
    updates: RecordUpdates,
    source: str,
    *,
    is_reliable: bool,
) -> None:
    """Merges updates from the platform or a peer and applies what changed.

    `source` names the sender in the log.  `is_reliable` tells whether the
    sender can reach the platform; if not, removals are deferred.  A failure to
    apply one record is logged and does not stop the others, since the cache has
    taken all of them.
    """
    before = gateway.views.records.revision
    if updates.is_snapshot and updates.position > (
        gateway.views.records.position
    ):
        # What was written and removed before is not in it.
        gateway.views.origins.history.restart()
    if _begins_era(gateway, updates):
        _begin_rollback(gateway, updates, source)
    for event in gateway.views.records.apply(updates):
        with gateway.guard(f'record {event.key}'):
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
        started_at = gateway.clock.elapsed()
        try:
            has_read_all = await _read_or_watch(
                gateway,
                has_read_all=has_read_all,
            )
        except HistoryLostError:
            gateway.log.record('history_lost')
            has_read_all = False
        except PlatformBusyError as error:
            gateway.log.record('platform_busy', reason=error.reason)
            await trio.sleep(_RETRY_INTERVAL_S)
        except PlatformUnavailableError as error:
            # Changes that are too many for one answer are read page by page.
            has_read_all &= not isinstance(error, AnswerTooLargeError)
            took_s = _record_failure(gateway, error, started_at)
            await trio.sleep(max(0, _RETRY_INTERVAL_S - took_s))


async def refresh_records(gateway: Gateway) -> bool:
    """Fetches from the platform what has changed since the known revision.

    Returns whether the platform answered.
    """
    with trio.move_on_after(_REFRESH_TIMEOUT_S):
        try:
            updates = await _read_changes(gateway)
        except (HistoryLostError, PlatformUnavailableError) as error:
            gateway.log.record('refresh_failed', reason=str(error))
        else:
            apply_updates(gateway, updates, 'platform', is_reliable=True)
            return True
    return False


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
    views = gateway.views
    updates = await (_watch(gateway) if has_read_all else _read_all(gateway))
    if updates is None:
        return True
    if views.outage.record_success():
        _log_recovery(gateway, updates.revision)
    apply_updates(gateway, updates, 'platform', is_reliable=True)
    if updates.events:
        await trio.sleep(_pause_s(gateway))
    return True


async def _read_all(gateway: Gateway) -> RecordUpdates:
    updates = await gateway.connections.store.read_all()
    _check_era(gateway, updates)
    return updates


async def _watch(gateway: Gateway) -> RecordUpdates | None:
    """Waits for changes; None if a peer reports a later era meanwhile."""
    era, revision = gateway.views.records.position
    with trio.CancelScope() as scope:
        gateway.activity.watch_scope = scope
        try:
            updates = await gateway.connections.store.watch(
                revision, _wait_s(gateway)
            )
        finally:
            gateway.activity.watch_scope = None
        _check_era(gateway, updates, era)
        return updates
    return None


async def _read_changes(gateway: Gateway) -> RecordUpdates:
    """Reads the changes, or all records if the platform was restored."""
    era, revision = gateway.views.records.position
    try:
        updates = await gateway.connections.store.read_changes(revision)
        _check_era(gateway, updates, era)
    except HistoryLostError:
        return await _read_all(gateway)
    return updates


def _check_era(
    gateway: Gateway,
    updates: RecordUpdates,
    asked_era: int | None = None,
) -> None:
    """Checks that an answer of the platform can be applied.

    Raises PlatformUnavailableError if it is older than what is known, and
    HistoryLostError if the changes do not follow the era that was asked for.
    """
    known_era = gateway.views.records.era
    if updates.era < known_era:
        raise PlatformUnavailableError(
            f'era {updates.era} is older than {known_era}'
        )
    if asked_era is not None and updates.era != asked_era:
        raise HistoryLostError('era')


def _begins_era(gateway: Gateway, updates: RecordUpdates) -> bool:
    """Returns whether a snapshot shows that the platform was rolled back."""
    records = gateway.views.records
    is_later = updates.is_snapshot and updates.era > records.era
    return is_later and records.position > (0, 0)


def _begin_rollback(
    gateway: Gateway,
    updates: RecordUpdates,
    source: str,
) -> None:
    known_era, known_revision = gateway.views.records.position
    keep_until = _keep_until(gateway)
    gateway.views.fleet.removals.begin_rollback(keep_until)
    if gateway.activity.watch_scope is not None:
        # It waits for a revision that the platform may never issue.
        gateway.activity.watch_scope.cancel()
    gateway.metrics.count('platform_rolled_back')
    gateway.log.record(
        'platform_rolled_back',
        era=updates.era,
        revision=updates.revision,
        known_era=known_era,
        known_revision=known_revision,
        source=source,
        kept_for_ms=(keep_until - gateway.clock.elapsed()) // _MS,
    )


def _keep_until(gateway: Gateway) -> timedelta:
    removal_time = milliseconds(gateway.settings.bounds.removal_ms)
    return gateway.views.outage.keep_until(removal_time)


def _wait_s(gateway: Gateway) -> float:
    """Returns how long the next watch waits; zero to test a new connection."""
    outage = gateway.views.outage
    if outage.is_ongoing:
        return 0
    return watch_wait_s(
        gateway.settings.bounds.reconnect_ms / _MS_PER_S,
        outage.since_answer.total_seconds(),
    )


def _pause_s(gateway: Gateway) -> float:
    bounds = gateway.settings.bounds
    in_force_ms = min(bounds.removal_ms, bounds.configuration_ms)
    return batch_pause_s(gateway.live_count(), in_force_ms / _MS_PER_S)


def _record_failure(
    gateway: Gateway,
    error: PlatformUnavailableError,
    started_at: timedelta,
) -> float:
    """Records a failed call; returns how long it took, in seconds."""
    took = gateway.clock.elapsed() - started_at
    gateway.metrics.count('platform_calls_failed')
    if gateway.views.outage.record_failure(started_at):
        gateway.log.record(
            'platform_unavailable',
            reason=error.reason,
            took_ms=took // _MS,
        )
    return took.total_seconds()


def _log_recovery(gateway: Gateway, revision: int) -> None:
    due = gateway.views.outage.removals_apply_at() or timedelta()
    gateway.log.record(
        'platform_recovered',
        revision=revision,
        removals_apply_in_ms=(due - gateway.clock.elapsed()) // _MS,
    )


def _apply_event(
    gateway: Gateway,
    event: RecordEvent,
    *,
    is_reliable: bool,
) -> str:
    """Applies a record or its deletion; returns the change for the log."""
    fleet = gateway.views.fleet
    published = (
        None
        if event.body is None
        else gateway.wire.decode_record(event.key, event.body)
    )
    if event.is_rolled_back:
        until = _keep_until(gateway)
        return fleet.apply_rolled_back(event.key, published, until)
    if published is not None:
        _doubt_unread(gateway, published)
        if isinstance(published, UpstreamRecord):
            gateway.views.origins.history.observe(published)
        return fleet.apply(event.key, published)
    due = gateway.views.outage.removals_apply_at()
    return fleet.remove(event.key, due if is_reliable else None)


def _doubt_unread(gateway: Gateway, published: Published) -> None:
    """Doubts an upstream known only by a peer's copy of its record.

    The platform has not answered this instance yet, so the copy may be old.
    """
    if isinstance(published, UpstreamRecord) and not (
        gateway.views.outage.has_answered
    ):
        gateway.views.fleet.doubts.add(published.name)
