"""Tests of instances whose store is restored from an older copy."""

from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

import httpx
import pytest
import trio
from trio.testing import MockClock

from bench.platform_fleet import build_platform_configuration
from masticstage import peer_pb2 as pb
from masticstage.composition.gateways import build_gateway
from masticstage.edges.http_client import OutgoingRequest, connect
from masticstage.edges.records import (
    apply_due_removals,
    apply_updates,
    refresh_records,
    watch_records,
)
from masticstage.forwarding.record_cache import RecordUpdates
from masticstage.platform.store import StoreClient
from standins.serving import serve_app
from standins.store import Store, create_app
from tests.edges.deployment import (
    build_entry_settings,
    deploy_two_regions,
    run_with_timeout,
)
from tests.edges.silent_store import SilentTransport, TrioClock
from tests.forwarding_builders import build_table

#: Time of a drill without the store.
_DOWN_S = 1.5
_COPIED_REVISION = 3


def _upstream(born=1):
    return {
        'Service': 'shop',
        'Address': '10.0.0.7:80',
        'Zone': 'north-a',
        'State': 'ready',
        'Slots': 4,
        'born': born,
    }


def _configuration(version):
    return {**build_platform_configuration(), 'Version': version}


def _write_what_the_copy_has(store):
    store.put('op/config', _configuration(1))
    store.put('servers/old', _upstream())
    store.put('servers/restarted', _upstream())


def _write_what_is_lost(store):
    """Makes four writes, or the last two of them again."""
    store.delete('servers/old')
    store.put('servers/restarted', _upstream(born=2))
    _write_again(store)


def _write_again(store):
    store.put('servers/new', _upstream())
    store.put('op/config', _configuration(2))


async def _drill(store):
    store.is_down = True
    await trio.sleep(_DOWN_S)
    store.roll_back(store.revision - _COPIED_REVISION)
    store.is_down = False


async def _tick(gateway):
    while True:
        apply_due_removals(gateway)
        await trio.sleep(0.15)


@asynccontextmanager
async def _watching():
    """Runs the watch of an instance that has seen all writes."""
    transport = SilentTransport()
    _write_what_the_copy_has(transport.store)
    async with trio.open_nursery() as nursery:
        settings = build_entry_settings(*['127.0.0.1:1'] * 5)
        gateway = build_gateway(settings, TrioClock(), nursery)
        client = StoreClient('10.0.0.1:1', transport)
        object.__setattr__(gateway.connections, 'store', client)
        nursery.start_soon(watch_records, gateway)
        nursery.start_soon(_tick, gateway)
        await trio.sleep(10)
        _write_what_is_lost(transport.store)
        await trio.sleep(10)
        assert _starts(gateway) == {'new': 1, 'restarted': 2}
        yield gateway, transport
        nursery.cancel_scope.cancel()


def _run_accelerated(function, *args):
    return trio.run(function, *args, clock=MockClock(autojump_threshold=0))


def _starts(gateway):
    """Returns the start of each upstream that may get requests."""
    return {
        known.record.name: known.record.started_at_ms
        for known in gateway.views.fleet.upstreams_of('shop')
    }


def _version(gateway):
    return gateway.views.fleet.table.version


async def _check_drills(count, *, is_written_between):
    async with _watching() as (gateway, transport):
        store = transport.store
        for _ in range(count):
            await _drill(store)
            await trio.sleep(1)
            assert gateway.views.records.position == (
                store.era,
                _COPIED_REVISION,
            )
            # Nothing of the copy is in use, all that it lacks is.
            assert _starts(gateway) == {'new': 1, 'restarted': 2}
            assert _version(gateway) == 2
            await trio.sleep(1)
            if store.era < count and is_written_between:
                _write_what_is_lost(store)
            if store.era < count:
                await trio.sleep(3)
        _write_again(store)
        await trio.sleep(10)

        assert _starts(gateway) == {'new': 1}
        assert _version(gateway) == 2
        assert gateway.views.records.position[0] == count


@pytest.mark.parametrize(
    ('drills', 'is_written_between'), [(1, False), (2, True), (2, False)]
)
def test_a_restored_copy_takes_and_brings_nothing_back(
    drills, is_written_between
):
    """Guards against dropped and against returning upstreams after a drill.

    A second one comes before the time to keep what the first copy lacked ends.
    """
    check = partial(_check_drills, is_written_between=is_written_between)
    _run_accelerated(check, drills)


async def _check_revisions_that_are_issued_again():
    async with _watching() as (gateway, transport):
        store = transport.store
        transport.is_cut = True
        store.roll_back(4)
        _write_again(store)
        for number in range(8):
            store.put('servers/other', _upstream(number))
        transport.is_cut = False
        await trio.sleep(4)
        assert gateway.views.records.position == (1, store.revision)
        assert _starts(gateway)['other'] == 7


def test_a_drill_is_noticed_whose_revisions_are_issued_again():
    """Guards against changes of a new era that are added to an old state."""
    _run_accelerated(_check_revisions_that_are_issued_again)


async def _check_deletion():
    async with _watching() as (gateway, transport):
        await _drill(transport.store)
        await trio.sleep(6)
        transport.store.put('servers/new', _upstream())
        await trio.sleep(3)
        transport.store.delete('servers/new')
        await trio.sleep(3)
        assert 'new' not in _starts(gateway)


