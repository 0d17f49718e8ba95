"""Composition root: builds an instance and wires its parts."""

from datetime import timedelta
from random import Random

import trio

from masticstage.admission import Admission
from masticstage.audit import Audit
from masticstage.clock import (
    Clock,
    PauseDetector,
    milliseconds,
    to_milliseconds,
)
from masticstage.drain import Drain
from masticstage.edges.connections import Pool
from masticstage.edges.decision_log import DecisionLog
from masticstage.edges.gateway import Activity, Beliefs, Gateway, Links
from masticstage.edges.reload import SettingsFile
from masticstage.entrysettings_schema import EntrySettings
from masticstage.forwarding.budgets import BudgetBounds, RepeatBudget
from masticstage.forwarding.choice import Chooser
from masticstage.forwarding.image import RecordImage
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.overload import Overload
from masticstage.forwarding.trouble import TroubleWatch
from masticstage.forwarding.view import FleetView
from masticstage.instance import Books, Connections, Instance, Views
from masticstage.membership import Member, MemberTable
from masticstage.metrics import Metrics
from masticstage.peer_client import PeerClient
from masticstage.peer_tls import channel_credentials
from masticstage.platform.store import StoreClient
from masticstage.platform.wire import build_wire
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

_PAUSE_THRESHOLD = timedelta(seconds=2)
#: Standstill of an entry instance after which its view is refreshed: longer
#: than any step of its own, shorter than the bounds on leaving upstreams.
_SHORT_PAUSE = timedelta(seconds=1.2)
#: Time after which a suspected instance is asked only now and then.
_GONE_AFTER = timedelta(seconds=5)
#: Time to connect inside a region, where a round trip takes a millisecond,
#: and to another region, where it takes 110 ms and may lose a packet.
_UPSTREAM_CONNECT_S = 0.3
_PEER_CONNECT_S = 0.5
#: Idle connections to upstreams are kept for less than the shortest time after
#: which they were seen to be dropped without notice; those to peers longer.
_UPSTREAM_KEPT_S = 1.0
_PEER_KEPT_S = 4.0


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
            PeerClient(
                peer_timeout,
                nursery,
                _translations(settings),
                channel_credentials(settings.peer_tls),
            ),
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


def build_gateway(
    settings_file: SettingsFile,
    clock: Clock,
    nursery: trio.Nursery,
) -> Gateway:
    """Wires the parts of an entry instance on the users' platform."""
    settings = settings_file.settings
    region_of = {place.data_centre: place.region for place in settings.places}
    own = settings.instance
    return Gateway(
        settings_file,
        clock,
        build_wire(region_of),
        _build_beliefs(settings, clock),
        Links(
            StoreClient(settings.store.address),
            Pool(clock, _UPSTREAM_CONNECT_S, _UPSTREAM_KEPT_S),
            Pool(clock, _PEER_CONNECT_S, _PEER_KEPT_S),
            Pool(clock, _PEER_CONNECT_S, _PEER_KEPT_S),
        ),
        Activity(),
        Drain(),
        PauseDetector(clock, _SHORT_PAUSE),
        DecisionLog(clock, own.name),
        Metrics(),
        nursery,
    )


def _build_beliefs(settings: EntrySettings, clock: Clock) -> Beliefs:
    own = settings.instance
    member = Member(
        MemberId(own.name, to_milliseconds(clock.now())),
        own.data_centre,
        own.region,
        settings.listen.peers,
        settings.listen.callers,
    )
    members = MemberTable(clock, member, _GONE_AFTER)
    view = FleetView(clock)
    loads = LoadTable(clock)
    random = Random()  # noqa: S311 (spreads load; not for secrets)
    bounds = BudgetBounds(
        settings.bounds.repeat_ratio,
        timedelta(seconds=settings.bounds.repeat_window_s),
        settings.bounds.repeat_slack,
    )
    return Beliefs(
        RecordImage(),
        view,
        TroubleWatch(clock),
        members,
        loads,
        Chooser(clock, random, view, loads, members),
        Quarantine(clock),
        RepeatBudget(clock, bounds, 2 * len(settings.places)),
        Overload(clock),
    )
