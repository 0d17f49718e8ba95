"""Settings, state and connections of one process.

The composition root builds a single `Instance`, which is passed to every
function that handles requests or runs in the background.
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

#: Maximum numbers of instances that `Instance.entries` returns: of the nearest
#: ones, and of the rest.
MAX_NEAR_ENTRIES: Final = 24
MAX_FAR_ENTRIES: Final = 24


@final
@attrs.frozen
class Connections:
    """Clients for other instances, upstreams and the platform."""

    peers: PeerClient
    upstreams: UpstreamClient
    platform: PlatformClient


@final
@attrs.frozen
class LocalState:
    """Tickets, open requests, crash records and retries of this instance.

    They are held in memory only.
    """

    owned_tickets: OwnedTickets
    witnessed_tickets: WitnessedTickets
    stream_admission: Admission
    call_admission: Admission
    quarantine: Quarantine
    suspect_runs: SuspectRuns
    retry_budget: RetryBudget


@final
@attrs.frozen
class Views:
    """State of the rest of the system, as known to this instance."""

    rollout: Rollout
    members: MemberTable
    upstreams: UpstreamTable
    router: Router
    summaries: SummaryTable


@final
@attrs.frozen(eq=False)
class Instance:
    """One running instance, with everything that its tasks share."""

    settings: Settings
    identity: MemberId
    clock: Clock
    random: Random
    signer: TokenSigner
    connections: Connections
    local_state: LocalState
    views: Views
    drain: Drain
    pause_detector: PauseDetector
    audit: Audit
    metrics: Metrics
    nursery: trio.Nursery

    @property
    def data_centre(self) -> str:
        """Name of the data centre in which this instance runs."""
        return self.settings.instance.data_centre

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force, 0 before the first one."""
        return self.views.rollout.version

    def catalogue(self) -> Catalogue:
        """Returns the configuration in force.

        Raises `NotReadyError` before the first configuration, and after a
        pause of the process until the views have been refreshed.
        """
        catalogue = self.views.rollout.catalogue
        if catalogue is None or self.pause_detector.is_overdue():
            raise NotReadyError
        return catalogue

    def check_accepting(self) -> Catalogue:
        """Returns the configuration in force if new requests are accepted.

        Raises `DrainingError` while draining and `NotReadyError` as
        `catalogue` does.
        """
        if self.drain.is_draining:
            raise DrainingError
        return self.catalogue()

    def entries(self) -> tuple[Member, ...]:
        """Returns live instances for callers, nearest first.

        This instance may be one of them.  In a fleet above the two maximums
        the result is a random sample, half of it of the nearest instances.
        """
        known = [self.views.members.own, *self.views.members.others()]
        live = [member for member in known if not member.liveness]
        shuffled = self.random.sample(live, len(live))
        near = sorted(shuffled, key=self._distance)[:MAX_NEAR_ENTRIES]
        far = [member for member in shuffled if member not in near]
        chosen = (*near, *far[:MAX_FAR_ENTRIES])
        return tuple(sorted(chosen, key=self._distance))

    def _distance(self, member: Member) -> tuple[bool, bool]:
        """Returns a sort key: same data centre first, then same region."""
        return (
            member.data_centre != self.data_centre,
            member.region != self.settings.instance.region,
        )