def test_a_deletion_in_a_new_era_is_in_force_in_time():
    """Guards against deletions that are ignored for their revision."""
    _run_accelerated(_check_deletion)


async def _check_answers_of_other_eras(era):
    async with _watching() as (gateway, transport):
        store = transport.store
        for _ in range(2):
            await _drill(store)
            await trio.sleep(1)
        current = store.era
        store.era = era
        store.put('servers/stale', _upstream())
        calls = store.calls
        await trio.sleep(4)
        assert gateway.views.outage.is_ongoing
        assert store.calls - calls <= 4 / 0.4 + 1
        assert gateway.views.records.era == current
        assert 'stale' not in _starts(gateway)

        store.era = current
        await trio.sleep(2)
        assert 'stale' in _starts(gateway)


@pytest.mark.parametrize('era', [0, -1, 1])
def test_answers_without_an_era_or_of_another_one_are_ignored(era):
    """Guards against answers of an earlier era that are applied in a later.

    They count as failed calls and are not asked for without a pause.
    """
    _run_accelerated(_check_answers_of_other_eras, era)


async def _check_silent_watch():
    async with _watching() as (gateway, transport):
        store = transport.store
        transport.silence()
        store.roll_back(4)
        client = StoreClient('10.0.0.1:1', SilentTransport(store))
        news = await client.read_all()
        calls = store.calls
        apply_updates(gateway, news, 'peer other', is_reliable=True)
        await trio.sleep(0.5)
        assert store.calls == calls + 1

        store.put('servers/later', _upstream())
        await trio.sleep(0.5)
        assert 'later' in _starts(gateway)


def test_a_watch_ends_when_a_peer_reports_a_later_era():
    """Guards against a watch that waits for a revision of an earlier era."""
    _run_accelerated(_check_silent_watch)


async def _check_refresh():
    async with _watching() as (gateway, transport):
        transport.is_cut = True
        transport.store.roll_back(4)
        transport.is_cut = False
        await refresh_records(gateway)
        return gateway.views.records.position


def test_a_paused_instance_learns_the_new_era_with_its_refresh():
    assert _run_accelerated(_check_refresh) == (1, 3)


async def _wait_until(condition):
    with trio.fail_after(8):
        while not condition():
            await trio.sleep(0.05)


@run_with_timeout
async def test_an_instance_without_the_store_learns_the_new_era_from_a_peer():
    """Guards against peers of which one keeps the lost state for good."""
    store = Store()
    _write_what_the_copy_has(store)
    async with deploy_two_regions() as (deployment, far):
        near = deployment.gateway
        far.spawn(serve_app, create_app(store), far.settings.store.address)
        _write_what_is_lost(store)
        await _wait_until(lambda: near.views.records.position == (0, 7))

        await _drill(store)
        await _wait_until(lambda: near.views.records.position == (1, 3))
        kept = _starts(near)
        store.delete('servers/old')
        await _wait_until(lambda: near.views.records.position == (1, 4))

        assert far.views.records.position == (1, 4)
        # A snapshot would not show what came after revision 3.
        assert not near.views.records.updates_since(3, 1).is_snapshot
        assert kept['new'] == 1
        assert kept['restarted'] == 2


@run_with_timeout
async def test_an_instance_that_starts_after_a_drill_learns_what_was_lost():
    """Guards against revoked keys in an instance that knows only the copy."""
    store = Store()
    app = httpx.ASGITransport(app=create_app(store))
    client = StoreClient('10.0.0.1:1', app)
    _write_what_the_copy_has(store)
    answers = [await client.read_all()]
    _write_what_is_lost(store)
    answers.append(await client.watch(_COPIED_REVISION, 0))
    store.roll_back(4)
    answers.append(await client.read_all())
    async with deploy_two_regions(build_table(0)) as (deployment, far):
        near = deployment.gateway
        for updates in answers:
            apply_updates(far, updates, 'platform', is_reliable=True)
            far.views.fleet.apply_due_removals(timedelta())
        apply_updates(near, answers[-1], 'platform', is_reliable=True)
        assert _version(near) == 1

        await _wait_until(lambda: _version(near) == 2)

        starts = _starts(near)
        assert (starts['restarted'], starts['new']) == (2, 1)
        assert 'old' not in starts
        # They are not passed on, which would keep them beyond the bound.
        assert not (await _fetch(near)).lost


async def _fetch(gateway, **known):
    """Asks an instance for records, as a peer that knows a position."""
    peer = await connect(gateway.settings.listen.peers, 1, gateway.clock)
    body = pb.PublishedNews(**known).SerializeToString()
    request = OutgoingRequest(b'POST', b'/news', ((b'host', b'peer'),), body)
    await peer.send(request, gateway.spawn)
    await peer.read_head()
    news = pb.PublishedNews.FromString(await peer.read_body())
    peer.close()
    return news


@run_with_timeout
async def test_peers_of_other_eras_get_all_records():
    """Guards against changes that an older program adds to a lost state."""
    async with deploy_two_regions() as (_, far):
        snapshot = RecordUpdates((), 5, is_snapshot=True, era=2)
        apply_updates(far, snapshot, 'platform', is_reliable=True)

        same = await _fetch(far, revision=5, era=2)
        earlier = await _fetch(far, revision=7, era=1)
        older_program = await _fetch(far, revision=5)

        assert not same.is_whole
        assert earlier.is_whole
        assert older_program.is_whole
        assert {same.era, earlier.era, older_program.era} == {2}
