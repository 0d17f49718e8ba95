"""Tests of callers outside the limits, against the process of an instance."""

import signal

import pytest

from tests.edges.crowd_forms import SMALL_FORMS, small_crowds
from tests.edges.crowds import Crowd, attack, fleet_with_limits, run_alone

_FEW = 32


@pytest.mark.parametrize('shape', SMALL_FORMS)
@run_alone
async def test_callers_outside_the_limits_do_not_end_an_instance(
    shape, tmp_path
):
    """Guards against callers that exhaust the memory of an instance."""
    async with fleet_with_limits(tmp_path) as fleet:
        crowd = small_crowds('/stock/1')[shape]
        await attack(fleet, 'north-a-1', 'callers', crowd)


@pytest.mark.parametrize('shape', SMALL_FORMS)
@run_alone
async def test_messages_that_are_no_relays_do_not_end_an_instance(
    shape, tmp_path
):
    """Guards against the same at the address of the peers."""
    async with fleet_with_limits(tmp_path) as fleet:
        await attack(fleet, 'north-a-1', 'peers', small_crowds('/relay')[shape])


@pytest.mark.parametrize('shape', ['large-chunks', 'one-byte-chunks', 'idle'])
@pytest.mark.parametrize('role', ['readiness', 'entries', 'metrics'])
@run_alone
async def test_other_addresses_do_not_end_an_instance(role, shape, tmp_path):
    """Guards against the same at addresses that need no bodies."""
    async with fleet_with_limits(tmp_path) as fleet:
        await attack(fleet, 'north-a-1', role, small_crowds('/')[shape])


@pytest.mark.parametrize('shape', ['large-chunks', 'small-chunks', 'declared'])
@run_alone
async def test_whole_bodies_that_are_relayed_do_not_end_an_instance(
    shape, tmp_path
):
    """Guards against relays that wait for upstreams which have stopped."""
    async with fleet_with_limits(tmp_path, instances=2) as fleet:
        for name in ('shop-north-a', 'shop-east-a'):
            await fleet.delete_record(f'servers/{name}')
        crowd = small_crowds('/stock/1')[shape]
        end = b'x' * 64 if shape == 'declared' else b'0\r\n\r\n'
        whole = crowd.start + crowd.piece * crowd.pieces + end
        fleet.processes['shop-south-a'].send_signal(signal.SIGSTOP)
        await attack(fleet, 'north-a-1', 'callers', Crowd(_FEW, whole))
        fleet.processes['shop-south-a'].send_signal(signal.SIGCONT)
