"""Measures one instance on one core: streams, calls, delays and memory."""

import json
import os
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from pathlib import Path
from random import Random
from typing import Any, Final

import attrs
import fire
import httpx
import trio
from hdrh.histogram import HdrHistogram

from bench.callers import create_pool
from bench.deployments import BALKON, Deployment, Site, engine_names
from bench.fleet import Fleet, FleetOptions, running_fleet
from masticstage.caller import Caller

_REGION: Final = 'dalmacija'
_SINGLE_INSTANCE: Final = attrs.evolve(
    BALKON,
    sites=(Site('split-a', _REGION, 1, 4, 1),),
)
#: Load of one instance at the expected size of the system: requests, and tokens
#: of each stream.
REQUESTS_PER_S: Final = 72
TOKENS_PER_S: Final = 13
STREAMS: Final = (100, 200, 300, 400, 800, 1200)
_DURATION_S: Final = 8
_ENGINE_SLOTS: Final = 600
#: Microseconds in a second, bytes in a megabyte.
_MILLION: Final = 1_000_000
#: Positions in /proc/PID/stat after the name of the program.
_USER_TICKS: Final = 11
_SYSTEM_TICKS: Final = 12
_HIGHEST_US: Final = 60_000_000

_SendRequest = Callable[[int], Awaitable[object]]


async def measure_streams(fleet: Fleet, streams: int) -> dict[str, Any]:
    """Measures streams through the instance and directly from its engines."""
    instance = fleet.processes['split-a-0']
    start_times_s = (processor_time_s(instance.pid), time.monotonic())
    entry = f'http://{fleet.addresses["split-a-0"]}'
    via_instance = await _run_stream_clients(fleet, (entry, entry), streams)
    processor_used_s = processor_time_s(instance.pid) - start_times_s[0]
    elapsed_s = time.monotonic() - start_times_s[1]
    engines = [
        f'http://{fleet.addresses[name]}'
        for name in engine_names(fleet.deployment.sites[0])
    ]
    direct = await _run_stream_clients(fleet, engines[:2], streams)
    received = sum(measurement['received'] for measurement in via_instance)
    return {
        'measure': 'streams',
        'streams': streams,
        'tokens_per_s': round(received / elapsed_s),
        'whole': sum(measurement['whole'] for measurement in via_instance),
        'failed': sum(measurement['failed'] for measurement in via_instance),
        'p95_ms': max(measurement['p95_ms'] for measurement in via_instance),
        'direct_p95_ms': max(measurement['p95_ms'] for measurement in direct),
        'core_share': round(processor_used_s / elapsed_s, 3),
        'us_per_token': round(processor_used_s / max(received, 1) * _MILLION),
        'resident_mb': round(resident_bytes(instance.pid) / _MILLION),
    }


async def measure_calls(fleet: Fleet) -> AsyncIterator[dict[str, Any]]:
    """Measures latencies at the expected rate of requests.

    Yields one line each for direct requests, and for look-ups and at-most-once
    calls through the instance.
    """
    pool = create_pool(fleet, Random(1))
    caller = pool.callers[_REGION]
    address = f'http://{fleet.addresses["split-a-app-0"]}'
    async with httpx.AsyncClient(trust_env=False) as client:
        sends: dict[str, _SendRequest] = {
            'direct': lambda _: client.get(f'{address}/stock?claim=1'),
            'look_up': lambda number: _look_up(
                fleet.deployment,
                caller,
                number,
            ),
            'once': lambda number: _run_once(fleet.deployment, caller, number),
        }
        for name, send in sends.items():
            histogram = await run_at_rate(send, REQUESTS_PER_S, _DURATION_S)
            yield {
                'measure': 'calls',
                'call': name,
                'requests_per_s': REQUESTS_PER_S,
                'p50_ms': histogram.get_value_at_percentile(50) / 1000,
                'p99_ms': histogram.get_value_at_percentile(99) / 1000,
            }
    await pool.close()


async def run_at_rate(
    send: _SendRequest,
    rate_per_s: float,
    duration_s: float,
) -> HdrHistogram:
    """Calls `send` at a steady rate; returns its latencies in microseconds."""
    histogram = HdrHistogram(1, _HIGHEST_US, 2)

    async def send_timed(number: int) -> None:
        start_s = time.monotonic()
        await send(number)
        elapsed_s = time.monotonic() - start_s
        histogram.record_value(round(elapsed_s * _MILLION))

    start_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(int(rate_per_s * duration_s)):
            await trio.sleep_until(start_s + number / rate_per_s)
            nursery.start_soon(send_timed, number)
    return histogram


async def _look_up(
    deployment: Deployment,
    caller: Caller,
    number: int,
) -> None:
    await caller.look_up(
        deployment.application,
        f'{deployment.lookup_path}?claim={number}',
        f'look-up-{number}',
        10,
    )


async def _run_once(
    deployment: Deployment,
    caller: Caller,
    number: int,
) -> None:
    await caller.run_once(
        deployment.application,
        deployment.call_path,
        json.dumps({'call': f'once-{number}'}).encode(),
        f'once-{number}',
        10,
    )


async def _run_stream_clients(
    fleet: Fleet,
    urls: Sequence[str],
    streams: int,
) -> list[dict[str, Any]]:
    """Runs one client process for each URL; returns their measurements."""
    measurements: list[dict[str, Any]] = []

    async def run_client(url: str) -> None:
        completed = await trio.run_process(
            [
                sys.executable,
                '-m',
                'bench.stream_load',
                url,
                fleet.deployment.key_of(_REGION),
                fleet.deployment.model,
                str(streams // len(urls)),
                str(TOKENS_PER_S * _DURATION_S),
            ],
            capture_stdout=True,
            stderr=subprocess.DEVNULL,
        )
        measurements.append(json.loads(completed.stdout))

    async with trio.open_nursery() as nursery:
        for url in urls:
            nursery.start_soon(run_client, url)
    return measurements


def processor_time_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / os.sysconf('SC_CLK_TCK')


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


async def measure_instance(counts: tuple[int, ...]) -> None:
    """Measures calls and streams of one instance and prints JSON lines."""
    options = FleetOptions(tokens_per_s=TOKENS_PER_S, slots=_ENGINE_SLOTS)
    folder = Path('out') / 'throughput'
    async with running_fleet(_SINGLE_INSTANCE, folder, options) as fleet:
        async for measurement in measure_calls(fleet):
            _print_json(measurement)
        for streams in counts:
            _print_json(await measure_streams(fleet, streams))


def _print_json(measurement: dict[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(measurement)}\n')
    sys.stdout.flush()


def run(*counts: int) -> None:
    """Measures one instance with each of the given numbers of streams."""
    trio.run(measure_instance, counts or STREAMS)


if __name__ == '__main__':
    fire.Fire(run)
