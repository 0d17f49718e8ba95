"""The life of an entry instance: start, service, drain and stop."""

import signal
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import trio

from masticstage.documents import Faults
from masticstage.edges.checks import check_doubtful
from masticstage.edges.entrance import (
    answer_entries,
    answer_metrics,
    answer_readiness,
)
from masticstage.edges.exchanges import run_exchanges, tell_all
from masticstage.edges.gateway import Gateway
from masticstage.edges.listeners import Reply, ServerConnection, listen
from masticstage.edges.records import (
    believe_absences,
    follow_records,
    refresh,
)
from masticstage.edges.relays import serve_peer
from masticstage.edges.serving import serve_caller
from masticstage.forwarding.routes import CallerLimits
from masticstage.forwarding.wire import RawRequest

#: Period of the ticks by which a standstill of the process is noticed.
_TICK_S: Final = 0.1
_POLL_S: Final = 0.1
#: Pause between two rounds of dropping what is no longer used.
_DISCARD_S: Final = 1.0
#: Pause between two looks at the settings file.
_SETTINGS_S: Final = 1.0
#: Least length of a drain: callers keep a list of entries for a second. When
#: instances are replaced in turn, a longer one has several out at once.
_LEAST_DRAIN_S: Final = 1.4
#: Part of the grace after which the process ends whatever is open; the rest is
#: for its own end. With 0.95 three instances of a played day were killed.
_GRACE_SHARE: Final = 0.9
#: Bounds on messages of other instances: a relayed body and its headers.
_PEER_LIMITS: Final = CallerLimits(65536, 8_388_608)

_Task = Callable[[Gateway], Awaitable[None]]
_Answer = Callable[[Gateway, RawRequest, Reply], Awaitable[None]]


async def run_gateway(gateway: Gateway) -> None:
    """Runs an entry instance until a signal has made it drain and stop."""
    gateway.log.record('started', settings=gateway.settings.instance.name)
    nursery = gateway.nursery
    listen_on = gateway.settings.listen
    for task in (
        _watch_signals,
        _watch_pauses,
        follow_records,
        believe_absences,
        check_doubtful,
        run_exchanges,
        _discard_old,
        _watch_settings,
    ):
        nursery.start_soon(_keep_running, gateway, task)
    for address, answer in (
        (listen_on.peers, serve_peer),
        (listen_on.readiness, answer_readiness),
        (listen_on.entries, answer_entries),
    ):
        await nursery.start(_serve, gateway, address, answer, _PEER_LIMITS)
    if listen_on.metrics:
        serve_metrics = partial(_serve, gateway, listen_on.metrics)
        await nursery.start(serve_metrics, answer_metrics, _PEER_LIMITS)
    await nursery.start(_serve, gateway, listen_on.callers, serve_caller, None)
    await _drained(gateway)
    gateway.log.record('stopped', open=gateway.activity.open_requests)
    nursery.cancel_scope.cancel()


async def _keep_running(gateway: Gateway, task: _Task) -> None:
    """Starts a lasting task again when a fault of it has ended it."""
    while True:
        await gateway.guard(task, gateway)
        await trio.sleep(_POLL_S)


async def _serve(
    gateway: Gateway,
    address: str,
    answer: _Answer,
    limits: CallerLimits | None,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts connections; `limits` are those in force when None."""
    listener = await listen(address)
    task_status.started()

    async def converse(stream: trio.SocketStream) -> None:
        connection = ServerConnection(
            stream,
            gateway.clock,
            gateway.limits if limits is None else lambda: limits,
            lambda: gateway.drain.is_draining,
        )
        await gateway.guard(connection.serve, partial(answer, gateway))

    await trio.serve_listeners(converse, [listener])


async def _watch_signals(gateway: Gateway) -> None:
    caught = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*caught) as signals:
        async for number in signals:
            gateway.log.record('signal', name=signal.Signals(number).name)
            if number == signal.SIGHUP:
                _reload(gateway)
            else:
                gateway.drain.request()


async def _watch_pauses(gateway: Gateway) -> None:
    """Notices a standstill and refreshes the view before new dispatches."""
    while True:
        if gateway.pause.tick():
            gateway.log.record('paused')
            await tell_all(gateway)
            await refresh(gateway)
            gateway.pause.reset()
        await trio.sleep(_TICK_S)


async def _watch_settings(gateway: Gateway) -> None:
    """Reads the settings again when their file has changed."""
    while True:
        await trio.sleep(_SETTINGS_S)
        if gateway.settings_file.has_changed():
            _reload(gateway)


def _reload(gateway: Gateway) -> None:
    def log(event: str, faults: Faults) -> None:
        gateway.log.record(event, faults=[str(fault) for fault in faults])

    gateway.settings_file.reload(log)


async def _discard_old(gateway: Gateway) -> None:
    """Drops idle connections and the states of upstreams that are gone."""
    while True:
        await trio.sleep(_DISCARD_S)
        listed = gateway.beliefs.view.all_upstreams()
        gateway.beliefs.loads.keep_only([one.record.name for one in listed])
        links = gateway.links
        for pool in (links.upstreams, links.peers, links.exchanges):
            pool.discard_old()


async def _drained(gateway: Gateway) -> None:
    """Returns when a drain has been requested and has come to its end."""
    await gateway.drain.wait_started()
    gateway.activity.drain_at = gateway.clock.elapsed()
    gateway.beliefs.members.leave()
    gateway.log.record('draining', open=gateway.activity.open_requests)
    await tell_all(gateway)
    longest_s = _GRACE_SHARE * gateway.settings.bounds.grace_s
    with trio.move_on_after(longest_s):
        await trio.sleep(_LEAST_DRAIN_S)
        while gateway.activity.open_requests:
            await trio.sleep(_POLL_S)
