"""A small deployment of separate processes on loopback addresses.

The entry instances run with the command of the deploy file and with settings
like those of the users' small sites.  The store is the project's stand-in, the
replicas are those of `review/harness/replica.py`.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any, NoReturn

from borders import Borders

ROOT = Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
#: Regions by number, each with one data centre. The store is in the first.
REGIONS = {
    0: ('north', 'north-a'),
    1: ('south', 'south-a'),
    2: ('east', 'east-a'),
}
#: Entry instances: the number of each and its region. Two are in the first.
MACHINES = {1: 0, 2: 0, 3: 1, 4: 2}
_STORE_MACHINE = 9
_LISTENERS = ('callers', 'readiness', 'peers', 'entries', 'metrics', 'gossip')
_READY_S = 30
_CASE_S = 112
#: Warm-up of a replica that starts during traffic, as `WarmupS` says.
COLD_MS = 3000
_MS = 1000
#: Bounds of the small sites.
BOUNDS = {
    'grace_s': 8,
    'repeat_ratio': 0.2,
    'repeat_window_s': 10,
    'repeat_slack': 56,
    'reconnect_ms': 5000,
    'removal_ms': 3000,
    'configuration_ms': 3000,
}


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Starts an empty record."""
        self._file = (folder / 'record.txt').open('w')

    def write(self, line: str) -> None:
        """Adds a line with the time of day."""
        self._file.write(f'{time.time():.3f} {line}\n')
        self._file.flush()

    def say(self, line: str) -> None:
        """Adds a line and prints it."""
        self.write(line)
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()


