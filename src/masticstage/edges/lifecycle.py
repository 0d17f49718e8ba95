"""The lifecycle of an entry instance: start, service, drain and stop."""

import signal
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import Final

import attrs
import trio

from masticstage.documents import Faults
from masticstage.edges.byte_stream import ByteStream
from masticstage.edges.connection_limits import (
    ConnectionGroup,
    limit_connections,
)
from masticstage.edges.endpoints import (
    answer_entries,
    answer_metrics,
    answer_readiness,
)
from masticstage.edges.gateway import Gateway
from masticstage.edges.gossip import notify_all_peers, run_gossip
from masticstage.edges.health_checks import start_due_checks
from masticstage.edges.http_server import Reply, ServerConnection
from masticstage.edges.listening import listen, serve_connections
from masticstage.edges.origins.spreading import (
    drop_old_origins,
    spread_origins,
)
from masticstage.edges.pacing import log_pace_changes
from masticstage.edges.peer_server import serve_peer
from masticstage.edges.quotas import observe_members
from masticstage.edges.receive_buffers import LONG_LINK_BYTES, SMALL_BYTES
from masticstage.edges.records import (
    apply_due_removals,
    refresh_records,
    watch_records,
)
from masticstage.edges.serving import serve_caller
from masticstage.edges.timers import sleep_until_next
from masticstage.edges.warmups.findings import doubt_all
from masticstage.edges.warmups.outage_checks import start_outage_checks
from masticstage.forwarding.drain_times import answer_time, stop_time
from masticstage.forwarding.routes import CallerLimits
from masticstage.forwarding.wire import RawRequest

#: Intervals of the ticks that detect a pause of the process, start health
#: checks and apply removals. One task does all three, since each wake-up of
#: each instance costs processor time. Gossip rounds fall on the same moments.
_TICK_S: Final = 0.125
_IDLE_TICK_S: Final = 0.25
#: Delay of the event loop that is logged.
_LATE: Final = timedelta(milliseconds=100)
#: Pause before a failed background task is restarted, and interval of the
#: check for open requests during a drain.
_POLL_INTERVAL_S: Final = 0.1
#: Interval at which expired connections and unused states are discarded.
_DISCARD_INTERVAL_S: Final = 1.0
#: Interval of the check whether the settings file has changed.
_SETTINGS_POLL_INTERVAL_S: Final = 1.0
#: Shortest drain: callers use a list of entries for a second. With longer
#: drains, several instances would be out at once in a rolling restart.
_MIN_DRAIN_S: Final = 1.4
#: Bytes of a relay besides the body of its request, which it carries whole.
_RELAY_BYTES: Final = 131_072
#: Limits at addresses where requests have no body.
_BODILESS_LIMITS: Final = CallerLimits(body_bytes=1024)

_BackgroundTask = Callable[[Gateway], Awaitable[None]]
_RequestHandler = Callable[[Gateway, RawRequest, Reply], Awaitable[None]]


async def run_gateway(gateway: Gateway) -> None:
    """Runs an entry instance until it has drained after a signal."""
    gateway.log.record('started', settings=gateway.settings.instance.name)
    nursery = gateway.nursery
    for task in (
        _watch_signals,
        _run_ticks,
        watch_records,
        run_gossip,
        _discard_unused,
        _watch_settings,
    ):
        nursery.start_soon(_keep_running, gateway, task)
    for server in _servers(gateway):
        if server.address:
            await nursery.start(_serve, gateway, server)
    await _wait_until_drained(gateway)
    gateway.log.record('stopped', open=gateway.activity.open_requests)
    nursery.cancel_scope.cancel()


async def _keep_running(gateway: Gateway, task: _BackgroundTask) -> None:
    """Runs a background task and restarts it whenever it has failed."""
    while True:
        await gateway.run_guarded(task, gateway)
        await trio.sleep(_POLL_INTERVAL_S)


@attrs.frozen
class _Server:
    """An address that is served: how, and within which limits."""

    address: str
    respond: _RequestHandler
    limits: Callable[[], CallerLimits]
    group: ConnectionGroup
    buffer_bytes: int = SMALL_BYTES


def _servers(gateway: Gateway) -> tuple[_Server, ...]:
    """Returns what an instance serves; callers come last."""
    listen_on = gateway.settings.listen
    limits = gateway.settings.limits
    count = gateway.metrics.count
    groups = limit_connections(
        limits.descriptors,
        gateway.connections.memory.budget,
        partial(count, 'connections_refused'),
    )

    def peer_limits() -> CallerLimits:
        body_bytes = max(gateway.limits().body_bytes, CallerLimits().body_bytes)
        return CallerLimits(body_bytes=body_bytes + _RELAY_BYTES)

    def bodiless(address: str, respond: _RequestHandler) -> _Server:
        return _Server(
            address, respond, lambda: _BODILESS_LIMITS, groups.others
        )

    return (
        _Server(
            listen_on.peers,
            serve_peer,
            peer_limits,
            groups.peers,
            LONG_LINK_BYTES,
        ),
        bodiless(listen_on.readiness, answer_readiness),
        bodiless(listen_on.entries, answer_entries),
        bodiless(listen_on.metrics, answer_metrics),
        _Server(
            listen_on.callers, serve_caller, gateway.limits, groups.callers
        ),
    )


