"""The program of `make soak`: load and faults on the platform's stand-ins.

While callers send requests or leave, others come that are outside the limits,
instances are killed and restarted, replicas crash and misbehave, processes of
both are paused, data centres are evacuated and the store becomes unavailable or
is restored from an older copy.
Afterwards the requests that the
replicas logged as run are compared with what the callers received, and with
when they left.  The last line of the output is one JSON object.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterator
from math import inf
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any, Final

import attrs
import fire
import httpx
import trio

from bench.misbehaving_callers import LIMITS, find_strained, misbehave
from bench.platform_callers import (
    AT_MOST_ONCE_KINDS,
    Departure,
    RequestResult,
    send_and_leave,
    send_until_taken,
)
from bench.platform_fleet import (
    DATA_CENTRES,
    INSTANCES,
    Pause,
    PlatformFleet,
    running_platform,
)

_FAULT_INTERVAL_S: Final = 1.5
_STORE_OUTAGE_S: Final = 1.0
#: How many writes a copy of the store may lack, and when they are made again.
_LOST_WRITES: Final = (1, 8)
_WRITTEN_AGAIN_S: Final = 1.0
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
#: Share of the callers that leave, the time after which their requests must not
#: begin to run, and how many may.
_LEAVING_SHARE: Final = 0.2
_LATE_S: Final = 0.5
_MAX_LATE_RUNS: Final = 3


@attrs.frozen
class Run:
    """A request that a replica began to run, in seconds since 1970."""

    request_id: str
    replica: str
    began_at: float


@attrs.define
class _Record:
    """What callers saw, and how often each fault was injected."""

    received: list[RequestResult] = attrs.field(factory=list)
    departures: list[Departure] = attrs.field(factory=list)
    fault_counts: Counter[str] = attrs.field(factory=Counter)


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
    record = _Record()
    async with running_platform(
        folder, fault_share, seed, instances, older, LIMITS
    ) as fleet:
        with trio.move_on_after(duration_s):
            await _send_requests(fleet, seed, rate_per_s, record)
        strained = find_strained(fleet)
    runs = list(read_runs(folder, fleet))
    run_counts = Counter(run.request_id for run in runs)
    return {
        'requests': len(record.received),
        'left': len(record.departures),
        'whole_answers': sum(request.is_whole for request in record.received),
        'faults': dict(record.fault_counts),
        'violations': [
            *find_violations(record.received, run_counts),
            *find_late_runs(record.departures, runs, fleet.pauses),
            *strained,
        ],
    }


async def _send_requests(
    fleet: PlatformFleet, seed: int, rate_per_s: float, record: _Record
) -> None:
    """Sends requests and injects faults until it is cancelled."""
    random = Random(seed)

    async def send_one(request_id: str) -> None:
        caller = (client, fleet, random, request_id)
        if random.random() < _LEAVING_SHARE:
            record.departures.append(await send_and_leave(*caller))
        else:
            record.received.extend(await send_until_taken(*caller))

    async with (
        httpx.AsyncClient(trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(_inject_faults, fleet, random, record.fault_counts)
        number = 0
        while True:
            number += 1
            nursery.start_soon(send_one, f'r-{seed}-{number}')
            await trio.sleep(1 / rate_per_s)


def read_runs(folder: Path, fleet: PlatformFleet) -> Iterator[Run]:
    """Yields what ran at the replicas, from their output."""
    for name in fleet.replica_addresses:
        for path in folder.glob(f'{name}*.log'):
            for line in path.read_text().splitlines():
                if line.startswith('ran '):
                    _, request_id, began_at = line.split()
                    yield Run(request_id, name, float(began_at))


def find_late_runs(
    departures: list[Departure], runs: list[Run], pauses: list[Pause]
) -> list[str]:
    """Returns a description of the requests that began after callers left.

    Replicas that stood still meanwhile had received them before. Instances that
    did so have to see that the callers are gone.
    """
    left_at = {
        departure.request_id: departure.left_at for departure in departures
    }
    late_ids = [
        run.request_id
        for run in runs
        if run.began_at - left_at.get(run.request_id, inf) > _LATE_S
        and not _was_paused(run, left_at[run.request_id], pauses)
    ]
    if len(late_ids) <= _MAX_LATE_RUNS:
        return []
    return [f'{late_ids} began to run after their callers had left']


def _was_paused(run: Run, since: float, pauses: list[Pause]) -> bool:
    """Returns whether the replica of a run stood still before it began."""
    return any(
        pause.name == run.replica
        and pause.started_at < run.began_at
        and pause.ended_at > since
        for pause in pauses
    )


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


async def _roll_store_back(fleet: PlatformFleet, random: Random) -> None:
    """Restores an older copy; what it lacks is written again soon."""
    await fleet.set_store_mode(is_down=True)
    await trio.sleep(_STORE_OUTAGE_S)
    lost = await fleet.roll_store_back(random.randint(*_LOST_WRITES))
    await trio.sleep(_WRITTEN_AGAIN_S)
    for key, document in lost.items():
        if document is None:
            await fleet.delete_record(key)
        else:
            await fleet.put_record(key, document)


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


async def _pause_instance(fleet: PlatformFleet, random: Random) -> None:
    """Pauses an instance; meanwhile callers that leave connect to it."""
    name = random.choice(sorted(fleet.listeners))
    await fleet.pause(name, random.uniform(*_PROCESS_PAUSE_S))


async def _pause_replica(fleet: PlatformFleet, random: Random) -> None:
    name = random.choice(sorted(fleet.replica_addresses))
    await fleet.pause(name, random.uniform(*_PROCESS_PAUSE_S))


async def _evacuate_data_centre(fleet: PlatformFleet, random: Random) -> None:
    data_centre, _ = random.choice(DATA_CENTRES)
    await fleet.put_record(f'op/evacuate/{data_centre}', {})
    await trio.sleep(_EVACUATION_S)
    await fleet.delete_record(f'op/evacuate/{data_centre}')


_FAULTS: Final = MappingProxyType(
    {
        'crash': _crash_replica,
        'evacuate': _evacuate_data_centre,
        'freeze': _pause_instance,
        'freeze-replica': _pause_replica,
        'kill': _kill_instance,
        'reuse': _reuse_address,
        'leave': _replace_leaving_replica,
        'misbehave': misbehave,
        'roll-back': _roll_store_back,
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
