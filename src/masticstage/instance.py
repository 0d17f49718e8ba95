"""The central object of a process: its settings, state and connections.

It is built once by the composition root and passed to every stage.
"""

from random import Random
from typing import Final, final

import attrs
import trio

from masticstage.admission import Admission
from masticstage.audit import Audit
from masticstage.clock import Clock, PauseDetector
from masticstage.configuration import Catalogue
from masticstage.drain import Drain
from masticstage.exceptions import DrainingError, NotReadyError
from masticstage.membership import Member, MemberId, MemberTable
from masticstage.metrics import Metrics
from masticstage.peer_client import PeerClient
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

#: Entries that are listed at most: the nearest ones, and others.
MAX_NEAR_ENTRIES: Final = 24
MAX_FAR_ENTRIES: Final = 24


@final
@attrs.frozen
class Connections:
    """Clients of everything outside this process."""

    peers: PeerClient
    upstreams: UpstreamClient
    platform: PlatformClient


@final
@attrs.frozen
class Books:
    """State of tickets, answers and limits."""

    owner: OwnedTickets
    witness: WitnessedTickets
    streams: Admission
    calls: Admission
    quarantine: Quarantine
    suspects: SuspectRuns
    budget: RetryBudget


@final
@attrs.frozen
class Views:
    """What this instance believes about the rest of the system."""

    rollout: Rollout
    members: MemberTable
    upstreams: UpstreamTable
    router: Router
    summaries: SummaryTable


@final
@attrs.frozen(eq=False)
class Instance:
    """One running instance."""

    settings: Settings
    identity: MemberId
    clock: Clock
    random: Random
    signer: TokenSigner
    connections: Connections
    books: Books
    views: Views
    drain: Drain
    pause: PauseDetector
    audit: Audit
    metrics: Metrics
    nursery: trio.Nursery

    @property
    def data_centre(self) -> str:
        """Data centre of this instance."""
        return self.settings.instance.data_centre

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.views.rollout.version

    def catalogue(self) -> Catalogue:
        """Returns the configuration in force; refuses when not ready.

        An instance that was paused refuses until it has refreshed its view.
        """
        catalogue = self.views.rollout.catalogue
        if catalogue is None or self.pause.is_overdue():
            raise NotReadyError
        return catalogue

    def check_accepting(self) -> Catalogue:
        """Returns the configuration, or refuses new work while draining."""
        if self.drain.is_draining:
            raise DrainingError
        return self.catalogue()

    def entries(self) -> tuple[Member, ...]:
        """Live instances, this one included, own data centre first.

        In a large fleet they are a random choice, mostly of the nearest.
        """
        known = [self.views.members.own, *self.views.members.others()]
        live = [member for member in known if not member.liveness]
        drawn = self.random.sample(live, len(live))
        near = sorted(drawn, key=self._by_distance)[:MAX_NEAR_ENTRIES]
        far = [member for member in drawn if member not in near]
        chosen = (*near, *far[:MAX_FAR_ENTRIES])
        return tuple(sorted(chosen, key=self._by_distance))

    def _by_distance(self, member: Member) -> tuple[bool, bool]:
        return (
            member.data_centre != self.data_centre,
            member.region != self.settings.instance.region,
        )