async def _serve(
    gateway: Gateway,
    server: _Server,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts connections on an address and serves their requests."""
    listener = listen(server.address, server.buffer_bytes)
    task_status.started()

    async def handle_connection(stream: ByteStream) -> None:
        connection = ServerConnection(
            stream,
            gateway.clock,
            server.limits,
            lambda: gateway.drain.is_draining,
            server.group.holding_of(stream),
        )
        respond = partial(server.respond, gateway)
        try:
            await gateway.run_guarded(connection.serve, respond)
        finally:
            server.group.forget(stream)

    def log_failure(reason: str) -> None:
        gateway.metrics.count('accept_failed')
        gateway.log.record(
            'accept_failed', address=server.address, reason=reason
        )

    with listener:
        await serve_connections(
            listener,
            handle_connection,
            log_failure,
            server.group.admit,
            gateway.connections.memory.buffers.enlarge,
        )


async def _watch_signals(gateway: Gateway) -> None:
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*handled_signals) as signals:
        async for number in signals:
            gateway.log.record('signal', name=signal.Signals(number).name)
            if number == signal.SIGHUP:
                _reload(gateway)
            else:
                gateway.drain.request()


async def _run_ticks(gateway: Gateway) -> None:
    """Does at short intervals what is too small for a task of its own."""
    while True:
        await _refresh_after_pause(gateway)
        start_due_checks(gateway)
        start_outage_checks(gateway)
        spread_origins(gateway)
        log_pace_changes(gateway)
        apply_due_removals(gateway)
        observe_members(gateway)
        await _sleep_until_tick(gateway)


async def _sleep_until_tick(gateway: Gateway) -> None:
    """Sleeps, and records how late the event loop woke up."""
    is_busy = (
        gateway.activity.open_requests
        or gateway.views.fleet.removals.are_pending
    )
    late_s = await sleep_until_next(_TICK_S if is_busy else _IDLE_TICK_S)
    late_by = timedelta(seconds=late_s)
    gateway.metrics.record('event_loop.late', late_by)
    if late_by > _LATE:
        gateway.log.record(
            'event_loop_late',
            late_ms=late_by // timedelta(milliseconds=1),
            open=gateway.activity.open_requests,
        )


async def _refresh_after_pause(gateway: Gateway) -> None:
    """Refreshes the view after a pause of the process.

    New requests are refused until then.
    """
    if not gateway.pause_detector.tick():
        return
    gateway.log.record('paused')
    gateway.views.origins.history.restart()
    await notify_all_peers(gateway)
    if not await refresh_records(gateway):
        doubt_all(gateway, 'pause')
    gateway.pause_detector.reset()


async def _watch_settings(gateway: Gateway) -> None:
    """Reloads the settings when their file has changed."""
    while True:
        await sleep_until_next(_SETTINGS_POLL_INTERVAL_S)
        if gateway.settings_file.has_changed():
            _reload(gateway)


def _reload(gateway: Gateway) -> None:
    def log(event: str, faults: Faults) -> None:
        gateway.log.record(event, faults=[str(fault) for fault in faults])

    gateway.settings_file.reload(log)


async def _discard_unused(gateway: Gateway) -> None:
    """Discards expired connections and the state of removed upstreams."""
    while True:
        await sleep_until_next(_DISCARD_INTERVAL_S)
        upstreams = gateway.views.fleet.all_upstreams()
        names = [upstream.record.name for upstream in upstreams]
        gateway.views.loads.keep_only(names)
        gateway.views.fleet.doubts.keep_only(names)
        drop_old_origins(gateway)
        connections = gateway.connections
        for pool in (
            connections.upstreams,
            connections.peers,
            connections.gossip,
        ):
            pool.close_expired()


async def _wait_until_drained(gateway: Gateway) -> None:
    """Waits for a drain request, then until open requests have ended."""
    await gateway.drain.wait_started()
    gateway.activity.drain_started_at = gateway.clock.elapsed()
    gateway.views.members.leave()
    gateway.log.record('draining', open=gateway.activity.open_requests)
    await notify_all_peers(gateway)
    with trio.move_on_after(answer_time(gateway.grace).total_seconds()):
        await trio.sleep(_MIN_DRAIN_S)
        await _wait_until_idle(gateway)
    rest = stop_time(gateway.grace) - answer_time(gateway.grace)
    with trio.move_on_after(rest.total_seconds()):
        await _end_open_requests(gateway)


async def _end_open_requests(gateway: Gateway) -> None:
    """Makes open requests end with an answer, as they cannot end in time."""
    open_scopes = gateway.activity.open_scopes
    if open_scopes:
        gateway.log.record('ending_requests', open=len(open_scopes))
    for scope in tuple(open_scopes):
        scope.cancel()
    await _wait_until_idle(gateway)


async def _wait_until_idle(gateway: Gateway) -> None:
    while gateway.activity.open_requests:
        await trio.sleep(_POLL_INTERVAL_S)
