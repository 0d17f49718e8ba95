"""Tests of the store client against the stand-in of the store."""

import httpx
import pytest
import trio

from masticstage.exceptions import HistoryLostError, PlatformUnavailableError
from masticstage.forwarding.record_cache import RecordCache
from masticstage.platform.store import StoreClient
from standins.store import Store, create_app
from tests.edges.deployment import run_with_timeout


def _open_store():
    store = Store()
    transport = httpx.ASGITransport(app=create_app(store))
    return store, StoreClient('10.0.0.1:1', transport)


def _client_answered_with(response):
    return StoreClient(
        '10.0.0.1:1',
        httpx.MockTransport(lambda _: response),
    )


@run_with_timeout
async def test_all_pages_are_read():
    store, client = _open_store()
    for number in range(120):
        store.put(f'servers/{number:03}', {'n': number})

    updates = await client.read_all()

    assert len(updates.events) == 120
    assert updates.is_snapshot
    assert updates.revision == 120


@run_with_timeout
async def test_a_watch_returns_writes_and_deletions():
    store, client = _open_store()
    store.put('a', 1)
    store.put('b', 2)
    store.delete('a')

    updates = await client.watch(1, 1)

    assert [(event.key, event.body) for event in updates.events] == [
        ('b', b'2'),
        ('a', None),
    ]
    assert updates.revision == 3


@run_with_timeout
async def test_a_watch_without_changes_returns_no_events():
    _, client = _open_store()
    updates = await client.watch(0, 0.05)
    assert not updates.events


@run_with_timeout
async def test_a_write_ends_the_wait_of_a_watch():
    store, client = _open_store()
    async with trio.open_nursery() as nursery:

        async def write():
            await trio.sleep(0.05)
            store.put('a', 1)

        nursery.start_soon(write)
        with trio.fail_after(2):
            updates = await client.watch(0, 5)
    assert updates.events[0].key == 'a'


@run_with_timeout
async def test_reading_all_records_catches_up_after_a_lost_history():
    store, client = _open_store()
    cache = RecordCache()
    store.put('a', 1)
    store.put('b', 1)
    cache.apply(await client.read_all())
    store.delete('a')
    store.put('c', 1)
    store.compact()

    with pytest.raises(HistoryLostError):
        await client.watch(cache.revision, 0.1)
    changed = cache.apply(await client.read_all())

    assert {(event.key, event.body is None) for event in changed} == {
        ('a', True),
        ('c', False),
    }


@run_with_timeout
async def test_a_store_that_is_down_raises_platform_unavailable():
    store, client = _open_store()
    store.is_down = True
    with pytest.raises(PlatformUnavailableError):
        await client.read_all()


@pytest.mark.parametrize(
    'response',
    [
        httpx.Response(429),
        httpx.Response(200, text='not JSON'),
        httpx.Response(200, json={'events': []}),
        httpx.Response(200, json={'events': [{}], 'CurrentRev': 1}),
        httpx.Response(
            200,
            json={
                'events': [{'Key': 'a', 'Value': '!', 'Revision': 1}],
                'CurrentRev': 1,
            },
        ),
    ],
)
def test_an_unusable_answer_raises_platform_unavailable(response):
    @run_with_timeout
    async def check():
        with pytest.raises(PlatformUnavailableError):
            await _client_answered_with(response).watch(0, 0)

    check()
