"""Follows the records that the platform publishes."""

from typing import Final

import trio

from masticstage.edges.gateway import Gateway
from masticstage.exceptions import HistoryLostError, PlatformUnavailableError
from masticstage.forwarding.image import News, RecordEvent

#: Length of one watch; each call has its price. A silent one is noticed 0.9 s
#: after its end. With the pauses below that is before the least bound on
#: configurations (3 s) holds again, 5 s after the connections went silent.
WATCH_S: Final = 5.0
#: Pause after a watch that brought changes: those of a start or a release come
#: together. What one instance knows the others learn within half a second.
GATHER_S: Final = 1.0
#: Pause after a failed call; the platform's rate is shared by all instances.
RETRY_S: Final = 0.4
#: Time for the refresh of the view after a standstill.
_REFRESH_S: Final = 0.6
#: Pause between two looks at absences that are not believed yet.
_ABSENCE_S: Final = 0.2


def apply_updates(
    gateway: Gateway,
    news: News,
    source: str,
    *,
    is_sound: bool,
) -> None:
    """Merges news from the platform or a peer and applies what changed.

    `is_sound` tells that the source's platform is not in trouble.
    """
    before = gateway.views.records.revision
    for event in gateway.views.records.take(news):
        changed = _apply(gateway, event, is_sound=is_sound)
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
    """Reads and watches the records, for the life of the process."""
    is_known = False
    while True:
        try:
            is_known = await _follow_once(gateway, is_known=is_known)
        except HistoryLostError:
            gateway.log.record('history_lost')
            is_known = False
        except PlatformUnavailableError as error:
            if gateway.views.trouble.note_failure():
                gateway.log.record('platform_lost', reason=error.reason)
            await trio.sleep(RETRY_S)


async def refresh_records(gateway: Gateway) -> None:
    """Asks the platform and all peers at once what has changed."""
    with trio.move_on_after(_REFRESH_S):
        revision = gateway.views.records.revision
        try:
            news = await gateway.connections.store.watch(revision, 0)
        except (HistoryLostError, PlatformUnavailableError) as error:
            gateway.log.record('refresh_failed', reason=str(error))
        else:
            apply_updates(gateway, news, 'platform', is_sound=True)


async def apply_held_deletions(gateway: Gateway) -> None:
    """Drops records that stayed away after the platform's return."""
    while True:
        await trio.sleep(_ABSENCE_S)
        views = gateway.views
        due = views.trouble.believe_at()
        for name in views.fleet.believe_absences(due):
            gateway.log.record('absence_believed', upstream=name)


async def _follow_once(gateway: Gateway, *, is_known: bool) -> bool:
    store, image = gateway.connections.store, gateway.views.records
    if is_known:
        news = await store.watch(image.revision, WATCH_S)
    else:
        news = await store.read_all()
    if gateway.views.trouble.note_answer():
        gateway.log.record('platform_regained', revision=news.revision)
    apply_updates(gateway, news, 'platform', is_sound=True)
    if news.events:
        await trio.sleep(GATHER_S)
    return True


def _apply(gateway: Gateway, event: RecordEvent, *, is_sound: bool) -> str:
    view = gateway.views.fleet
    if event.body is not None:
        return view.take(
            event.key,
            gateway.wire.decode_record(event.key, event.body),
        )
    due = gateway.views.trouble.believe_at()
    return view.withdraw(event.key, due if is_sound else None)
