"""Tests of callers outside the limits, against the process of an instance."""

import signal

import pytest

from bench.platform_fleet import HOST
from tests.edges.crowds import Crowd, attack, fleet_with_limits, run_alone

_LARGE = 65536
_FEW = 32
_MANY = 300


def _head(target, *fields):
    lines = (
        f'POST {target} HTTP/1.1',
        f'Host: {HOST}',
        'X-Request-Id: crowd',
        'X-Deadline-Ms: 3000',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def _chunk(size):
    return b'%x\r\n%b\r\n' % (size, b'x' * size)


def _crowds(target):
    chunked = _head(target, 'Transfer-Encoding: chunked')
    full = _head(target, 'Content-Length: 4194304')
    huge = _head(target, 'Content-Length: 1000000000')
    return {
        'large-chunks': Crowd(_FEW, chunked, _chunk(_LARGE), 63),
        'small-chunks': Crowd(_FEW, chunked, _chunk(16) * 4096, 16),
        'one-byte-chunks': Crowd(_FEW, chunked, _chunk(1) * 4096, 32),
        'declared': Crowd(_FEW, full, b'x' * (_LARGE - 1), 64),
        'far-too-large': Crowd(_FEW, huge, b'x' * _LARGE, 64),
        'never-ending': Crowd(_FEW, chunked, _chunk(_LARGE), 128),
        'endless-head': Crowd(
            _FEW, f'POST {target} HTTP/1.1\r\n'.encode(), b'x: y\r\n' * 8192, 32
        ),
        'one-byte-at-a-time': Crowd(_MANY, b'', b'POST / HTTP', 200, 0.03),
        'idle': Crowd(_MANY, b''),
    }


_SHAPES = tuple(_crowds('/'))


@pytest.mark.parametrize('shape', _SHAPES)
@run_alone
async def test_callers_outside_the_limits_do_not_end_an_instance(
    shape, tmp_path
):
    """Guards against callers that exhaust the memory of an instance."""
    async with fleet_with_limits(tmp_path) as fleet:
        crowd = _crowds('/stock/1')[shape]
        await attack(fleet, 'north-a-1', 'callers', crowd)


@pytest.mark.parametrize('shape', _SHAPES)
@run_alone
async def test_messages_that_are_no_relays_do_not_end_an_instance(
    shape, tmp_path
):
    """Guards against the same at the address of the peers."""
    async with fleet_with_limits(tmp_path) as fleet:
        await attack(fleet, 'north-a-1', 'peers', _crowds('/relay')[shape])


@pytest.mark.parametrize('shape', ['large-chunks', 'one-byte-chunks', 'idle'])
@pytest.mark.parametrize('role', ['readiness', 'entries', 'metrics'])
@run_alone
async def test_other_addresses_do_not_end_an_instance(role, shape, tmp_path):
    """Guards against the same at addresses that need no bodies."""
    async with fleet_with_limits(tmp_path) as fleet:
        await attack(fleet, 'north-a-1', role, _crowds('/')[shape])


@pytest.mark.parametrize('shape', ['large-chunks', 'small-chunks', 'declared'])
@run_alone
async def test_whole_bodies_that_are_relayed_do_not_end_an_instance(
    shape, tmp_path
):
    """Guards against relays that wait for upstreams which have stopped."""
    async with fleet_with_limits(tmp_path, instances=2) as fleet:
        for name in ('shop-north-a', 'shop-east-a'):
            await fleet.delete_record(f'servers/{name}')
        crowd = _crowds('/stock/1')[shape]
        end = b'x' * 64 if shape == 'declared' else b'0\r\n\r\n'
        whole = crowd.start + crowd.piece * crowd.pieces + end
        fleet.processes['shop-south-a'].send_signal(signal.SIGSTOP)
        await attack(fleet, 'north-a-1', 'callers', Crowd(_FEW, whole))
        fleet.processes['shop-south-a'].send_signal(signal.SIGCONT)
