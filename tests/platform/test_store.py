"""Tests of reading and watching the store, over its stand-in."""

import httpx
import pytest
import trio

from masticstage.exceptions import HistoryLostError, PlatformUnavailableError
from masticstage.forwarding.replica import RecordReplica
from masticstage.platform.store import StoreClient
from standins.store import Store, create_app
from tests.edges.deployment import run_with_timeout


def _open():
    store = Store()
    transport = httpx.ASGITransport(app=create_app(store))
    return store, StoreClient('10.0.0.1:1', transport)


def _answering(response):
    return StoreClient(
        '10.0.0.1:1',
        httpx.MockTransport(lambda _: response),
    )


@run_with_timeout
async def test_all_pages_are_read():
    store, client = _open()
    for number in range(120):
        store.put(f'servers/{number:03}', {'n': number})

    news = await client.read_all()

    assert len(news.events) == 120
    assert news.is_snapshot
    assert news.revision == 120


@run_with_timeout
async def test_a_watch_tells_writes_and_deletions():
    store, client = _open()
    store.put('a', 1)
    store.put('b', 2)
    store.delete('a')

    news = await client.watch(1, 1)

    assert [(one.key, one.body) for one in news.events] == [
        ('b', b'2'),
        ('a', None),
    ]
    assert news.revision == 3


@run_with_timeout
async def test_a_watch_without_changes_ends_empty():
    _, client = _open()
    news = await client.watch(0, 0.05)
    assert not news.events


@run_with_timeout
async def test_a_write_wakes_a_watch():
    store, client = _open()
    async with trio.open_nursery() as nursery:

        async def write():
            await trio.sleep(0.05)
            store.put('a', 1)

        nursery.start_soon(write)
        with trio.fail_after(2):
            news = await client.watch(0, 5)
    assert news.events[0].key == 'a'


@run_with_timeout
async def test_a_lost_history_is_told_apart_and_reading_again_catches_up():
    store, client = _open()
    image = RecordReplica()
    store.put('a', 1)
    store.put('b', 1)
    image.apply(await client.read_all())
    store.delete('a')
    store.put('c', 1)
    store.compact()

    with pytest.raises(HistoryLostError):
        await client.watch(image.revision, 0.1)
    changed = image.apply(await client.read_all())

    assert {(one.key, one.body is None) for one in changed} == {
        ('a', True),
        ('c', False),
    }


@run_with_timeout
async def test_a_store_that_is_down_is_unavailable():
    store, client = _open()
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
def test_a_strange_answer_is_unavailable(response):
    @run_with_timeout
    async def check():
        with pytest.raises(PlatformUnavailableError):
            await _answering(response).watch(0, 0)

    check()
