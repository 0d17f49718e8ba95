"""The program of `make run-platform`: a mixed load over the platform's wire.

Store, replicas and instances are stand-ins and programs of this repository,
as separate processes. The last line of the output is one JSON object.
"""

import json
import sys
from pathlib import Path
from random import Random
from typing import Any

import fire
import httpx
import trio

from bench.platform_callers import Seen, ask
from bench.platform_fleet import PlatformFleet, running_platform


async def run_load(
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> dict[str, Any]:
    """Runs the load and returns the counts."""
    async with running_platform(Path('out') / 'run-platform') as fleet:
        sys.stderr.write('instances are ready\n')
        count = int(rate_per_s * duration_s)
        seen = await _ask_all(fleet, Random(seed), count, 1 / rate_per_s)
        exits = await fleet.stop()
    ended = [name for name, code in exits.items() if _is_entry(name, code)]
    whole = sum(one.is_whole for one in seen)
    return {
        'requests': len(seen),
        'whole_answers': whole,
        'failed': len(seen) - whole + len(ended),
    }


async def _ask_all(
    fleet: PlatformFleet,
    random: Random,
    count: int,
    pause_s: float,
) -> list[Seen]:
    """Asks one request after each pause."""
    seen: list[Seen] = []

    async with (
        httpx.AsyncClient(trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):

        async def ask_one(request_id: str) -> None:
            seen.append(await ask(client, fleet, random, request_id))

        for number in range(count):
            nursery.start_soon(ask_one, f'r-{number}')
            await trio.sleep(pause_s)
    return seen


def _is_entry(name: str, code: int) -> bool:
    """Tells whether an instance did not stop by itself when asked to."""
    return name[-1].isdigit() and code != 0


def run(rate: float = 40.0, seconds: float = 6.0, seed: int = 1) -> None:
    """Runs the load; exits with 0 only when nothing failed."""
    counts = trio.run(run_load, rate, seconds, seed)
    sys.stdout.write(f'{json.dumps(counts)}\n')
    sys.exit(1 if counts['failed'] else 0)


if __name__ == '__main__':
    fire.Fire(run)
