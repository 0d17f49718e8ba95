"""The central object of an entry instance: settings, state, connections.

It is built once by the composition root and passed to every stage.
"""

import traceback
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Final, Protocol, final

import attrs
import trio

from masticstage.clock import Clock, PauseDetector
from masticstage.drain import Drain
from masticstage.edges.connections import Pool
from masticstage.edges.decision_log import DecisionLog
from masticstage.edges.reload import SettingsFile
from masticstage.edges.waits import WaitBook
from masticstage.entrysettings_schema import EntrySettings
from masticstage.forwarding.budgets import RepeatBudget
from masticstage.forwarding.choice import Chooser
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.outage import OutageTracker
from masticstage.forwarding.overload import OverloadControl
from masticstage.forwarding.replica import RecordReplica, RecordUpdates
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.routes import CallerLimits
from masticstage.forwarding.view import FleetView
from masticstage.forwarding.wire import WireFormat
from masticstage.membership import Liveness, MemberTable
from masticstage.metrics import Metrics
from masticstage.quarantine import Quarantine

Task = Callable[..., Awaitable[object]]
_DEFAULT_LIMITS: Final = CallerLimits()
#: Lines of a traceback that are logged.
_FRAMES: Final = 8


class Store(Protocol):
    """Read access to the platform's records."""

    async def read_all(self) -> RecordUpdates:
        """Reads every record."""

    async def watch(self, after: int, wait_s: float) -> RecordUpdates:
        """Waits for changes after a revision."""


@final
@attrs.frozen
class Beliefs:
    """What this instance believes about the rest of the system."""

    image: RecordReplica
    view: FleetView
    trouble: OutageTracker
    members: MemberTable
    loads: LoadTable
    chooser: Chooser
    quarantine: Quarantine
    budget: RepeatBudget
    overload: OverloadControl


@final
@attrs.frozen
class Links:
    """Connections to everything outside this process."""

    store: Store
    upstreams: Pool
    peers: Pool
    exchanges: Pool


@final
@attrs.define
class Activity:
    """Requests that are being handled, and since when none are taken."""

    open_requests: int = 0
    drain_at: timedelta | None = None
    suspects: dict[str, set[str]] = attrs.field(factory=dict)
    waits: WaitBook = attrs.field(factory=WaitBook)


@final
@attrs.frozen(eq=False)
class Gateway:
    """One running entry instance."""

    settings_file: SettingsFile
    clock: Clock
    wire: WireFormat
    beliefs: Beliefs
    links: Links
    activity: Activity
    drain: Drain
    pause: PauseDetector
    log: DecisionLog
    metrics: Metrics
    nursery: trio.Nursery

    @property
    def settings(self) -> EntrySettings:
        """The settings in force."""
        return self.settings_file.settings

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.settings.instance.name

    @property
    def region(self) -> str:
        """Region of this instance."""
        return self.settings.instance.region

    @property
    def is_ready(self) -> bool:
        """Whether new callers are welcome."""
        has_table = self.beliefs.view.table is not None
        return has_table and not self.drain.is_draining

    def limits(self) -> CallerLimits:
        """Returns the limits in force."""
        table = self.beliefs.view.table
        return table.limits if table else _DEFAULT_LIMITS

    def live_count(self) -> int:
        """Returns the number of instances believed to be live, own included."""
        others = self.beliefs.members.others()
        live = [one for one in others if one.liveness is not Liveness.GONE]
        return 1 + len(live)

    def spawn(self, function: Task, *args: Any) -> None:
        """Runs a function beside the caller; its failure is logged."""
        self.nursery.start_soon(self.guard, function, *args)

    async def guard(self, function: Task, *args: Any) -> None:
        """Runs a function; a fault of it does not end the process."""
        try:
            await function(*args)
        except Exception as error:
            self.metrics.count('internal_error')
            self.log.record(
                'internal_error',
                where=getattr(function, '__qualname__', repr(function)),
                error=''.join(traceback.format_exception(error)[-_FRAMES:]),
            )

    def elapsed_s(self) -> float:
        """Returns the steady clock in seconds."""
        return self.clock.elapsed().total_seconds()

    def count(self, kind: CallKind, outcome: str) -> None:
        """Counts the end of a request."""
        self.metrics.count(f'{kind.value}_{outcome}')
