"""Entry instances with replicas on loopback, for tests."""

import socket
from collections import deque
from contextlib import asynccontextmanager
from functools import wraps
from pathlib import Path

import attrs
import trio

from bench.ports import wait_for_port
from masticstage.clock import SystemClock
from masticstage.composition.gateways import build_gateway
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_client import Connection, OutgoingRequest, connect
from masticstage.edges.lifecycle import run_gateway
from masticstage.edges.reload import SettingsFile
from masticstage.entrysettings_schema import (
    EntryBounds,
    EntryInstance,
    EntryListen,
    EntryPlace,
    EntrySettings,
    EntryStore,
)
from masticstage.exceptions import BrokenConnectionError, ConnectError
from masticstage.forwarding.published import UpstreamRecord
from masticstage.forwarding.routes import RouteTable
from standins.faults import Fault
from standins.replica import Replica
from tests.forwarding_builders import build_table

_ID = b'x-request-id'
_TEST_TIMEOUT_S = 20


def run_with_timeout(function):
    """Runs an async test with a timeout."""

    @wraps(function)
    def run():
        async def bounded():
            with trio.fail_after(_TEST_TIMEOUT_S):
                await function()

        trio.run(bounded)

    return run


def free_addresses(count: int) -> list[str]:
    """Returns free loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    addresses = [f'127.0.0.1:{sock.getsockname()[1]}' for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


async def wait_until_closed(address: str) -> None:
    """Waits until an address refuses connections."""
    while True:
        try:
            connection = await connect(address, 1, SystemClock())
        except ConnectError:
            return
        connection.close()
        await trio.sleep(0.01)


def build_entry_settings(
    callers: str,
    readiness: str,
    peers: str,
    entries: str,
    store: str,
    *,
    region: str = 'north',
    **bounds: float,
) -> SettingsFile:
    """Returns the settings of instance `own`, or of one in another region.

    `bounds` replace some of its bounds.
    """
    name = 'own' if region == 'north' else region
    settings = EntrySettings(
        EntryInstance(name, f'{region}-a', region, '127.0.0.1'),
        EntryListen(callers, readiness, peers, entries, gossip=peers),
        EntryStore(store),
        (EntryPlace('north-a', 'north'), EntryPlace('south-a', 'south')),
        # A retry budget that is never used up; see test_budgets for its tests.
        attrs.evolve(EntryBounds(8, 30, 10, 56), **bounds),
    )
    return SettingsFile(Path('no-file.toml'), settings)


async def publish_replica(
    nursery: trio.Nursery,
    replica: Replica,
    service: str,
) -> UpstreamRecord:
    """Starts a replica on loopback; returns its record."""
    listeners = await nursery.start(replica.serve, '127.0.0.1:0')
    port = listeners[0].socket.getsockname()[1]
    return UpstreamRecord(
        replica.name,
        service,
        f'127.0.0.1:{port}',
        'north-a',
        'north',
        8,
    )


@attrs.define
class Deployment:
    """A running gateway with replicas of each service."""

    gateway: Gateway
    replicas: dict[str, Replica]
    last_id: int = 0

    def inject_faults(self, *faults: Fault, prefix: str = '') -> None:
        """Sets the faults of the next requests at replicas, by name prefix."""
        for name, replica in self.replicas.items():
            if name.startswith(prefix):
                replica.faults = deque(faults)

    def crashed_names(self) -> list[str]:
        """Returns the names of the replicas that a request has crashed."""
        return [
            name
            for name, replica in self.replicas.items()
            if replica.has_crashed
        ]

    def executed_ids(self) -> list[str]:
        """Returns the ids of all requests that the replicas ran."""
        return [
            request_id
            for replica in self.replicas.values()
            for request_id in replica.executed_ids
        ]

    async def restart_replicas(self, prefix: str, cold_ms: int) -> None:
        """Ends replicas and starts them again under their names, cold."""
        for known in self.gateway.views.fleet.all_upstreams():
            name = known.record.name
            if name.startswith(prefix):
                self.replicas[name].crash()
                await wait_until_closed(known.record.address)
                self.replicas[name] = Replica(name, cold_ms=cold_ms)
                await self.gateway.nursery.start(
                    self.replicas[name].serve, known.record.address
                )

    async def open(self) -> Connection:
        """Connects as a caller."""
        address = self.gateway.settings.listen.callers
        return await connect(address, 1, SystemClock())

    async def request(self, path, body=b'', *headers):
        """Sends a request; returns status, headers and the complete body."""
        status, fields, answer, is_complete = await self.request_partial(
            path,
            body,
            *headers,
        )
        assert is_complete
        return status, fields, answer

    async def request_partial(self, path, body=b'', *headers):
        """Sends a request that may break off.

        Returns status, headers, the received body and whether it is complete.
        """
        self.last_id += 1
        connection = await self.open()
        outgoing = OutgoingRequest(
            b'POST' if body else b'GET',
            path,
            (
                (b'host', b'shop.example'),
                (_ID, b'r-%d' % self.last_id),
                (b'x-deadline-ms', b'3000'),
                *headers,
            ),
            body,
        )
        await connection.send(outgoing, self.gateway.spawn)
        head = await connection.read_head()
        answer, is_complete = b'', False
        try:
            while not is_complete:
                chunk = await connection.read_chunk()
                answer += chunk
                is_complete = not chunk
        except BrokenConnectionError:
            is_complete = False
        connection.close()
        return head.status, dict(head.headers), answer, is_complete


@asynccontextmanager
async def deploy_entry(table: RouteTable | None = None, replica_count: int = 2):
    """Runs a gateway and some replicas of each service on loopback."""
    async with trio.open_nursery() as nursery:
        replicas, records = await _start_replicas(nursery, replica_count)
        gateway = await _start_gateway(nursery, records, table, 'north')
        yield Deployment(gateway, replicas)
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def deploy_two_regions(
    table: RouteTable | None = None, replica_count: int = 2
):
    """Runs a gateway in the north whose replicas are all in the south.

    Yields it with the gateway of the south.
    """
    async with trio.open_nursery() as nursery:
        replicas, records = await _start_replicas(nursery, replica_count)
        south = {'data_centre': 'south-a', 'region': 'south'}
        records = [attrs.evolve(record, **south) for record in records]
        far = await _start_gateway(nursery, records, table, 'south')
        near = await _start_gateway(nursery, records, table, 'north')
        near.views.members.merge([far.views.members.own])
        yield Deployment(near, replicas), far
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def deploy_two_instances(table: RouteTable | None = None):
    """Runs two gateways of the same region.

    Yields the instance named `own` with the one named `second`.
    """
    async with trio.open_nursery() as nursery:
        replicas, records = await _start_replicas(nursery)
        second = await _start_gateway(
            nursery, records, table, 'north', 'second'
        )
        own = await _start_gateway(nursery, records, table, 'north')
        own.views.members.merge([second.views.members.own])
        yield Deployment(own, replicas), second
        nursery.cancel_scope.cancel()


async def _start_replicas(nursery, replica_count=2):
    replicas = {}
    records = []
    for service in ('shop', 'model'):
        for number in range(1, replica_count + 1):
            name = f'{service}-{number}'
            replicas[name] = Replica(name)
            records.append(
                await publish_replica(nursery, replicas[name], service),
            )
    return replicas, records


async def _start_gateway(nursery, records, table, region, name=''):
    settings = build_entry_settings(*free_addresses(5), region=region)
    if name:
        own = attrs.evolve(settings.settings.instance, name=name)
        named = attrs.evolve(settings.settings, instance=own)
        settings = SettingsFile(Path('no-file.toml'), named)
    gateway = build_gateway(settings, SystemClock(), nursery)
    for record in records:
        gateway.views.fleet.apply(f'u/{record.name}', record)
    gateway.views.fleet.apply('c', table or build_table())
    nursery.start_soon(run_gateway, gateway)
    await wait_for_port(gateway.settings.listen.callers)
    return gateway
