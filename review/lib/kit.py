"""Stand-ins and helpers of the review's scripts; only the standard library.

The entry instances run as separate processes with the commands of the deploy
file. The store, the replicas, the proxies and the clients run in this process.
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
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST = 'shop.example'
#: Zones and regions of the site vrtni-kutak; the first zone has two machines.
ZONES = {
    'split-a': 'dalmacija',
    'zagreb-b': 'zagreb',
    'osijek-a': 'slavonija',
}
MACHINES = (
    ('front-split-a-1', 'split-a'),
    ('front-split-a-2', 'split-a'),
    ('front-zagreb-b-1', 'zagreb-b'),
    ('front-osijek-a-1', 'osijek-a'),
)
#: Bounds of the site vrtni-kutak, in seconds.
CONTACT_S = 5.0
DRAIN_S = 3.0
#: `HeartbeatMs` of the settings, in seconds. The store removes an entry after
#: three heartbeat intervals of silence.
HEARTBEAT_S = 1.2


def free_ports(count):
    """Returns ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        """Opens the file."""
        self._file = Path(path).open('w')
        self.started = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, text):
        """Writes a line."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()

    def say(self, text):
        """Writes a line and prints it."""
        self.write(text)
        print(text, flush=True)


async def read_message(reader):
    """Returns first line, headers and body of a message, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif headers.get('content-length'):
        body = await reader.readexactly(int(headers['content-length']))
    return lines[0], headers, body


def encode_answer(status, headers, body=b''):
    """Returns the bytes of an answer."""
    fields = ''.join(f'{name}: {text}\r\n' for name, text in headers)
    head = f'HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n'
    return head.encode('latin-1') + body


class Store:
    """The platform's store: records, their history and watches."""

    def __init__(self):
        """Starts with no records."""
        self.revision = 1
        self.items = {}
        self.history = []
        self._changed = asyncio.Event()

    def put(self, key, document):
        """Writes a record; that is its acknowledgement."""
        self.revision += 1
        text = base64.b64encode(json.dumps(document).encode()).decode()
        created = self.items.get(key, {}).get('CreatedRev', self.revision)
        item = {
            'Key': key,
            'Value': text,
            'Revision': self.revision,
            'CreatedRev': created,
            'Lease': 0,
        }
        self.items[key] = item
        self._tell(item)

    def delete(self, key):
        """Removes a record."""
        self.revision += 1
        self.items.pop(key)
        event = {'Key': key, 'Revision': self.revision, 'Deleted': True}
        self._tell(event)

    def _tell(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                target = message[0].split(' ')[1]
                document = await self._answer(target)
                body = json.dumps(document).encode()
                headers = [('Content-Type', 'application/json')]
                writer.write(encode_answer(200, headers, body))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _answer(self, target):
        path, _, query = target.partition('?')
        fields = dict(
            entry.partition('=')[::2] for entry in query.split('&') if entry
        )
        if path == '/-/kv-range':
            items = [self.items[key] for key in sorted(self.items)]
            return {
                'items': items,
                'MorePages': False,
                'CurrentRev': self.revision,
            }
        after = int(fields['after'])
        deadline = time.monotonic() + int(fields['WaitMs']) / 1000
        while True:
            events = [item for item in self.history if item['Revision'] > after]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'CurrentRev': self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                continue


class Proxy:
    """Forwards connections; open ones can be made silent for good.

    A silent connection carries no further byte in either direction and is not
    closed. Connections that are opened later work.
    """

    def __init__(self, target):
        """Stores the address that connections are forwarded to."""
        self._target = target
        self._silent = []
        self.open_count = 0

    def silence_open(self):
        """Makes all open connections silent."""
        for event in self._silent:
            event.set()

    async def serve(self, reader, writer):
        """Forwards one connection."""
        silent = asyncio.Event()
        self._silent.append(silent)
        host, _, port = self._target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self.open_count += 1
        pumps = [
            asyncio.create_task(_pump(reader, far_writer, silent)),
            asyncio.create_task(_pump(far_reader, writer, silent)),
        ]
        try:
            await asyncio.wait(pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            self.open_count -= 1
            self._silent.remove(silent)
            far_writer.close()
            writer.close()


async def _pump(reader, writer, silent):
    try:
        while True:
            received = await reader.read(65536)
            if not received:
                if not silent.is_set():
                    writer.close()
                return
            if not silent.is_set():
                writer.write(received)
                await writer.drain()
    except ConnectionError:
        writer.close()


class Replica:
    """A sound replica: answers calls, echoes ids, rejects others' requests."""

    def __init__(self, name, service, zone, address, record, work_s=0.02):
        """Stores who it is."""
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.work_s = work_s
        self.arrivals = []
        self._record = record
        self._server = None
        self._writers = set()
        self.slots = 6
        self.running = 0
        self.is_leaving = False

    def entry(self, state='ready', cold_ms=0):
        """Returns its record in the store."""
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.zone,
            'Version': 1,
            'Slots': self.slots,
            'State': state,
            'WarmupLeftMs': cold_ms,
            'Sequence': 1,
            'born': int(time.time() * 1000),
        }

    async def start(self):
        """Opens its port."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self.serve, host, int(port))

    def stop(self):
        """Ends: closes its port and its connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def serve(self, reader, writer):
        """Serves one connection."""
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                answer = await self._respond(*message)
                writer.write(answer)
                await writer.drain()
                if self.is_leaving:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _closing(self):
        """Returns the header that a replica sends while it is leaving."""
        return [('Connection', 'close')] if self.is_leaving else []

    async def _respond(self, line, headers, _body):
        path = line.split(' ')[1]
        if path == '/health':
            status = 503 if self.is_leaving else 200
            own = [('X-Instance-Id', self.name), *self._closing()]
            return encode_answer(status, own)
        request_id = headers['x-request-id']
        echo = [('X-Request-Id', request_id), *self._closing()]
        if headers.get('x-target-instance', self.name) != self.name:
            return encode_answer(421, echo)
        self.arrivals.append((self._record.now(), request_id))
        self._record.write(f'ran {request_id} {path} at {self.name}')
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        load = f'{self.running},0,{self.slots}'
        signed = [
            ('X-Request-Id', request_id),
            *self._closing(),
            ('X-Response-Signature', f'{self.name}.{request_id}'),
            ('X-Server-Load', load),
        ]
        return encode_answer(200, signed, f'answer of {self.name}'.encode())


def route(name, kind, service, **changes):
    """Returns a route of the configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'TimeoutMs': 1500,
        'TargetLatencyMs': 325,
        'Service': service,
        'Priority': 2,
        'MaxAttempts': 2 if kind == 'safe' else 1,
        **changes,
    }


def configuration(version, routes, services):
    """Returns the document of `op/config`."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {
                'Name': name,
                'HealthPath': '/health',
                'MaxConnections': 110,
                **changes,
            }
            for name, changes in services.items()
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