class Deployment:
    """The processes of one case, and what the replicas noted."""

    def __init__(self, record: Record, *, cuts_store: bool = True) -> None:
        """Chooses free ports and a temporary folder.

        `cuts_store` tells whether a cut of regions is one from the store too.
        """
        self.record = record
        self._cuts_store = cuts_store
        self.machines = MACHINES
        self.borders = Borders(self.machines)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.ports = dict(zip(_LISTENERS, _free_ports(6), strict=True))
        self.store = f'127.0.{_STORE_MACHINE}.10:{_free_ports(1)[0]}'
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.notes: list[dict[str, Any]] = []
        self._readers: list[asyncio.Task] = []
        self._has_ended = False

    async def start(self, config: dict[str, Any]) -> None:
        """Starts the store and the entry instances; waits until all are ready.

        `config` is the first configuration.
        """
        await self._start(
            'store', sys.executable, '-m', 'standins.store', self.store
        )
        await _until_open(self.store)
        await self.put('op/config', config)
        viewers = sorted(set(self.machines.values()))
        for viewer in viewers:
            if viewer:
                await self.borders.serve_tcp(
                    self.store, viewer, 0, may_cut=self._cuts_store
                )
            for machine, region in self.machines.items():
                if region != viewer:
                    peers, gossip = (
                        self.address(machine, role)
                        for role in ('peers', 'gossip')
                    )
                    await self.borders.serve_tcp(peers, viewer, region)
                    self.borders.serve_udp(gossip, viewer, region)
        for machine in self.machines:
            await self.start_entry(machine)
        for machine in self.machines:
            await self.until_ready(machine)

    def address(self, machine: int, role: str) -> str:
        """Returns an address of a machine as its own region sees it."""
        return f'127.0.{machine}.10:{self.ports[role]}'

    async def start_entry(self, machine: int) -> None:
        """Starts an entry instance by the command of the deploy file."""
        path = self.folder / f'front-{machine}.toml'
        path.write_text(self._settings(machine))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        await self._start(
            f'front-{machine}',
            *command,
            MASTICSTAGE_SETTINGS=str(path),
            PYTHONPATH='target/deps',
        )

    async def until_ready(self, machine: int) -> None:
        """Waits until an instance says that it is ready."""
        ends = time.time() + _READY_S
        while time.time() < ends:
            with suppress(OSError, asyncio.IncompleteReadError):
                status, _, _ = await get(
                    self.address(machine, 'readiness'), '/-/ready'
                )
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'front-{machine} is not ready')

    async def start_replica(
        self,
        name: str,
        service: str,
        region: int,
        port: int = 0,
        **options: object,
    ) -> int:
        """Starts a replica and registers it; returns its port."""
        port = port or _free_ports(1)[0]
        host = f'127.0.{100 + region}.10'
        pairs = [f'{key}={value}' for key, value in options.items()]
        script = str(ROOT / 'review/harness/replica.py')
        await self._start(
            name, sys.executable, script, f'{host}:{port}', name, *pairs
        )
        await _until_open(f'{host}:{port}')
        await self.put(
            f'servers/{name}',
            {
                'Service': service,
                'Address': f'{host}:{port}',
                'Zone': REGIONS[region][1],
                'Version': '1',
                'Slots': 64,
                'State': 'ready',
                'WarmupLeftMs': options.get('cold_ms', 0),
                'Sequence': 1,
                'born': round(time.time() * _MS),
            },
        )
        return port

    async def put(self, key: str, document: object) -> None:
        """Writes a record to the store, as the operator or a replica does."""
        self.record.write(f'store: {key} = {json.dumps(document)}')
        await post(
            self.store, '/control/put', {'key': key, 'document': document}
        )

    async def items(self, key: str) -> dict[str, Any]:
        """Returns a record of the store."""
        _, _, body = await get(self.store, '/-/kv-range?PathPrefix=')
        found = [
            item for item in json.loads(body)['items'] if item['Key'] == key
        ]
        return json.loads(base64.b64decode(found[0]['Value'])) if found else {}

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to one of the processes."""
        self.record.say(f'signal {number.name} to {name}')
        self.processes[name].send_signal(number)

    def is_running(self, name: str) -> bool:
        """Returns whether a process runs."""
        return self.processes[name].returncode is None

    async def stop(self) -> None:
        """Ends all processes and removes the folder."""
        self._has_ended = True
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for reader in self._readers:
            await reader
        for log in sorted(self.folder.glob('front-*.log')):
            self.record.write(f'log of {log.stem}:')
            for line in log.read_text(errors='replace').splitlines():
                self.record.write(f'  {line}')
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _start(self, name: str, *command: str, **variables: str) -> None:
        paths = os.pathsep.join(('target/deps', 'src', '.'))
        variables = {'PYTHONPATH': paths, **variables}
        kept = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={**kept, **variables},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.processes[name] = process
        self.record.write(f'start {name}, process {process.pid}')
        reader = asyncio.ensure_future(self._read(name, process))
        self._readers.append(reader)

    async def _read(
        self, name: str, process: asyncio.subprocess.Process
    ) -> None:
        assert process.stdout
        log = self.folder / f'{name}.log'
        with log.open('ab') as file:
            async for line in process.stdout:
                file.write(line)
                file.flush()
                if name.startswith('front') or not line.startswith(b'{'):
                    continue
                with suppress(ValueError):
                    self._note(name, json.loads(line))
        status = await process.wait()
        if not self._has_ended:
            self.record.say(f'{name} has ended with status {status}')

    def _note(self, name: str, note: dict[str, Any]) -> None:
        note['replica'] = name
        self.notes.append(note)
        self.record.write(f'replica {name}: {json.dumps(note)}')

    def _settings(self, machine: int) -> str:
        region = self.machines[machine]
        name, data_centre = REGIONS[region]
        seeds = [
            self._seen(other, 'peers', region)
            for other in (1, 3, 4)
            if other in self.machines
        ]
        store = self.store
        if region:
            store = store.replace('.10:', f'.{11 + region}:')
        lines = [
            f'seeds = {json.dumps(seeds)}',
            '[instance]',
            f'name = "front-{machine}"',
            f'data_centre = "{data_centre}"',
            f'region = "{name}"',
            f'ip = "127.0.{machine}.10"',
            '[listen]',
        ]
        lines += [
            f'{role} = "{self.address(machine, role)}"' for role in _LISTENERS
        ]
        lines += ['[store]', f'address = "{store}"', '[bounds]']
        lines += [f'{key} = {value}' for key, value in BOUNDS.items()]
        lines += ['[limits]', 'memory_mb = 430', 'descriptors = 6150']
        for region_name, place in REGIONS.values():
            lines += [
                '[[places]]',
                f'data_centre = "{place}"',
                f'region = "{region_name}"',
            ]
        return '\n'.join(lines) + '\n'

    def _seen(self, machine: int, role: str, viewer: int) -> str:
        address = self.address(machine, role)
        if self.machines[machine] == viewer:
            return address
        return address.replace('.10:', f'.{11 + viewer}:')


def configuration(version: int = 1, **changes: object) -> dict[str, Any]:
    """Returns a configuration with the routes of a small site."""
    question = {
        'Resumable': True,
        'MaxAttempts': 2,
        'TimeoutMs': 5000,
        'TargetLatencyMs': 800,
        'GapTargetMs': 400,
        'SessionAffinity': True,
    }
    return {
        'Version': version,
        'Routes': [
            _route('question', 'streaming', 'model', **question),
            _route(
                'plan',
                'streaming',
                'model',
                MaxAttempts=1,
                TimeoutMs=8000,
                TargetLatencyMs=1200,
                GapTargetMs=400,
                SessionAffinity=True,
            ),
            _route('order', 'unsafe', 'shop', MaxAttempts=1),
            _route('stock', 'safe', 'shop', MaxAttempts=2),
        ],
        'Services': [
            {
                'Name': 'model',
                'HealthPath': '/health',
                'MaxConnections': 370,
                'WarmupS': 3.0,
                'WarmupPerS': 3.5,
                'Engine': {'Slots': 64, 'KvCapacity': 360066},
            },
            {
                'Name': 'shop',
                'HealthPath': '/health',
                'MaxConnections': 110,
                'WarmupPerS': 0,
            },
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        **changes,
    }


def _route(
    name: str, kind: str, service: str, **more: object
) -> dict[str, Any]:
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'Service': service,
        'TimeoutMs': 3000,
        'TargetLatencyMs': 325,
        'Priority': 0,
        **more,
    }


def _ignore(_: bytes) -> None:
    """Takes a part of a body."""


async def get(address: str, target: str) -> tuple[int, dict[str, str], bytes]:
    """Sends a GET request on a connection of its own."""
    return await exchange(address, 'GET', target, {}, b'')


async def post(address: str, target: str, document: object) -> None:
    """Sends a JSON document."""
    body = json.dumps(document).encode()
    headers = {'Content-Type': 'application/json'}
    status, _, _ = await exchange(address, 'POST', target, headers, body)
    if status != 200:
        raise RuntimeError(f'{target} answered {status}')


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    on_bytes: Callable[[bytes], None] = _ignore,
    patience_s: float = 60,
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request; returns status, headers and the decoded body.

    Raises IncompleteReadError if the answer ends early, and TimeoutError if
    nothing comes for `patience_s`. `on_bytes` is called with each part of a
    chunked body.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await writer.drain()
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), patience_s)
        head_text = head.decode('latin-1')
        first, *rest = head_text.strip().split('\r\n')
        fields = {}
        for line in rest:
            name, _, text = line.partition(':')
            fields[name.lower()] = text.strip()
        status = int(first.split(' ')[1])
        if 'content-length' in fields:
            read = await reader.readexactly(int(fields['content-length']))
            return status, fields, read
        read = b''
        while size := int(
            await asyncio.wait_for(reader.readuntil(b'\r\n'), patience_s), 16
        ):
            part = await reader.readexactly(size + 2)
            read += part[:-2]
            on_bytes(part[:-2])
        await reader.readexactly(2)
        return status, fields, read
    finally:
        writer.transport.abort()


def run_case(case: Callable[[], Coroutine[Any, Any, int]]) -> NoReturn:
    """Runs a case and exits with its status, 2 if it could not run.

    SIGTERM ends it early; its processes end in each case.
    """

    async def run() -> int:
        task = asyncio.ensure_future(case())
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, _CASE_S)

    try:
        status = asyncio.run(run())
    except (RuntimeError, OSError, asyncio.CancelledError) as error:
        sys.stdout.write(f'the case could not run: {error!r}\n')
        status = 2
    sys.exit(status)


async def _until_open(address: str) -> None:
    host, _, port = address.rpartition(':')
    ends = time.time() + _READY_S
    while time.time() < ends:
        with suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        await asyncio.sleep(0.03)
    raise RuntimeError(f'nothing listens on {address}')


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(('0.0.0.0', 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
