"""Follows the records that the platform publishes."""

from typing import Final

import trio

from masticstage.edges.gateway import Gateway
from masticstage.exceptions import HistoryLostError, PlatformUnavailableError
from masticstage.forwarding.replica import RecordEvent, RecordUpdates

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


def take_news(
    gateway: Gateway,
    news: RecordUpdates,
    source: str,
    *,
    is_sound: bool,
) -> None:
    """Merges news from the platform or a peer and applies what changed.

    `is_sound` tells that the source's platform is not in trouble.
    """
    before = gateway.beliefs.image.revision
    for event in gateway.beliefs.image.apply(news):
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


async def follow_records(gateway: Gateway) -> None:
    """Reads and watches the records, for the life of the process."""
    is_known = False
    while True:
        try:
            is_known = await _follow_once(gateway, is_known=is_known)
        except HistoryLostError:
            gateway.log.record('history_lost')
            is_known = False
        except PlatformUnavailableError as error:
            if gateway.beliefs.trouble.record_failure():
                gateway.log.record('platform_lost', reason=error.reason)
            await trio.sleep(RETRY_S)


async def refresh(gateway: Gateway) -> None:
    """Asks the platform and all peers at once what has changed."""
    with trio.move_on_after(_REFRESH_S):
        revision = gateway.beliefs.image.revision
        try:
            news = await gateway.links.store.watch(revision, 0)
        except (HistoryLostError, PlatformUnavailableError) as error:
            gateway.log.record('refresh_failed', reason=str(error))
        else:
            take_news(gateway, news, 'platform', is_sound=True)


async def believe_absences(gateway: Gateway) -> None:
    """Drops records that stayed away after the platform's return."""
    while True:
        await trio.sleep(_ABSENCE_S)
        beliefs = gateway.beliefs
        due = beliefs.trouble.removals_apply_at()
        for name in beliefs.view.apply_due_removals(due):
            gateway.log.record('absence_believed', upstream=name)


async def _follow_once(gateway: Gateway, *, is_known: bool) -> bool:
    store, image = gateway.links.store, gateway.beliefs.image
    if is_known:
        news = await store.watch(image.revision, WATCH_S)
    else:
        news = await store.read_all()
    if gateway.beliefs.trouble.record_success():
        gateway.log.record('platform_regained', revision=news.revision)
    take_news(gateway, news, 'platform', is_sound=True)
    if news.events:
        await trio.sleep(GATHER_S)
    return True


def _apply(gateway: Gateway, event: RecordEvent, *, is_sound: bool) -> str:
    view = gateway.beliefs.view
    if event.body is not None:
        return view.apply(
            event.key,
            gateway.wire.decode_record(event.key, event.body),
        )
    due = gateway.beliefs.trouble.removals_apply_at()
    return view.remove(event.key, due if is_sound else None)