class Machine:
    """An entry instance in a process of its own."""

    def __init__(self, name, zone, number, store_address, folder):
        """Chooses its ports."""
        self.name = name
        self.zone = zone
        self.ip = f'127.0.{number}.1'
        ports = free_ports(6)
        roles = ('callers', 'readiness', 'peers', 'entries', 'metrics')
        self.listen = {
            role: f'{self.ip}:{port}'
            for role, port in zip(roles, ports, strict=False)
        }
        self.gossip = f'{self.ip}:{ports[5]}'
        self.store_address = store_address
        self.advertised_peers = self.listen['peers']
        self._settings = folder / f'{name}.toml'
        self._log = folder / f'{name}.log'
        self.process = None

    def write_settings(self, seeds):
        """Writes the settings file, as the template of the deploy file."""
        listen = '\n'.join(
            f'{role} = "{address}"' for role, address in self.listen.items()
        )
        places = '\n'.join(
            f'[[places]]\ndata_centre = "{zone}"\nregion = "{region}"\n'
            for zone, region in ZONES.items()
        )
        self._settings.write_text(
            f'seeds = {json.dumps(seeds)}\n'
            f'[instance]\nname = "{self.name}"\ndata_centre = "{self.zone}"\n'
            f'region = "{ZONES[self.zone]}"\nip = "{self.ip}"\n'
            f'[listen]\n{listen}\ngossip = "{self.gossip}"\n'
            f'[store]\naddress = "{self.store_address}"\n'
            '[bounds]\ngrace_s = 8\nrepeat_ratio = 0.2\n'
            f'repeat_window_s = 10\nrepeat_slack = 56\n{places}'
        )

    async def start(self):
        """Starts the process with the run line of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['MASTICSTAGE_SETTINGS'] = str(self._settings)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-S',
                'src/masticstage_entry.py',
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Sends a signal to the process that this script started."""
        self.process.send_signal(number)

    async def stop(self):
        """Ends the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 10)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()

    def log_text(self):
        """Returns what the process logged."""
        return self._log.read_text()


async def is_ready(machine):
    """Asks a machine's readiness address as the platform does."""
    try:
        status, _, _ = await asyncio.wait_for(
            call(machine.listen['readiness'], 'GET', '/-/ready', {}), 1
        )
    except (OSError, asyncio.TimeoutError):
        return False
    return status == 200


