"""The program of `make run-platform`: a mixed load in the platform's formats.

The store and the replicas are stand-ins; they and the instances run as
separate processes.  The last line of the output is one JSON object.
"""

import json
import sys
from functools import partial
from itertools import cycle
from pathlib import Path
from random import Random
from typing import Any, Final

import fire
import httpx
import trio

from bench.platform_callers import RequestResult, send_request
from bench.platform_fleet import PlatformFleet, running_platform

#: How long a replica says that it leaves before it is replaced.
_LEAVE_S: Final = 1.0


async def run_load(
    rate_per_s: float,
    duration_s: float,
    seed: int,
    *,
    is_replacing: bool = False,
) -> dict[str, Any]:
    """Runs the load and returns the counts.

    With `is_replacing`, replicas leave and are replaced in turn meanwhile.
    """
    async with running_platform(Path('out') / 'run-platform') as fleet:
        sys.stderr.write('instances are ready\n')
        count = int(rate_per_s * duration_s)
        async with trio.open_nursery() as nursery:
            if is_replacing:
                nursery.start_soon(_replace_in_turn, fleet)
            request_results = await _send_requests(
                fleet, Random(seed), count, 1 / rate_per_s
            )
            nursery.cancel_scope.cancel()
        exit_codes = await fleet.stop()
    failed_exits = [
        name
        for name, code in exit_codes.items()
        if _is_failed_instance(name, code)
    ]
    whole = sum(request.is_whole for request in request_results)
    return {
        'requests': len(request_results),
        'whole_answers': whole,
        'failed': len(request_results) - whole + len(failed_exits),
    }


async def _replace_in_turn(fleet: PlatformFleet) -> None:
    for name in cycle(sorted(fleet.replica_addresses)):
        await fleet.replace_leaving_replica(name, _LEAVE_S)


async def _send_requests(
    fleet: PlatformFleet,
    random: Random,
    count: int,
    interval_s: float,
) -> list[RequestResult]:
    """Sends `count` requests at a steady rate; returns their results."""
    request_results: list[RequestResult] = []

    async with (
        httpx.AsyncClient(trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):

        async def send_one(request_id: str) -> None:
            request_results.append(
                await send_request(client, fleet, random, request_id)
            )

        for number in range(count):
            nursery.start_soon(send_one, f'r-{number}')
            await trio.sleep(interval_s)
    return request_results


def _is_failed_instance(name: str, code: int) -> bool:
    """Returns whether a process is an instance that did not exit cleanly.

    Stand-ins are ignored; only names of instances end in a digit.
    """
    return name[-1].isdigit() and code != 0


def run(
    rate: float = 40.0,
    seconds: float = 6.0,
    seed: int = 1,
    *,
    replace: bool = False,
) -> None:
    """Runs the load; exits with 0 only when nothing failed."""
    run_all = partial(run_load, is_replacing=replace)
    counts = trio.run(run_all, rate, seconds, seed)
    sys.stdout.write(f'{json.dumps(counts)}\n')
    sys.exit(1 if counts['failed'] else 0)


if __name__ == '__main__':
    fire.Fire(run)
