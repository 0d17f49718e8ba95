"""Tests of the store client against a stand-in store that rolls back."""

import httpx
import pytest

from masticstage.exceptions import HistoryLostError, PlatformUnavailableError
from masticstage.forwarding.record_cache import RecordCache
from masticstage.platform.eras import read_era
from masticstage.platform.store import StoreClient
from standins.store import Store, create_app
from tests.edges.deployment import run_with_timeout


async def _open_filled_store():
    """Returns a store at revision 3, its client and a cache of its records."""
    store, cache = Store(), RecordCache()
    client = StoreClient(
        '10.0.0.1:1', httpx.ASGITransport(app=create_app(store))
    )
    for key in ('a', 'b', 'late'):
        store.put(key, 1)
    cache.apply(await client.read_all())
    return store, client, cache


def _live_keys(cache):
    events = cache.updates_since(0).events
    return {event.key for event in events if event.body is not None}


@run_with_timeout
async def test_a_snapshot_of_a_lower_revision_replaces_lost_writes():
    """Guards against lost records that stay since their revision is higher."""
    store, client, cache = await _open_filled_store()
    store.roll_back(2)

    cache.apply(await client.read_all())

    assert _live_keys(cache) == {'a'}


@run_with_timeout
async def test_a_deletion_at_a_lower_revision_is_effective():
    """Guards against deletions that are ignored after a restore."""
    store, client, cache = await _open_filled_store()
    store.put('a', 2)
    store.roll_back(2)
    cache.apply(await client.read_all())
    store.delete('a')

    cache.apply(await client.watch(cache.revision, 0))

    assert _live_keys(cache) == {'b'}


@run_with_timeout
async def test_changes_are_learnt_after_a_watch_of_an_unknown_revision():
    """Guards against watches that fail for ever after a restore."""
    store, client, cache = await _open_filled_store()
    store.roll_back(2)
    with pytest.raises(HistoryLostError):
        await client.watch(cache.revision, 0)
    cache.apply(await client.read_all())
    store.put('c', 1)

    cache.apply(await client.watch(cache.revision, 0))

    assert _live_keys(cache) == {'a', 'c'}


class _DrillAfterEachAnswer(httpx.ASGITransport):
    """Restores the store after each of its answers."""

    def __init__(self, store):
        super().__init__(app=create_app(store))
        self._store = store

    async def handle_async_request(self, request):
        answer = await super().handle_async_request(request)
        self._store.roll_back(1)
        return answer


@run_with_timeout
async def test_pages_of_several_eras_are_not_put_together():
    """Guards against a snapshot of which a part is lost."""
    store = Store()
    for number in range(120):
        store.put(f'servers/{number:03}', {'n': number})
    client = StoreClient('10.0.0.1:1', _DrillAfterEachAnswer(store))

    with pytest.raises(PlatformUnavailableError):
        await client.read_all()


@pytest.mark.parametrize('text', ['', '-1', '1.5', '9' * 19, '9' * 99, '²'])
def test_a_malformed_era_is_none(text):
    """Guards against eras that no message to a peer can hold."""
    assert read_era({'store-era': text}) == 0