async def wait_ready(machines, timeout_s=30):
    """Waits until all machines are ready; False if that takes too long."""
    deadline = time.monotonic() + timeout_s
    for machine in machines:
        while not await is_ready(machine):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.05)
    return True


async def call(address, method, path, headers, body=b''):
    """Sends a request on a new connection; returns status, headers, body.

    The status is 0 if the connection ends without a complete answer.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = {'Host': HOST, 'Connection': 'close', **headers}
        if body:
            fields['Content-Length'] = str(len(body))
        text = ''.join(f'{name}: {field}\r\n' for name, field in fields.items())
        writer.write(f'{method} {path} HTTP/1.1\r\n{text}\r\n'.encode() + body)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            return 0, {}, b''
        return int(message[0].split(' ')[1]), message[1], message[2]
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0, {}, b''
    finally:
        writer.close()


class Clients:
    """Clients that send requests and note when, and what came back."""

    def __init__(self, record):
        """Starts with nothing sent."""
        self.sent = {}
        self.answers = {}
        self._record = record
        self._count = 0
        self.tasks = []

    def send(self, machine, method, path, deadline_ms=3000, headers=None):
        """Sends one request in the background; returns its id."""
        self._count += 1
        request_id = f'{self._count:016x}'
        self.sent[request_id] = (self._record.now(), machine.name)
        self._record.write(f'sent {request_id} {path} to {machine.name}')
        fields = {
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
            **(headers or {}),
        }
        task = asyncio.create_task(
            self._wait(machine, method, path, fields, deadline_ms)
        )
        self.tasks.append(task)
        return request_id

    async def _wait(self, machine, method, path, fields, deadline_ms):
        body = b'{"order": 1}' if method == 'POST' else b''
        request_id = fields['X-Request-Id']
        try:
            status, _, _ = await asyncio.wait_for(
                call(machine.listen['callers'], method, path, fields, body),
                deadline_ms / 1000,
            )
        except asyncio.TimeoutError:
            status = -1
        except OSError:
            status = -2
        self.answers[request_id] = (self._record.now(), status)
        self._record.write(f'answered {request_id} {status}')

    async def press(self, machines, method, path, per_s, until):
        """Sends requests to each machine at a rate until a time."""
        while self._record.now() < until:
            for machine in machines:
                self.send(machine, method, path)
            await asyncio.sleep(1 / per_s)


class Deployment:
    """A small deployment: a store, replicas, and entry instances."""

    def __init__(self, record, machines=MACHINES):
        """Creates what is started later."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.proxies = {}
        self.replicas = {}
        self.machines = []
        self._names = machines
        self._servers = []
        self._connections = set()

    async def __aenter__(self):
        """Opens the store and one proxy to it for each machine."""
        store_address = await self.listen(self.store.serve)
        for number, (name, zone) in enumerate(self._names, 1):
            proxy = Proxy(store_address)
            self.proxies[name] = proxy
            address = await self.listen(proxy.serve)
            self.machines.append(
                Machine(name, zone, number, address, self.folder)
            )
        return self

    async def __aexit__(self, *_failure):
        """Ends every process that was started and removes the folder."""
        await asyncio.gather(*(machine.stop() for machine in self.machines))
        for server in self._servers:
            server.close()
        for replica in self.replicas.values():
            replica.stop()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)
        await asyncio.sleep(0.2)
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def listen(self, serve):
        """Serves a free port; returns its address."""

        async def serve_one(reader, writer):
            task = asyncio.current_task()
            self._connections.add(task)
            try:
                await serve(reader, writer)
            finally:
                self._connections.discard(task)

        server = await asyncio.start_server(serve_one, '127.0.0.1', 0)
        self._servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    async def add_replica(self, name, service, zone, work_s=0.02):
        """Starts a replica and registers it."""
        address = f'127.0.0.1:{free_ports(1)[0]}'
        replica = Replica(name, service, zone, address, self.record, work_s)
        await replica.start()
        self.replicas[name] = replica
        self.store.put(f'servers/{name}', replica.entry())
        return replica

    async def start_machines(self):
        """Starts all instances and waits until they are ready."""
        seeds = [machine.listen['peers'] for machine in self.machines[:3]]
        for machine in self.machines:
            machine.write_settings(seeds)
            await machine.start()
        return await wait_ready(self.machines)


def run_case(main):
    """Runs a case; exits with 1 if the rule broke, 0 if not, 2 if it failed."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / 'record.txt')
    try:
        code = asyncio.run(asyncio.wait_for(main(record), 115))
    except Exception as error:  # The case could not run.
        record.say(f'could not run: {error!r}')
        code = 2
    record.say(f'exit {code}')
    sys.exit(code)
