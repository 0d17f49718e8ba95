"""Tests of callers that read long answers slowly, against processes."""

import pytest
import trio

from tests.edges.crowds import run_alone, watched_fleet
from tests.edges.long_answers import (
    EVENT_BYTES,
    Received,
    SlowReader,
    long_answers,
    read_all_slowly,
    read_slowly,
)

_CALLERS = 200
_STAY_S = 5
_ENDLESS = 1_000_000
#: Less than a slow reader needs for one event.
_LIMIT_MS = 3000
#: The upstream, and how many instances there are: relayed requests need two.
_PATHS = {'direct': ('north-a', 1), 'relayed': ('south-a', 2)}


@pytest.mark.parametrize('path', _PATHS)
@pytest.mark.parametrize('target', ['/stock/1', '/question/1', '/plan/1'])
@run_alone
async def test_slow_readers_do_not_exhaust_the_memory(target, path, tmp_path):
    """Guards against what is held for callers that read slowly."""
    data_centre, instances = _PATHS[path]
    async with watched_fleet(tmp_path, instances) as fleet:
        address = fleet.listeners['north-a-1']['callers']
        async with long_answers(fleet, data_centre, events=_ENDLESS):
            await read_all_slowly(
                address, SlowReader(target), _CALLERS, _STAY_S
            )


@pytest.mark.parametrize('path', _PATHS)
@pytest.mark.parametrize('target', ['/question/1', '/plan/1'])
@run_alone
async def test_a_slow_reader_gets_a_whole_stream(target, path, tmp_path):
    """Guards against streams that end while their caller reads them.

    The caller takes longer than the limit of its route for one event.
    """
    data_centre, instances = _PATHS[path]
    received = Received()
    async with watched_fleet(tmp_path, instances) as fleet:
        address = fleet.listeners['north-a-1']['callers']
        async with long_answers(
            fleet, data_centre, events=2, limit_ms=_LIMIT_MS
        ):
            await read_slowly(address, SlowReader(target), received)
    ending = bytes(received.answer[-25:])
    assert ending.endswith(b'id: 3\ndata: x\n\n\r\n0\r\n\r\n')
    assert len(received.answer) > 2 * EVENT_BYTES


@pytest.mark.parametrize('path', _PATHS)
@run_alone
async def test_a_slow_reader_gets_a_whole_answer(path, tmp_path):
    """Guards against the same for answers that are no streams."""
    data_centre, instances = _PATHS[path]
    received = Received()
    async with watched_fleet(tmp_path, instances) as fleet:
        address = fleet.listeners['north-a-1']['callers']
        async with long_answers(
            fleet, data_centre, events=1, limit_ms=_LIMIT_MS
        ):
            with trio.move_on_after(20):
                await read_slowly(address, SlowReader('/stock/1'), received)
    _, _, body = bytes(received.answer).partition(b'\r\n\r\n')
    assert body == b'x' * 400_000
