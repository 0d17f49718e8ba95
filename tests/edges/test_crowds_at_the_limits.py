"""Tests of crowds as large as an instance admits, with unread bytes counted."""

import signal
from contextlib import contextmanager

import pytest
import trio

from tests.edges.crowd_forms import (
    HANDLED_FORMS,
    LARGE_BYTES,
    LARGE_FORMS,
    chunk,
    head,
    large_crowds,
)
from tests.edges.crowds import (
    CALLERS,
    OTHERS,
    PEERS,
    Crowd,
    run_alone,
    send_crowd,
    watched_fleet,
)
from tests.edges.leaving_callers import relay

_NAME = 'north-a-1'
_CALL = '/stock/1'
_STREAM = '/question/1'
_RELAYED_BODY = head(_CALL, 'Transfer-Encoding: chunked') + (
    chunk(LARGE_BYTES) * 2 + b'0\r\n\r\n'
)


@contextmanager
def _standing_still(fleet, names):
    """Makes upstreams stand still, so that requests to them are handled."""
    for name in names:
        fleet.processes[name].send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for name in names:
            fleet.processes[name].send_signal(signal.SIGCONT)


def _upstreams(form, data_centre='north-a'):
    return [f'{name}-{data_centre}' for name in HANDLED_FORMS.get(form, ())]


async def _send_all(fleet, crowds):
    """Sends a crowd to each of some addresses at once."""
    async with trio.open_nursery() as nursery:
        for role, crowd in crowds.items():
            nursery.start_soon(send_crowd, fleet.listeners[_NAME][role], crowd)


@pytest.mark.parametrize('target', [_CALL, _STREAM])
@pytest.mark.parametrize('form', LARGE_FORMS)
@run_alone
async def test_callers_do_not_exhaust_the_memory(form, target, tmp_path):
    """Guards against what connections hold beside counted bodies."""
    async with watched_fleet(tmp_path) as fleet:
        with _standing_still(fleet, _upstreams(form)):
            crowd = large_crowds(target, CALLERS)[form]
            await _send_all(fleet, {'callers': crowd})


@pytest.mark.parametrize(
    'form', ['large-chunks', 'small-chunks', 'one-byte-chunks', 'never-ending']
)
@run_alone
async def test_messages_of_no_peer_do_not_exhaust_the_memory(form, tmp_path):
    """Guards against the same at the address of the peers."""
    async with watched_fleet(tmp_path) as fleet:
        crowd = large_crowds('/relay', PEERS)[form]
        await _send_all(fleet, {'peers': crowd})


@run_alone
async def test_bytes_behind_relays_do_not_exhaust_the_memory(tmp_path):
    """Guards against peers that send on while their relay is handled."""
    async with watched_fleet(tmp_path) as fleet:
        with _standing_still(fleet, _upstreams('behind-a-request')):
            start = relay('crowd', 'shop-north-a')
            crowd = Crowd(PEERS, start, b'y' * LARGE_BYTES, 64)
            await _send_all(fleet, {'peers': crowd})


@pytest.mark.parametrize(
    'form', ['large-chunks', 'one-byte-chunks', 'behind-a-request']
)
@run_alone
async def test_all_addresses_together_do_not_exhaust_the_memory(form, tmp_path):
    """Guards against bounds that hold for one address at a time."""
    each = OTHERS // 3
    async with watched_fleet(tmp_path) as fleet:
        with _standing_still(fleet, _upstreams(form)):
            await _send_all(
                fleet,
                {
                    'callers': large_crowds(_CALL, CALLERS)[form],
                    'peers': large_crowds('/relay', PEERS)[form],
                    'entries': large_crowds('/', each)[form],
                    'readiness': large_crowds('/', each)[form],
                    'metrics': large_crowds('/', each)[form],
                },
            )


@pytest.mark.parametrize(
    'form', ['large-chunks', 'behind-a-request', 'whole-body']
)
@run_alone
async def test_relayed_requests_do_not_exhaust_the_memory(form, tmp_path):
    """Guards against the same in both instances of a relayed request."""
    async with watched_fleet(tmp_path, instances=2) as fleet:
        for name in ('shop-north-a', 'shop-east-a'):
            await fleet.delete_record(f'servers/{name}')
        crowds = {
            **large_crowds(_CALL, CALLERS),
            'whole-body': Crowd(CALLERS, _RELAYED_BODY),
        }
        with _standing_still(fleet, ['shop-south-a']):
            await _send_all(fleet, {'callers': crowds[form]})


@pytest.mark.parametrize('role', ['entries', 'metrics'])
@run_alone
async def test_answers_that_are_not_read_do_not_exhaust_the_memory(
    role, tmp_path
):
    """Guards against callers that ask again and read no answer."""
    asked = b'GET / HTTP/1.1\r\nHost: any\r\n\r\n' * 500
    async with watched_fleet(tmp_path) as fleet:
        await _send_all(fleet, {role: Crowd(OTHERS, b'', asked, 200)})
