"""Lifecycle of an instance: start, service, drain and stop."""

import signal
from typing import Final

import trio
import trio_asyncio
from hypercorn.config import Config
from hypercorn.trio import serve

from masticstage.audit import Event
from masticstage.bounded_requests import bound_requests
from masticstage.caller_api import create_app
from masticstage.clock import SystemClock, milliseconds
from masticstage.composition.instances import build_instance
from masticstage.edges.memory_budget import MemoryBudget, budget_bytes
from masticstage.gossip import exchange_with, run_gossip
from masticstage.instance import Instance
from masticstage.peer_server import start_peer_server, stop_peer_server
from masticstage.settings_schema import Settings
from masticstage.watches import (
    read_directory,
    watch_configuration,
    watch_directory,
    watch_loads,
    watch_pauses,
)

#: Time for which open connections may finish when a server stops.
_CLOSE_GRACE_S: Final = 1.0
_DRAIN_POLL_S: Final = 0.1
#: Shortest drain, so that callers learn of it and use other instances.
_MIN_DRAIN_S: Final = 1.0
#: Time after which an idle connection of a caller is closed.
_KEEP_ALIVE_TIMEOUT_S: Final = 75


async def run_instance(settings: Settings) -> None:
    """Runs an instance; it drains and stops after SIGTERM or SIGINT."""
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        instance = build_instance(settings, SystemClock(), nursery)
        instance.audit.record(Event.STARTED, instance.identity.name)
        server = await start_peer_server(instance)
        nursery.start_soon(_watch_signals, instance)
        await read_directory(instance)
        for task in (
            run_gossip,
            watch_configuration,
            watch_directory,
            watch_loads,
            watch_pauses,
        ):
            nursery.start_soon(task, instance)
        await _serve_callers(instance)
        await stop_peer_server(server, _CLOSE_GRACE_S)
        nursery.cancel_scope.cancel()


async def _watch_signals(instance: Instance) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            instance.drain.request()


async def _serve_callers(instance: Instance) -> None:
    config = Config()
    config.bind = [instance.settings.instance.caller_address]
    config.graceful_timeout = _CLOSE_GRACE_S
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = instance.settings.limits.header_bytes
    config.errorlog = None
    tls = instance.settings.caller_tls
    config.certfile = tls.certificate or None
    config.keyfile = tls.key or None
    memory_mb = instance.settings.limits.memory_mb
    await serve(
        bound_requests(
            create_app(instance),
            instance,
            MemoryBudget(budget_bytes(memory_mb)),
        ),
        config,
        shutdown_trigger=lambda: _wait_until_drained(instance),
    )


async def _wait_until_drained(instance: Instance) -> None:
    """Waits for the start of a drain, and then for open requests to end.

    A second signal or the drain timeout of the settings ends the wait.
    """
    await instance.drain.wait_started()
    instance.audit.record(Event.DRAINING, instance.identity.name)
    instance.views.members.leave()
    for member in instance.views.members.others():
        instance.nursery.start_soon(exchange_with, instance, member)
    drain_s = milliseconds(instance.settings.timing.drain_ms).total_seconds()
    with trio.move_on_after(drain_s):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_forced, instance, nursery)
            await trio.sleep(_MIN_DRAIN_S)
            while _has_open_requests(instance):
                await trio.sleep(_DRAIN_POLL_S)
            nursery.cancel_scope.cancel()


async def _cancel_when_forced(
    instance: Instance,
    nursery: trio.Nursery,
) -> None:
    await instance.drain.wait_forced()
    nursery.cancel_scope.cancel()


def _has_open_requests(instance: Instance) -> bool:
    local_state = instance.local_state
    return bool(
        local_state.stream_admission.total
        or local_state.call_admission.total
        or local_state.owned_tickets.in_flight,
    )
