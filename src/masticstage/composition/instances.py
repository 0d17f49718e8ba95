"""Builds an instance with masticstage's own caller interface."""

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
from masticstage.instance import Connections, Instance, LocalState, Views
from masticstage.membership import Member, MemberId, MemberTable
from masticstage.metrics import Metrics
from masticstage.peer_client import PeerClient
from masticstage.peer_tls import channel_credentials
from masticstage.platform_client import PlatformClient
from masticstage.quarantine import Quarantine, SuspectRuns
from masticstage.retries import RetryBudget
from masticstage.rollout import Rollout
from masticstage.routing import Router
from masticstage.settings_schema import Settings
from masticstage.summaries import SummaryTable
from masticstage.tickets import OwnedTickets, WitnessedTickets
from masticstage.tokens import TokenSigner
from masticstage.upstream_client import UpstreamClient
from masticstage.upstream_table import UpstreamTable

_PAUSE_THRESHOLD = timedelta(seconds=2)


def build_instance(
    settings: Settings,
    clock: Clock,
    nursery: trio.Nursery,
) -> Instance:
    """Builds an instance; its background tasks run in the nursery."""
    own = settings.instance
    identity = MemberId(own.name, to_milliseconds(clock.now()))
    random = Random()  # noqa: S311 (spreads load; not for secrets)
    read_timeout = milliseconds(settings.timing.stream_silence_ms)
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
                _address_translations(settings),
                channel_credentials(settings.peer_tls),
            ),
            UpstreamClient(read_timeout),
            PlatformClient(settings.platform.address),
        ),
        _build_local_state(settings, identity, clock),
        _build_views(settings, identity, clock, random),
        Drain(),
        PauseDetector(clock, _PAUSE_THRESHOLD),
        Audit(clock),
        Metrics(),
        nursery,
    )


def _address_translations(settings: Settings) -> dict[str, str]:
    return {
        translation.address: translation.via
        for translation in settings.translations
    }


def _build_local_state(
    settings: Settings, identity: MemberId, clock: Clock
) -> LocalState:
    limits = settings.limits
    return LocalState(
        OwnedTickets(clock, limits.held_outcomes),
        WitnessedTickets(clock, identity, limits.held_outcomes),
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
