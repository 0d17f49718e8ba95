"""The program of `make soak`: load and faults on the platform's stand-ins.

While callers send requests, instances are killed and restarted, replicas crash
and misbehave, processes of both are paused, data centres are evacuated and the
store becomes unavailable.  Afterwards the requests that the replicas logged as
run are compared with the results that the callers received.  The last line of
the output is one JSON object.
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

from bench.platform_callers import (
    AT_MOST_ONCE_KINDS,
    RequestResult,
    send_until_taken,
)
from bench.platform_fleet import (
    DATA_CENTRES,
    INSTANCES,
    PlatformFleet,
    running_platform,
)

_FAULT_INTERVAL_S: Final = 1.5
_STORE_OUTAGE_S: Final = 1.0
#: Shortest and longest pause of a process.  An instance refreshes its view
#: after a pause of 1.2 s, which lies between them.
_PROCESS_PAUSE_S: Final = (0.5, 3.0)
_EVACUATION_S: Final = 3.0
#: How long a replica says that it leaves.
_LEAVE_S: Final = 2.0
#: How long another replica has the address of one that was killed.
_REUSE_S: Final = 2.0
#: Share of the requests that must get whole answers in spite of all faults.
_MIN_ANSWERED_SHARE: Final = 0.5


async def run_soak(
    rate_per_s: float,
    duration_s: float,
    seed: int,
    fault_share: float,
    instances: int = INSTANCES,
    older: str = '',
) -> dict[str, Any]:
    """Runs load and faults; returns the counts and the violations."""
    folder = Path('out') / f'soak-{seed}'
    random = Random(seed)
    request_results: list[RequestResult] = []
    fault_counts: Counter[str] = Counter()
    async with running_platform(
        folder, fault_share, seed, instances, older
    ) as fleet:
        with trio.move_on_after(duration_s):
            async with (
                httpx.AsyncClient(trust_env=False) as client,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(_inject_faults, fleet, random, fault_counts)

                async def send_one(request_id: str) -> None:
                    request_results.extend(
                        await send_until_taken(
                            client, fleet, random, request_id
                        )
                    )

                number = 0
                while True:
                    number += 1
                    nursery.start_soon(send_one, f'r-{seed}-{number}')
                    await trio.sleep(1 / rate_per_s)
    run_counts = count_runs(folder, fleet)
    return {
        'requests': len(request_results),
        'whole_answers': sum(request.is_whole for request in request_results),
        'faults': dict(fault_counts),
        'violations': find_violations(request_results, run_counts),
    }


def count_runs(folder: Path, fleet: PlatformFleet) -> Counter[str]:
    """Counts the runs of each request in the output of the replicas."""
    run_counts: Counter[str] = Counter()
    for name in fleet.replica_addresses:
        for path in folder.glob(f'{name}*.log'):
            for line in path.read_text().splitlines():
                if line.startswith('ran '):
                    run_counts[line.removeprefix('ran ')] += 1
    return run_counts


def find_violations(
    request_results: list[RequestResult], run_counts: Counter[str]
) -> list[str]:
    """Returns a description of each broken guarantee to callers."""
    violations = [
        f'{request.request_id} ran {run_counts[request.request_id]} times'
        for request in request_results
        if request.kind in AT_MOST_ONCE_KINDS
        and run_counts[request.request_id] > 1
    ]
    violations.extend(
        f'{request.request_id} ran although it was refused as not run'
        for request in request_results
        if request.kind in AT_MOST_ONCE_KINDS
        and request.is_refused
        and run_counts[request.request_id]
    )
    violations.extend(
        f'{request.request_id} succeeded without the whole answer'
        for request in request_results
        if request.is_false_success
    )
    answered = sum(request.is_whole for request in request_results)
    if answered < _MIN_ANSWERED_SHARE * len(request_results):
        violations.append(
            f'only {answered} of {len(request_results)} answers were whole'
        )
    return violations


async def _inject_faults(
    fleet: PlatformFleet,
    random: Random,
    fault_counts: Counter[str],
) -> None:
    while True:
        await trio.sleep(random.uniform(0.5, 2) * _FAULT_INTERVAL_S)
        name = random.choice(sorted(_FAULTS))
        fault_counts[name] += 1
        await _FAULTS[name](fleet, random)


async def _take_store_down(fleet: PlatformFleet, _random: Random) -> None:
    await fleet.set_store_mode(is_down=True)
    await trio.sleep(_STORE_OUTAGE_S)
    await fleet.set_store_mode(is_down=False)


async def _kill_instance(fleet: PlatformFleet, random: Random) -> None:
    await fleet.restart(random.choice(sorted(fleet.listeners)), is_killed=True)


async def _restart_instance(fleet: PlatformFleet, random: Random) -> None:
    await fleet.restart(random.choice(sorted(fleet.listeners)), is_killed=False)


async def _crash_replica(fleet: PlatformFleet, random: Random) -> None:
    await fleet.restart(
        random.choice(sorted(fleet.replica_addresses)), is_killed=True
    )


async def _replace_leaving_replica(
    fleet: PlatformFleet, random: Random
) -> None:
    await fleet.replace_leaving_replica(
        random.choice(sorted(fleet.replica_addresses)), _LEAVE_S
    )


async def _reuse_address(fleet: PlatformFleet, random: Random) -> None:
    await fleet.reuse_address(
        random.choice(sorted(fleet.replica_addresses)), _REUSE_S
    )


async def _pause_process(fleet: PlatformFleet, random: Random) -> None:
    """Pauses the process of an instance or a replica for a while."""
    names = random.choice((fleet.listeners, fleet.replica_addresses))
    process = fleet.processes[random.choice(sorted(names))]
    process.send_signal(signal.SIGSTOP)
    try:
        await trio.sleep(random.uniform(*_PROCESS_PAUSE_S))
    finally:
        process.send_signal(signal.SIGCONT)


async def _evacuate_data_centre(fleet: PlatformFleet, random: Random) -> None:
    data_centre, _ = random.choice(DATA_CENTRES)
    await fleet.put_record(f'op/evacuate/{data_centre}', {})
    await trio.sleep(_EVACUATION_S)
    await fleet.delete_record(f'op/evacuate/{data_centre}')


_FAULTS: Final = MappingProxyType(
    {
        'crash': _crash_replica,
        'evacuate': _evacuate_data_centre,
        'freeze': _pause_process,
        'kill': _kill_instance,
        'reuse': _reuse_address,
        'leave': _replace_leaving_replica,
        'stop': _restart_instance,
        'store': _take_store_down,
    }
)


def run(
    rate: float = 40.0,
    seconds: float = 30.0,
    seed: int = 1,
    faults: float = 0.1,
    instances: int = INSTANCES,
    older: str = '',
) -> None:
    """Runs the soak; exits with 0 only when nothing was violated.

    Args:
        rate: requests per second.
        seconds: duration.
        seed: seed of requests and faults.
        faults: share of the answers of replicas that are faulty.
        instances: number of instances.
        older: folder with the sources of another version, which every second
            instance runs.

    """
    counts = trio.run(run_soak, rate, seconds, seed, faults, instances, older)
    sys.stdout.write(f'{json.dumps(counts)}\n')
    sys.exit(1 if counts['violations'] else 0)


if __name__ == '__main__':
    fire.Fire(run)
