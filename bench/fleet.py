"""Starts, disturbs and stops the processes of one deployment.

The processes communicate over loopback addresses.  All of them are stopped at
the end, also when the run is interrupted.
"""

import json
import shutil
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final, final

import attrs
import httpx
import trio

from bench.deployments import (
    Deployment,
    Site,
    application_names,
    build_configuration,
    engine_names,
    instance_names,
)
from bench.network import Network
from bench.ports import is_success, wait_for_port
from standins.event_log import EventLogReader

SECRET: Final = 'a-secret-for-trials-only'
_READY_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 10.0
_POLL_INTERVAL_S: Final = 0.05
_SUPERVISE_INTERVAL_S: Final = 1.0


@attrs.define
class FleetOptions:
    """Settings of the processes of a fleet.

    `tokens_per_s` applies to each engine and `slots` to each upstream.
    `timing` and `limits` are sections of the instances' settings. `program` is
    the module that runs as an instance, followed by its first arguments.
    """

    tokens_per_s: float = 50.0
    slots: int = 8
    timing: dict[str, int] = attrs.field(factory=dict)
    limits: dict[str, int] = attrs.field(factory=dict)
    program: tuple[str, ...] = ('masticstage.instance_program',)


@final
@attrs.define(eq=False)
class Fleet:
    """The processes of one deployment and their addresses.

    `processes` and `commands` are keyed by process name; `spawned` also has the
    processes that were replaced.  `version` is the last published version.
    `leaving` (names of upstreams) and `started_ms` (by name of the upstream)
    are published in the directory.
    """

    deployment: Deployment
    folder: Path
    options: FleetOptions
    processes: dict[str, trio.Process] = attrs.field(factory=dict)
    spawned: list[trio.Process] = attrs.field(factory=list)
    commands: dict[str, list[str]] = attrs.field(factory=dict)
    version: int = 0
    leaving: set[str] = attrs.field(factory=set)
    started_ms: dict[str, int] = attrs.field(factory=dict)
    network: Network = attrs.field(init=False)
    log_reader: EventLogReader = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Assigns addresses and opens the logs in the fleet's folder."""
        self.network = Network(self.deployment)
        self.log_reader = EventLogReader(self.folder)

    @property
    def addresses(self) -> dict[str, str]:
        """Address of each process by name; of an instance, that for callers."""
        return self.network.addresses

    def instances(self) -> tuple[str, ...]:
        """Returns the names of all entry instances."""
        return self.network.instances()

    def site_of(self, name: str) -> Site:
        """Returns the site of an instance or upstream."""
        return self.network.site_of(name)

    async def start(self) -> None:
        """Starts all processes and waits until the instances are ready."""
        links = json.dumps(self.network.plan_links())
        (self.folder / 'links.json').write_text(links)
        self._plan_commands()
        async with trio.open_nursery() as nursery:
            for name in self.commands:
                if name not in self.instances():
                    nursery.start_soon(self.spawn, name)
        for address in (self.addresses['platform'], *self.network.upstreams()):
            await wait_for_port(address)
        await self.publish_directory()
        await self.publish()
        for name in self.instances():
            await self.spawn(name)
        for name in self.instances():
            await self.wait_ready(name)

    async def stop(self) -> None:
        """Terminates all processes, and kills those that do not end."""
        for process in self.spawned:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        with trio.move_on_after(_STOP_TIMEOUT_S):
            for process in self.spawned:
                await process.wait()
        for process in self.spawned:
            if process.poll() is None:
                process.kill()
                await process.wait()

    def entry_urls(self, region: str | None = None) -> tuple[str, ...]:
        """Returns the caller URLs of the instances of a region, or of all."""
        return tuple(
            f'http://{self.addresses[name]}'
            for name in self.instances()
            if region in {None, self.site_of(name).region}
        )

    async def spawn(self, name: str) -> None:
        """Starts one process; its output goes to a log file."""
        log = (self.folder / f'{name}.log').open('ab')
        self.processes[name] = await trio.lowlevel.open_process(
            self.commands[name],
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        # Two faults may replace one process; both replacements are stopped.
        self.spawned.append(self.processes[name])
        log.close()

    async def kill(self, name: str) -> None:
        """Kills one process and reaps it."""
        process = self.processes[name]
        process.kill()
        await process.wait()

    async def supervise(self) -> None:
        """Restarts upstreams that have exited, as the platform does.

        Leaving upstreams are not restarted until they are listed as live again.
        """
        while True:
            await trio.sleep(_SUPERVISE_INTERVAL_S)
            for name in self._exited_upstreams():
                await self.spawn(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one process."""
        self.processes[name].send_signal(number)

    async def wait_ready(self, name: str) -> None:
        """Waits until an instance accepts work."""
        url = f'http://{self.addresses[name]}/readyz'
        with trio.fail_after(_READY_TIMEOUT_S):
            while not await is_success(url):
                await trio.sleep(_POLL_INTERVAL_S)

    def configuration(self) -> dict[str, Any]:
        """Returns the configuration document of the deployment."""
        return build_configuration(
            self.deployment,
            self.addresses,
            self.options.slots,
        )

    async def publish(
        self,
        document: dict[str, Any] | None = None,
        version: int | None = None,
    ) -> int:
        """Publishes a configuration, by default as the next version.

        Returns the published version.
        """
        self.version = version or self.version + 1
        await self.control_platform(
            'publish',
            {
                'version': self.version,
                'value': document or self.configuration(),
            },
        )
        return self.version

    async def publish_directory(self) -> None:
        """Publishes which instances and upstreams are live or leaving."""
        await self.control_platform(
            'directory',
            self.network.build_directory(self.leaving, self.started_ms),
        )

    async def control_platform(
        self,
        action: str,
        fields: dict[str, Any],
    ) -> dict[str, Any]:
        """Calls a control endpoint of the platform's stand-in."""
        url = f'http://{self.addresses["platform"]}/control/{action}'
        async with httpx.AsyncClient(trust_env=False) as client:
            response = await client.post(url, json=fields)
        answer: dict[str, Any] = response.json()
        return answer

    async def control_links(self, pipes: list[str], mode: str) -> None:
        """Sets the mode of one-way pipes, as in `standins.links`."""
        url = f'http://{self.addresses["links"]}/control'
        async with httpx.AsyncClient(trust_env=False) as client:
            await client.post(url, json={'pipes': pipes, 'mode': mode})

    async def status(self, name: str, about: str = '') -> dict[str, Any]:
        """Returns an instance's status, with audit entries about a subject."""
        url = f'http://{self.addresses[name]}/v1/status'
        async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
            response = await client.get(url, params={'about': about})
        document: dict[str, Any] = response.json()
        return document

    def _exited_upstreams(self) -> list[str]:
        return [
            name
            for name, process in self.processes.items()
            if ('-engine-' in name or '-app-' in name)
            and name not in self.leaving
            and process.poll() is not None
        ]

    def _plan_commands(self) -> None:
        python = sys.executable
        address = self.addresses
        self.commands['platform'] = [
            python, '-m', 'standins.platform', address['platform'],
        ]  # fmt: skip
        self.commands['links'] = [
            python, '-m', 'standins.links', str(self.folder / 'links.json'),
        ]  # fmt: skip
        for site in self.deployment.sites:
            for name in engine_names(site):
                self.commands[name] = [
                    python, '-m', 'standins.engine', name, address[name],
                    str(self.folder / f'{name}.jsonl'),
                    f'--slots={self.options.slots}',
                    f'--tokens_per_s={self.options.tokens_per_s}',
                ]  # fmt: skip
            for name in application_names(site):
                self.commands[name] = [
                    python, '-m', 'standins.application', name, address[name],
                    str(self.folder / f'{name}.jsonl'),
                ]  # fmt: skip
            for name in instance_names(site):
                self.commands[name] = [
                    python, '-m', *self.options.program,
                    str(self._write_settings(name, site)),
                ]  # fmt: skip

    def _write_settings(self, name: str, site: Site) -> Path:
        path = self.folder / f'{name}.toml'
        platform = self.addresses[f'{site.data_centre}>platform']
        lines = [
            '[instance]',
            f'name = "{name}"',
            f'data_centre = "{site.data_centre}"',
            f'region = "{site.region}"',
            f'caller_address = "{self.addresses[name]}"',
            f'peer_address = "{self.network.peer_addresses[name]}"',
            '[platform]',
            f'address = "http://{platform}"',
            '[tokens]',
            f'secrets = ["{SECRET}"]',
            '[timing]',
            *(f'{key} = {ms}' for key, ms in self.options.timing.items()),
            '[limits]',
            *(f'{key} = {limit}' for key, limit in self.options.limits.items()),
            *self.network.translation_lines(site),
        ]
        path.write_text('\n'.join([*lines, '']))
        return path


@asynccontextmanager
async def running_fleet(
    deployment: Deployment,
    folder: Path,
    options: FleetOptions | None = None,
) -> AsyncIterator[Fleet]:
    """Runs the processes of a deployment for the duration of a block."""
    # SIGTERM raises KeyboardInterrupt, so that the processes are stopped too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    fleet = Fleet(deployment, folder, options or FleetOptions())
    try:
        await fleet.start()
        yield fleet
    finally:
        with trio.CancelScope(shield=True):
            await fleet.stop()
