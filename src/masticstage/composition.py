"""Composition root: builds an instance and runs it until it has drained."""

import signal
from datetime import timedelta
from random import Random

import trio
import trio_asyncio
from hypercorn.config import Config
from hypercorn.trio import serve

from masticstage.admission import Admission
from masticstage.audit import Audit, Event
from masticstage.caller_api import create_app
from masticstage.clock import (
    Clock,
    PauseDetector,
    SystemClock,
    milliseconds,
    to_milliseconds,
)
from masticstage.drain import Drain
from masticstage.gossip import exchange_with, run_gossip
from masticstage.instance import Books, Connections, Instance, Views
from masticstage.membership import Member, MemberTable
from masticstage.metrics import Metrics
from masticstage.peer_client import PeerClient
from masticstage.peer_server import start_peer_server, stop_peer_server
from masticstage.platform_client import PlatformClient
from masticstage.quarantine import Quarantine, SuspectRuns
from masticstage.retries import RetryBudget
from masticstage.rollout import Rollout
from masticstage.routing import Router
from masticstage.settings_schema import Settings
from masticstage.summaries import SummaryTable
from masticstage.tickets import OwnerBook, WitnessBook
from masticstage.tokens import MemberId, TokenSigner
from masticstage.upstream_client import UpstreamClient
from masticstage.upstream_table import UpstreamTable
from masticstage.watches import (
    read_directory,
    watch_configuration,
    watch_directory,
    watch_loads,
    watch_pauses,
)

_PAUSE_THRESHOLD = timedelta(seconds=2)
_CLOSE_GRACE_S = 1.0
_DRAIN_POLL_S = 0.1
#: Least length of a drain, in which callers hear of it and turn elsewhere.
_MIN_DRAIN_S = 1.0
_IDLE_S = 75


async def run_instance(settings: Settings) -> None:
    """Runs one instance until a signal has made it drain and stop."""
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


def build_instance(
    settings: Settings,
    clock: Clock,
    nursery: trio.Nursery,
) -> Instance:
    """Wires the parts of one instance."""
    own = settings.instance
    identity = MemberId(own.name, to_milliseconds(clock.now()))
    random = Random()  # noqa: S311 (spreads load; not for secrets)
    silence = milliseconds(settings.timing.stream_silence_ms)
    peer_timeout = milliseconds(settings.timing.peer_timeout_ms)
    return Instance(
        settings,
        identity,
        clock,
        random,
        TokenSigner(settings.tokens.secrets),
        Connections(
            PeerClient(peer_timeout, nursery, _translations(settings)),
            UpstreamClient(silence),
            PlatformClient(settings.platform.address),
        ),
        _build_books(settings, identity, clock),
        _build_views(settings, identity, clock, random),
        Drain(),
        PauseDetector(clock, _PAUSE_THRESHOLD),
        Audit(clock),
        Metrics(),
        nursery,
    )


def _translations(settings: Settings) -> dict[str, str]:
    return {known.address: known.via for known in settings.translations}


def _build_books(settings: Settings, identity: MemberId, clock: Clock) -> Books:
    limits = settings.limits
    return Books(
        OwnerBook(clock, limits.held_outcomes),
        WitnessBook(clock, identity, limits.held_outcomes),
        Admission(limits.open_streams),
        Admission(limits.open_calls),
        Quarantine(clock),
        SuspectRuns(),
        RetryBudget(),
    )


def _build_views(
    settings: Settings,
    identity: MemberId,
    clock: Clock,
    random: Random,
) -> Views:
    own = settings.instance
    member = Member(
        identity,
        own.data_centre,
        own.region,
        own.peer_address,
        own.caller_address,
    )
    gone_after = milliseconds(settings.timing.gone_ms)
    upstreams = UpstreamTable(clock)
    return Views(
        Rollout(clock),
        MemberTable(clock, member, gone_after),
        upstreams,
        Router(upstreams, random),
        SummaryTable(clock),
    )


async def _watch_signals(instance: Instance) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            instance.drain.request()


async def _serve_callers(instance: Instance) -> None:
    config = Config()
    config.bind = [instance.settings.instance.caller_address]
    config.graceful_timeout = _CLOSE_GRACE_S
    config.keep_alive_timeout = _IDLE_S
    config.h11_max_incomplete_size = instance.settings.limits.header_bytes
    config.errorlog = None
    await serve(
        create_app(instance),
        config,
        shutdown_trigger=lambda: _drained(instance),
    )


async def _drained(instance: Instance) -> None:
    """Returns when a drain has been requested and has come to its end."""
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
            while _is_busy(instance):
                await trio.sleep(_DRAIN_POLL_S)
            nursery.cancel_scope.cancel()


async def _cancel_when_forced(
    instance: Instance,
    nursery: trio.Nursery,
) -> None:
    await instance.drain.wait_forced()
    nursery.cancel_scope.cancel()


def _is_busy(instance: Instance) -> bool:
    books = instance.books
    return bool(
        books.streams.total or books.calls.total or books.owner.in_flight,
    )
