"""Runs entry instances and stand-ins of the users' platform as processes."""

import base64
import json
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final, final

import attrs
import httpx
import trio

from bench.ports import free_ports, is_success, wait_for_port

#: Data centres and their regions, as in the users' smaller deployment.
DATA_CENTRES: Final = (
    ('north-a', 'north'),
    ('south-a', 'south'),
    ('east-a', 'east'),
)
#: Instances if no other number is asked for; one data centre has two.
INSTANCES: Final = 4
HOST: Final = 'shop.example'
_READY_TIMEOUT_S: Final = 30.0
#: Longer than `grace_s` of the instances.
_STOP_TIMEOUT_S: Final = 12.0
_POLL_INTERVAL_S: Final = 0.05
_MS_PER_S: Final = 1000
#: The store and the replicas.
_STANDINS: Final = 7
_LISTENERS: Final = ('callers', 'readiness', 'peers', 'entries', 'metrics')


@attrs.frozen
class Pause:
    """When a process stood still, in seconds since 1970."""

    name: str
    started_at: float
    ended_at: float


@final
@attrs.define(eq=False)
class PlatformFleet:
    """A running fleet: its addresses, processes and commands by name.

    `listeners` holds the addresses of each instance by their names in the
    settings. `older` are the instances that run the sources in `older_sources`.
    `pauses` are those of replicas and instances, `paused` names those
    that stand still now. `limits` is the section of that name in the settings.
    """

    folder: Path
    store_address: str
    listeners: dict[str, dict[str, str]]
    replica_addresses: dict[str, str]
    processes: dict[str, trio.Process] = attrs.field(factory=dict)
    commands: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    older: frozenset[str] = frozenset()
    older_sources: str = ''
    pauses: list[Pause] = attrs.field(factory=list)
    paused: set[str] = attrs.field(factory=set)
    limits: str = ''

    async def start(self, name: str, *command: str) -> None:
        """Starts a Python module; its output is appended to `NAME.log`."""
        self.commands[name] = command
        sources = (
            {'PYTHONPATH': self.older_sources} if name in self.older else {}
        )
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = await trio.lowlevel.open_process(
                [sys.executable, '-m', *command],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **sources},
            )

    async def restart(self, name: str, *, is_killed: bool) -> None:
        """Kills or terminates a process and starts it again.

        It is not left without its successor, also if this is cancelled.
        """
        process = self.processes[name]
        if is_killed:
            process.kill()
        else:
            process.terminate()
        with trio.CancelScope(shield=True):
            await process.wait()
            await self.start(name, *self.commands[name])

    async def pause(self, name: str, pause_s: float) -> None:
        """Makes a process stand still for a while."""
        process = self.processes[name]
        started_at = time.time()
        process.send_signal(signal.SIGSTOP)
        self.paused.add(name)
        try:
            await trio.sleep(pause_s)
        finally:
            process.send_signal(signal.SIGCONT)
            self.paused.discard(name)
        self.pauses.append(Pause(name, started_at, time.time()))

    async def set_store_mode(self, *, is_down: bool) -> None:
        """Makes the store unavailable, or available again."""
        async with httpx.AsyncClient(trust_env=False) as client:
            await client.post(
                f'http://{self.store_address}/control/mode',
                json={'is_down': is_down},
            )

    async def roll_store_back(self, lost_writes: int) -> dict[str, Any]:
        """Restores the store from a copy; it is available again.

        Returns what the copy lacks by key, None for a deletion.
        """
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.post(
                f'http://{self.store_address}/control/mode',
                json={'is_down': False, 'lost_writes': lost_writes},
            )
            answer.raise_for_status()
        return {
            event['Key']: None
            if event.get('Deleted')
            else json.loads(base64.b64decode(event['Value']))
            for event in answer.json()['lost']
        }

    async def publish_replica(self, name: str) -> None:
        """Writes the record of a replica that has just started."""
        record = _server_record(name, self.replica_addresses[name])
        await self.put_record(f'servers/{name}', record)

    async def replace_leaving_replica(self, name: str, leave_s: float) -> None:
        """Lets a replica say for a while that it leaves, then restarts it."""
        self.processes[name].send_signal(signal.SIGUSR1)
        await trio.sleep(leave_s)
        await self.restart(name, is_killed=True)
        await wait_for_port(self.replica_addresses[name])
        await self.publish_replica(name)

    async def reuse_address(self, name: str, reuse_s: float) -> None:
        """Kills a replica; another has its address until it is back."""
        self.processes[name].kill()
        await self.processes[name].wait()
        module, address, _, *faults = self.commands[name]
        successor = f'{name}-successor'
        await self.start(successor, module, address, successor, *faults)
        await trio.sleep(reuse_s)
        self.processes[successor].kill()
        await self.processes.pop(successor).wait()
        await self.start(name, *self.commands[name])
        await wait_for_port(address)
        await self.publish_replica(name)

    async def delete_record(self, key: str) -> None:
        """Deletes a record from the store."""
        async with httpx.AsyncClient(trust_env=False) as client:
            await client.post(
                f'http://{self.store_address}/control/mode',
                json={'delete': [key]},
            )

    async def put_record(self, key: str, document: object) -> None:
        """Writes a record to the store."""
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.post(
                f'http://{self.store_address}/control/put',
                json={'key': key, 'document': document},
            )
            answer.raise_for_status()

    async def stop(self) -> dict[str, int]:
        """Terminates all processes; returns their exit codes by name.

        Kills those that have not ended in time.
        """
        for process in self.processes.values():
            process.terminate()
        with trio.move_on_after(_STOP_TIMEOUT_S):
            for process in self.processes.values():
                await process.wait()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        return {
            name: process.returncode or 0
            for name, process in self.processes.items()
        }


