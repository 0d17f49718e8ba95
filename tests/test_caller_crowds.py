"""Tests of callers outside the limits at the product's own interface."""

import json
from contextlib import asynccontextmanager

import attrs
import httpx
import pytest
import trio

from bench.deployments import BALKON, Site
from bench.fleet import FleetOptions, running_fleet
from tests.edges.crowd_forms import LARGE_BYTES, chunk
from tests.edges.crowds import Crowd, run_alone, send_crowd
from tests.edges.process_memory import Peak, watch_process

_DEPLOYMENT = attrs.evolve(
    BALKON, sites=(Site('split-a', 'dalmacija', 1, 1, 1),)
)
_KEY = _DEPLOYMENT.key_of('dalmacija')
_CHAT = '/v1/chat/completions'
_CALL = f'/v1/services/{BALKON.application}{BALKON.call_path}'
_LOOK_UP = f'/v1/services/{BALKON.application}{BALKON.lookup_path}'
_MEMORY_MB = 256
_CALLERS = 64
_MANY = 300
_LONG_ANSWER_TOKENS = 10_000
_TOKENS_PER_S = 100_000
_ANSWER_TIMEOUT_S = 30


def _head(target, *fields):
    lines = (
        f'POST {target} HTTP/1.1',
        'Host: instance',
        f'Authorization: Bearer {_KEY}',
        'Content-Type: application/json',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def _crowds(target):
    chunked = _head(target, 'Transfer-Encoding: chunked')
    full = _head(target, 'Content-Length: 4194304')
    huge = _head(target, 'Content-Length: 1000000000')
    large = chunk(LARGE_BYTES)
    return {
        'large-chunks': Crowd(_CALLERS, chunked, large, 63),
        'small-chunks': Crowd(_CALLERS, chunked, chunk(16) * 4096, 16),
        'one-byte-chunks': Crowd(_CALLERS, chunked, chunk(1) * 4096, 32),
        'declared': Crowd(_CALLERS, full, b'x' * (LARGE_BYTES - 1), 64),
        'far-too-large': Crowd(_CALLERS, huge, b'x' * LARGE_BYTES, 64),
        'never-ending': Crowd(_CALLERS, chunked, large, 128),
        'idle': Crowd(_MANY, b''),
    }


@asynccontextmanager
async def _watched_instance(folder):
    """Runs an instance; checks that it lives, answers and stayed small."""
    options = FleetOptions(
        tokens_per_s=_TOKENS_PER_S,
        slots=_CALLERS,
        limits={'memory_mb': _MEMORY_MB},
    )
    async with running_fleet(_DEPLOYMENT, folder, options) as fleet:
        name = fleet.instances()[0]
        addresses = (fleet.addresses[name], fleet.network.peer_addresses[name])
        peak = Peak()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                watch_process, fleet.processes[name], frozenset(addresses), peak
            )
            yield addresses
            nursery.cancel_scope.cancel()
        assert fleet.processes[name].poll() is None
        with trio.fail_after(_ANSWER_TIMEOUT_S):
            while not await _is_answered(addresses[0]):
                await trio.sleep(0.2)
        assert peak.memory_bytes < _MEMORY_MB * 1_000_000, peak


async def _is_answered(address):
    async with httpx.AsyncClient(trust_env=False) as client:
        try:
            answer = await client.get(
                f'http://{address}{_LOOK_UP}',
                headers={'Authorization': f'Bearer {_KEY}'},
            )
        except httpx.HTTPError:
            return False
    return answer.is_success


@pytest.mark.parametrize('target', [_CHAT, _CALL])
@pytest.mark.parametrize('form', _crowds('/'))
@run_alone
async def test_callers_do_not_exhaust_the_memory(form, target, tmp_path):
    """Guards against bodies that are bounded one by one, not together."""
    async with _watched_instance(tmp_path / 'fleet') as (callers, _):
        await send_crowd(callers, _crowds(target)[form])


@run_alone
async def test_answers_that_are_not_read_do_not_exhaust_the_memory(tmp_path):
    """Guards against what is held for callers that read slowly."""
    question = {
        'model': BALKON.model,
        'messages': [{'role': 'user', 'content': 'long'}],
        'max_tokens': _LONG_ANSWER_TOKENS,
    }
    body = json.dumps(question)
    head = _head(
        _CHAT,
        f'Masticstage-Kind: {BALKON.long_kind}',
        f'Content-Length: {len(body)}',
    )
    async with _watched_instance(tmp_path / 'fleet') as (callers, _):
        await send_crowd(callers, Crowd(_CALLERS, head + body.encode()))


@pytest.mark.parametrize('form', ['large-chunks', 'never-ending', 'idle'])
@run_alone
async def test_bytes_of_no_peer_do_not_exhaust_the_memory(form, tmp_path):
    """Guards against the same at the address of the peers."""
    async with _watched_instance(tmp_path / 'fleet') as (_, peers):
        await send_crowd(peers, _crowds(_CHAT)[form])
