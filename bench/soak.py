"""The program of `make soak`: faults over the platform's stand-ins.

Instances are killed and stopped, replicas crash and misbehave, both stand
still, data centres are evacuated, the store goes down, while callers ask.
Then the runs that the replicas printed are compared
with what the callers saw.  The last line is one JSON object.
"""

import json
import signal
import sys
from collections import Counter
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any, Final

import fire
import httpx
import trio

from bench.platform_callers import ONCE, PROMISES, Seen, ask
from bench.platform_fleet import PLACES, PlatformFleet, running_platform

_PAUSE_S: Final = 1.5
_DOWN_S: Final = 1.0
#: Time for which a process stands still: shorter and longer than the standstill
#: after which an instance refreshes its view (1.2 s).
_STILL_S: Final = (0.5, 3.0)
_EVACUATED_S: Final = 3.0
#: Part of the requests that must be answered in spite of all faults.
_LEAST_SERVED: Final = 0.5


async def run_soak(
    rate_per_s: float,
    duration_s: float,
    seed: int,
    fault_share: float,
) -> dict[str, Any]:
    """Runs load and faults; returns the counts and what was violated."""
    folder = Path('out') / f'soak-{seed}'
    random = Random(seed)
    seen: list[Seen] = []
    done: Counter[str] = Counter()
    async with running_platform(folder, fault_share, seed) as fleet:
        with trio.move_on_after(duration_s):
            async with (
                httpx.AsyncClient(trust_env=False) as client,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(_disturb, fleet, random, done)

                async def ask_one(request_id: str) -> None:
                    seen.append(await ask(client, fleet, random, request_id))

                number = 0
                while True:
                    number += 1
                    nursery.start_soon(ask_one, f'r-{seed}-{number}')
                    await trio.sleep(1 / rate_per_s)
    runs = count_runs(folder, fleet)
    return {
        'requests': len(seen),
        'whole_answers': sum(one.is_whole for one in seen),
        'faults': dict(done),
        'violations': violations(seen, runs),
    }


def count_runs(folder: Path, fleet: PlatformFleet) -> Counter[str]:
    """Returns how often each request was run, by what replicas printed."""
    runs: Counter[str] = Counter()
    for name in fleet.replicas:
        for path in folder.glob(f'{name}*.log'):
            for line in path.read_text().splitlines():
                if line.startswith('ran '):
                    runs[line.removeprefix('ran ')] += 1
    return runs


def violations(seen: list[Seen], runs: Counter[str]) -> list[str]:
    """Returns what broke a promise to callers."""
    broken = [
        f'{one.request_id} ran {runs[one.request_id]} times'
        for one in seen
        if one.kind in ONCE and runs[one.request_id] > 1
    ]
    broken.extend(
        f'{one.request_id} was refused as not run, and ran'
        for one in seen
        if one.kind in ONCE and one.status in PROMISES and runs[one.request_id]
    )
    broken.extend(
        f'{one.request_id} has a success that is not whole'
        for one in seen
        if one.is_false_success
    )
    served = sum(one.is_whole for one in seen)
    if served < _LEAST_SERVED * len(seen):
        broken.append(f'only {served} of {len(seen)} were served')
    return broken


async def _disturb(
    fleet: PlatformFleet,
    random: Random,
    done: Counter[str],
) -> None:
    while True:
        await trio.sleep(random.uniform(0.5, 2) * _PAUSE_S)
        name = random.choice(sorted(_FAULTS))
        done[name] += 1
        await _FAULTS[name](fleet, random)


async def _take_store_down(fleet: PlatformFleet, _random: Random) -> None:
    await fleet.set_mode(is_down=True)
    await trio.sleep(_DOWN_S)
    await fleet.set_mode(is_down=False)


async def _kill(fleet: PlatformFleet, random: Random) -> None:
    await fleet.restart(random.choice(sorted(fleet.listen)), is_killed=True)


async def _stop(fleet: PlatformFleet, random: Random) -> None:
    await fleet.restart(random.choice(sorted(fleet.listen)), is_killed=False)


async def _crash(fleet: PlatformFleet, random: Random) -> None:
    await fleet.restart(random.choice(sorted(fleet.replicas)), is_killed=True)


async def _freeze(fleet: PlatformFleet, random: Random) -> None:
    """Lets an instance or a replica stand still for a while."""
    names = random.choice((fleet.listen, fleet.replicas))
    process = fleet.processes[random.choice(sorted(names))]
    process.send_signal(signal.SIGSTOP)
    try:
        await trio.sleep(random.uniform(*_STILL_S))
    finally:
        process.send_signal(signal.SIGCONT)


async def _evacuate(fleet: PlatformFleet, random: Random) -> None:
    data_centre, _ = random.choice(PLACES)
    await fleet.put(f'op/evacuate/{data_centre}', {})
    await trio.sleep(_EVACUATED_S)
    await fleet.delete(f'op/evacuate/{data_centre}')


_FAULTS: Final = MappingProxyType(
    {
        'crash': _crash,
        'evacuate': _evacuate,
        'freeze': _freeze,
        'kill': _kill,
        'stop': _stop,
        'store': _take_store_down,
    }
)


def run(
    rate: float = 40.0,
    seconds: float = 30.0,
    seed: int = 1,
    faults: float = 0.1,
) -> None:
    """Runs the soak; exits with 0 only when nothing was violated."""
    counts = trio.run(run_soak, rate, seconds, seed, faults)
    sys.stdout.write(f'{json.dumps(counts)}\n')
    sys.exit(1 if counts['violations'] else 0)


if __name__ == '__main__':
    fire.Fire(run)
