"""Tests of what an instance does when connections to the store go silent."""

from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from masticstage.composition.gateways import build_gateway
from masticstage.edges.records import (
    apply_due_removals,
    apply_updates,
    watch_records,
)
from masticstage.forwarding.record_cache import RecordEvent, RecordUpdates
from masticstage.platform.store import StoreClient
from tests.edges.deployment import build_entry_settings
from tests.edges.silent_store import SilentTransport, TrioClock
from tests.forwarding_builders import build_member

#: Interval of the ticks of an instance.
_TICK_S = 0.15
#: Bounds of deployments: when the others hold again after a disturbance, and
#: when a removed upstream gets no requests; the number of instances.
_DEPLOYMENTS = [(5, 3, 4), (6, 5, 78)]
#: Times from the start of the last batch pause to the silence.
_PHASES_S = [0.2, 0.95, 1.1, 2.0, 3.3, 4.4]
#: Times from the silence to the removal.
_REMOVALS_S = [0.05, 1.0, 1.9, 2.6, 4.0, 5.5]


def _record(name):
    return {
        'Service': 'shop',
        'Address': '10.0.0.7:80',
        'Zone': 'north-a',
        'State': 'ready',
        'Slots': 4,
        'born': 1,
        'Sequence': name,
    }


def _settings(reconnect_s, removal_s):
    return build_entry_settings(
        *['127.0.0.1:1'] * 4,
        '10.0.0.1:1',
        reconnect_ms=reconnect_s * 1000,
        removal_ms=removal_s * 1000,
        configuration_ms=removal_s * 1000,
    )


async def _tick(gateway):
    while True:
        apply_due_removals(gateway)
        await trio.sleep(_TICK_S)


@asynccontextmanager
async def _watching(reconnect_s, removal_s, instances):
    """Runs the watch of one instance of many; yields it and its transport."""
    transport = SilentTransport()
    transport.store.put('servers/u-1', _record('u-1'))
    transport.store.put('servers/u-2', _record('u-2'))
    async with trio.open_nursery() as nursery:
        gateway = build_gateway(
            _settings(reconnect_s, removal_s), TrioClock(), nursery
        )
        gateway.views.members.merge(
            build_member(f'peer-{number}') for number in range(1, instances)
        )
        client = StoreClient('10.0.0.1:1', transport)
        object.__setattr__(gateway.connections, 'store', client)
        nursery.start_soon(watch_records, gateway)
        nursery.start_soon(_tick, gateway)
        await trio.sleep(20)
        yield gateway, transport
        nursery.cancel_scope.cancel()


def _run_accelerated(function, *args):
    clock = MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


def _is_usable(gateway, name):
    return gateway.views.fleet.find(name) is not None


async def _remove_after_silence(bounds, phase_s, removal_after_s):
    """Returns whether the upstream is usable just after the bound holds."""
    reconnect_s, removal_s, _ = bounds
    async with _watching(*bounds) as (gateway, transport):
        transport.store.put('servers/u-2', _record('again'))
        await trio.sleep(phase_s)
        transport.silence()
        await trio.sleep(removal_after_s)
        transport.store.delete('servers/u-1')
        await trio.sleep(max(reconnect_s - removal_after_s, removal_s))
        assert _is_usable(gateway, 'u-2')
        return _is_usable(gateway, 'u-1')


@pytest.mark.parametrize('bounds', _DEPLOYMENTS)
@pytest.mark.parametrize('phase_s', _PHASES_S)
def test_a_removal_is_in_force_in_time_after_connections_went_silent(
    bounds, phase_s
):
    """Guards against requests to a removed upstream (review/2)."""
    late = [
        removal_after_s
        for removal_after_s in _REMOVALS_S
        if _run_accelerated(
            _remove_after_silence, bounds, phase_s, removal_after_s
        )
    ]

    assert not late


async def _remove_after_cut(bounds, cut_s, removal_after_s):
    """Returns whether the upstream is usable just after the bound holds.

    A peer tells of the removal at once.
    """
    reconnect_s, removal_s, _ = bounds
    async with _watching(*bounds) as (gateway, transport):
        transport.is_cut = True
        await trio.sleep(cut_s)
        transport.is_cut = False
        await trio.sleep(removal_after_s)
        transport.store.delete('servers/u-1')
        revision = transport.store.revision
        removal = RecordEvent('servers/u-1', revision, None)
        apply_updates(
            gateway,
            RecordUpdates((removal,), revision, is_snapshot=False),
            'peer peer-1',
            is_reliable=True,
        )
        await trio.sleep(max(reconnect_s - removal_after_s, removal_s))
        return _is_usable(gateway, 'u-1')


@pytest.mark.parametrize('bounds', _DEPLOYMENTS)
@pytest.mark.parametrize('cut_s', [0.7, 2.1, 4.2, 4.6, 5.5, 9.3])
def test_a_removal_is_in_force_in_time_after_the_path_was_cut(bounds, cut_s):
    """Guards against an outage that is assumed for an own cut (review/3)."""
    late = [
        removal_after_s
        for removal_after_s in (0.05, 0.3, 1.4, 1.9, 4.0)
        if _run_accelerated(_remove_after_cut, bounds, cut_s, removal_after_s)
    ]

    assert not late


async def _expire_during_outage(down_s):
    """Returns whether the upstream was usable all the time."""
    async with _watching(*_DEPLOYMENTS[0]) as (gateway, transport):
        transport.store.is_down = True
        await trio.sleep(down_s)
        transport.store.delete('servers/u-1')
        transport.store.is_down = False
        was_usable = []
        for step in range(60):
            if step == 19:
                transport.store.put('servers/u-1', _record('u-1'))
            was_usable.append(_is_usable(gateway, 'u-1'))
            await trio.sleep(0.1)
        return all(was_usable)


@pytest.mark.parametrize('down_s', [5.0, 8.0, 20.0])
def test_upstreams_that_expired_in_an_outage_stay_usable(down_s):
    """Guards against dropping live upstreams when the store returns."""
    assert _run_accelerated(_expire_during_outage, down_s)


async def _watch_while_rejected():
    """Returns whether a removal is in force after calls were rejected."""
    async with _watching(*_DEPLOYMENTS[0]) as (gateway, transport):
        transport.is_rejecting = True
        await trio.sleep(6)
        transport.store.delete('servers/u-1')
        transport.is_rejecting = False
        await trio.sleep(1)
        return not _is_usable(gateway, 'u-1')


def test_rejections_for_the_rate_limit_are_no_outage():
    """Guards against deferring removals of a store that is up."""
    assert _run_accelerated(_watch_while_rejected)
