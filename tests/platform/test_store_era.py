"""Tests of the store client against a stand-in store that rolls back."""

import httpx
import pytest

from masticstage.exceptions import HistoryLostError
from masticstage.forwarding.record_cache import RecordCache
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