@asynccontextmanager
async def running_platform(
    folder: Path,
    fault_share: float = 0,
    seed: int = 0,
    instances: int = INSTANCES,
    older_sources: str = '',
    limits: str = '',
) -> AsyncIterator[PlatformFleet]:
    """Runs a store, six replicas and some instances inside the context.

    `fault_share` is the share of requests on which a replica misbehaves;
    `seed` makes its choices repeatable. Every second instance runs
    `older_sources`, if there are any. `limits` is the section of that name in
    the settings of the instances.
    """
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    fleet = _build_fleet(folder, instances)
    fleet.limits = limits
    if older_sources:
        fleet.older = frozenset(sorted(fleet.listeners)[::2])
        fleet.older_sources = older_sources
    try:
        await _start_all(fleet, (str(fault_share), str(seed)))
        yield fleet
    finally:
        with trio.CancelScope(shield=True):
            await fleet.stop()


def _build_fleet(folder: Path, instances: int) -> PlatformFleet:
    port_count = len(_LISTENERS) * instances + _STANDINS
    addresses = (f'127.0.0.1:{port}' for port in free_ports(port_count))
    listeners = {
        f'{data_centre}-{number}': {
            role: next(addresses) for role in _LISTENERS
        }
        for data_centre, _, number in _place_instances(instances)
    }
    replica_addresses = {
        f'{service}-{data_centre}': next(addresses)
        for service in ('model', 'shop')
        for data_centre, _ in DATA_CENTRES
    }
    return PlatformFleet(folder, next(addresses), listeners, replica_addresses)


def _place_instances(count: int) -> Iterator[tuple[str, str, int]]:
    """Yields data centre, region and number of each instance."""
    for index in range(count):
        number, place = divmod(index, len(DATA_CENTRES))
        yield (*DATA_CENTRES[place], number + 1)


async def _start_all(
    fleet: PlatformFleet,
    faults: tuple[str, str],
) -> None:
    await fleet.start('store', 'standins.store', fleet.store_address)
    await wait_for_port(fleet.store_address)
    await fleet.put_record('op/config', build_platform_configuration())
    for name, address in fleet.replica_addresses.items():
        await fleet.start(name, 'standins.replica', address, name, *faults)
        await wait_for_port(address)
        await fleet.publish_replica(name)
    await _start_instances(fleet)


async def _start_instances(fleet: PlatformFleet) -> None:
    for data_centre, region, number in _place_instances(len(fleet.listeners)):
        name = f'{data_centre}-{number}'
        path = fleet.folder / f'{name}.toml'
        path.write_text(_instance_settings(fleet, name, data_centre, region))
        await fleet.start(name, 'masticstage.entry_program', str(path))
    with trio.fail_after(_READY_TIMEOUT_S):
        for addresses in fleet.listeners.values():
            while not await is_success(
                f'http://{addresses["readiness"]}/-/ready'
            ):
                await trio.sleep(_POLL_INTERVAL_S)


def _server_record(name: str, address: str) -> dict[str, Any]:
    service, _, data_centre = name.partition('-')
    return {
        'Service': service,
        'Address': address,
        'Zone': data_centre,
        'Slots': 64,
        'State': 'ready',
        'born': round(time.time() * _MS_PER_S),
    }


def _instance_settings(
    fleet: PlatformFleet,
    name: str,
    data_centre: str,
    region: str,
) -> str:
    seeds = [addresses['peers'] for addresses in fleet.listeners.values()]
    listen = f'gossip = "{fleet.listeners[name]["peers"]}"\n'
    listen += '\n'.join(
        f'{role} = "{address}"'
        for role, address in fleet.listeners[name].items()
    )
    places = '\n'.join(
        f'[[places]]\ndata_centre = "{other}"\nregion = "{other_region}"'
        for other, other_region in DATA_CENTRES
    )
    return f"""
seeds = {seeds!r}
[instance]
name = "{name}"
data_centre = "{data_centre}"
region = "{region}"
ip = "127.0.0.1"
[listen]
{listen}
[store]
address = "{fleet.store_address}"
[bounds]
grace_s = 8
repeat_ratio = 0.2
repeat_window_s = 10
repeat_slack = 56
{fleet.limits}
{places}
"""


def build_platform_configuration() -> dict[str, Any]:
    """Returns a configuration with four routes in the platform's format."""
    routes = [
        _route_record('plan', 'streaming', 'model', MaxAttempts=1),
        _route_record('question', 'streaming', 'model', Resumable=True),
        _route_record('order', 'unsafe', 'shop', MaxAttempts=1),
        _route_record('stock', 'safe', 'shop'),
    ]
    engine = {'Slots': 64, 'KvCapacity': 360000}
    return {
        'Version': 1,
        'Routes': routes,
        'Services': [
            {
                'Name': name,
                'HealthPath': '/health',
                'MaxConnections': 100,
                'Engine': engine if name == 'model' else None,
            }
            for name in ('model', 'shop')
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def _route_record(
    name: str,
    kind: str,
    service: str,
    **changes: object,
) -> dict[str, Any]:
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'TimeoutMs': 3000,
        'TargetLatencyMs': 500,
        'Service': service,
        'MaxAttempts': 2,
        **changes,
    }
