"""Builders for entry instances on loopback."""

import socket
from functools import partial, wraps
from pathlib import Path

import trio

from masticstage.edges.reload import SettingsFile
from masticstage.entrysettings_schema import (
    EntryBounds,
    EntryInstance,
    EntryListen,
    EntryPlace,
    EntrySettings,
    EntryStore,
)
from masticstage.forwarding.published import UpstreamRecord
from standins.replica import Replica

_TEST_S = 20


def run_briefly(function):
    """Runs an async test with a bound on its time."""

    @wraps(function)
    def run():
        async def bounded():
            with trio.fail_after(_TEST_S):
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


def build_entry_settings(
    callers: str,
    readiness: str,
    peers: str,
    entries: str,
    store: str,
) -> SettingsFile:
    """Returns the settings of an instance in the north."""
    settings = EntrySettings(
        EntryInstance('own', 'north-a', 'north', '127.0.0.1'),
        EntryListen(callers, readiness, peers, entries),
        EntryStore(store),
        (EntryPlace('north-a', 'north'), EntryPlace('south-a', 'south')),
        # A budget that never binds; its own tests are in test_budgets.
        EntryBounds(8, 3, 10, 56),
    )
    return SettingsFile(Path('no-file.toml'), settings)


async def publish_replica(
    nursery: trio.Nursery,
    replica: Replica,
    service: str,
) -> UpstreamRecord:
    """Starts a replica on loopback; returns its record."""
    serve = partial(
        trio.serve_tcp,
        replica.converse,
        0,
        host='127.0.0.1',
    )
    listeners = await nursery.start(serve)
    port = listeners[0].socket.getsockname()[1]
    return UpstreamRecord(
        replica.name,
        service,
        f'127.0.0.1:{port}',
        'north-a',
        'north',
        8,
    )
