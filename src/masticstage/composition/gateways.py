"""Builds an entry instance on the users' platform.

No other module outside `masticstage.platform` imports the adapter.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from random import Random

import trio

from masticstage.clock import (
    Clock,
    PauseDetector,
    milliseconds,
    to_milliseconds,
)
from masticstage.drain import Drain
from masticstage.edges.activity import Activity
from masticstage.edges.connections import Connections
from masticstage.edges.decision_log import DecisionLog
from masticstage.edges.gateway import Gateway
from masticstage.edges.gossip_state import GossipState
from masticstage.edges.http_client import ConnectionPool, HeldBodies
from masticstage.edges.instance_memory import InstanceMemory
from masticstage.edges.quota_state import build_quota_state
from masticstage.edges.reload import SettingsFile
from masticstage.edges.views import Views
from masticstage.entrysettings_schema import EntrySettings
from masticstage.forwarding.budgets import BudgetBounds, RetryBudget
from masticstage.forwarding.candidate_finder import CandidateFinder
from masticstage.forwarding.choice import Chooser
from masticstage.forwarding.crashes.crash_causes import CrashCauses
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.origins.history import SoftwareHistory
from masticstage.forwarding.origins.known import Origins
from masticstage.forwarding.origins.notes import OriginNotes
from masticstage.forwarding.outage import OutageTracker
from masticstage.forwarding.overload import OverloadControl
from masticstage.forwarding.pacer import Pacer
from masticstage.forwarding.prefix_reports import PrefixReports
from masticstage.forwarding.record_cache import RecordCache
from masticstage.forwarding.sampling import CandidateSampler
from masticstage.forwarding.view import FleetView
from masticstage.membership import Member, MemberId, MemberTable
from masticstage.metrics import Metrics
from masticstage.platform.store import StoreClient
from masticstage.platform.wire import build_wire_format

#: A longer pause of the process makes the instance refresh its view. It is
#: longer than any step of its own and shorter than the time limits of leaving
#: upstreams.
_PAUSE_THRESHOLD = timedelta(seconds=1.2)
#: Time after which a suspected instance is contacted only rarely.
_GONE_AFTER = timedelta(seconds=5)
#: Connect timeouts. A round trip takes a millisecond within a region. To
#: another region it takes 110 ms, and a packet may be lost.
_UPSTREAM_CONNECT_TIMEOUT_S = 0.3
_PEER_CONNECT_TIMEOUT_S = 0.5
#: Idle timeouts. Idle connections to upstreams may be dropped without notice;
#: their timeout is below the shortest idle time after which this happens.
#: Connections to peers may be idle for longer.
_UPSTREAM_IDLE_TIMEOUT_S = 1.0
_PEER_IDLE_TIMEOUT_S = 4.0


def build_gateway(
    settings_file: SettingsFile,
    clock: Clock,
    nursery: trio.Nursery,
) -> Gateway:
    """Builds an entry instance; its background tasks run in the nursery."""
    settings = settings_file.settings
    region_of = {place.data_centre: place.region for place in settings.places}
    own = settings.instance
    metrics = Metrics()
    connections = _build_connections(settings, clock, metrics)
    views = _build_views(settings, clock, connections.upstreams.has_idle)
    return Gateway(
        settings_file,
        clock,
        build_wire_format(region_of),
        views,
        connections,
        Activity(),
        GossipState(Random()),  # noqa: S311 (spreads load; not for secrets)
        Drain(),
        PauseDetector(clock, _PAUSE_THRESHOLD),
        DecisionLog(clock, own.name),
        metrics,
        nursery,
        build_quota_state(settings, clock, views.fleet),
    )


def _build_connections(
    settings: EntrySettings, clock: Clock, metrics: Metrics
) -> Connections:
    memory = InstanceMemory.within(
        settings.limits.memory_mb, partial(metrics.count, 'requests_evicted')
    )
    held = HeldBodies(memory.budget)

    def build_pool(connect_timeout_s: float, idle_s: float) -> ConnectionPool:
        return ConnectionPool(
            clock,
            connect_timeout_s,
            idle_s,
            held=held,
            enlarge_buffer=memory.buffers.enlarge,
        )

    return Connections(
        StoreClient(settings.store.address),
        build_pool(_UPSTREAM_CONNECT_TIMEOUT_S, _UPSTREAM_IDLE_TIMEOUT_S),
        build_pool(_PEER_CONNECT_TIMEOUT_S, _PEER_IDLE_TIMEOUT_S),
        build_pool(_PEER_CONNECT_TIMEOUT_S, _PEER_IDLE_TIMEOUT_S),
        memory,
    )


def _build_views(
    settings: EntrySettings,
    clock: Clock,
    is_connected: Callable[[str], bool],
) -> Views:
    own = settings.instance
    member = Member(
        MemberId(own.name, to_milliseconds(clock.now())),
        own.data_centre,
        own.region,
        settings.listen.peers,
        settings.listen.callers,
        gossip_address=settings.listen.gossip,
        takes_compressed=True,
    )
    members = MemberTable(clock, member, _GONE_AFTER, supersedes_itself=True)
    view = FleetView(clock, milliseconds(settings.bounds.removal_ms))
    loads = LoadTable(clock)
    random = Random()  # noqa: S311 (spreads load; not for secrets)
    finder = CandidateFinder(clock, random, view, loads, members)
    bounds = BudgetBounds(
        settings.bounds.repeat_ratio,
        timedelta(seconds=settings.bounds.repeat_window_s),
        settings.bounds.repeat_slack,
    )
    return Views(
        RecordCache(),
        view,
        OutageTracker(clock, milliseconds(settings.bounds.reconnect_ms)),
        members,
        loads,
        Chooser(
            clock,
            CandidateSampler(random, is_connected),
            finder,
            loads,
            Pacer(clock, loads, members),
        ),
        CrashCauses(clock, random),
        RetryBudget(clock, bounds, 2 * len(settings.places)),
        OverloadControl(clock),
        PrefixReports(clock),
        Origins(OriginNotes(clock), SoftwareHistory(clock)),
    )
