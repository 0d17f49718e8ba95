"""The central object of an entry instance: settings, state and connections.

It is built once by the composition root and passed to every stage.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any, Final, final

import attrs
import trio

from masticstage.clock import Clock, PauseDetector
from masticstage.drain import Drain
from masticstage.edges.activity import Activity
from masticstage.edges.connections import Connections
from masticstage.edges.decision_log import DecisionLog, format_failure
from masticstage.edges.gossip_state import GossipState
from masticstage.edges.quota_state import QuotaState
from masticstage.edges.reload import SettingsFile
from masticstage.edges.views import Views
from masticstage.entrysettings_schema import EntrySettings
from masticstage.forwarding.drain_times import accept_time, answer_time
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.routes import CallerLimits
from masticstage.forwarding.wire import WireFormat
from masticstage.metrics import Metrics

AsyncFunction = Callable[..., Awaitable[object]]
_DEFAULT_LIMITS: Final = CallerLimits()


@final
@attrs.frozen(eq=False)
class Gateway:
    """One running entry instance."""

    settings_file: SettingsFile
    clock: Clock
    wire: WireFormat
    views: Views
    connections: Connections
    activity: Activity
    gossip: GossipState
    drain: Drain
    pause_detector: PauseDetector
    log: DecisionLog
    metrics: Metrics
    nursery: trio.Nursery
    quotas: QuotaState

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
        """Whether the instance has a configuration and is not draining."""
        has_table = self.views.fleet.table is not None
        return has_table and not self.drain.is_draining

    @property
    def grace(self) -> timedelta:
        """Time from the signal to stop until the process is killed."""
        return timedelta(seconds=self.settings.bounds.grace_s)

    def accepts_requests(self) -> bool:
        """Returns whether requests are accepted, also early in a drain."""
        started_at = self.activity.drain_started_at
        if started_at is None:
            return True
        return self.clock.elapsed() - started_at <= accept_time(self.grace)

    def requests_end_at(self) -> timedelta | None:
        """Returns when open requests end in a drain, None before it."""
        started_at = self.activity.drain_started_at
        return (
            None if started_at is None else started_at + answer_time(self.grace)
        )

    def limits(self) -> CallerLimits:
        """Returns the limits in force."""
        table = self.views.fleet.table
        return table.limits if table else _DEFAULT_LIMITS

    def live_count(self) -> int:
        """Returns the number of instances that are not gone, with this one."""
        return 1 + len(self.views.members.others())

    def spawn(self, function: AsyncFunction, *args: Any) -> None:
        """Starts a function as a task; its failure is only logged."""
        self.nursery.start_soon(self.run_guarded, function, *args)

    async def run_guarded(self, function: AsyncFunction, *args: Any) -> None:
        """Runs a function; logs its failure, so that the process continues."""
        # `repr` of a bound method describes its whole object.
        where = getattr(function, '__qualname__', type(function).__name__)
        with self.guard(where):
            await function(*args)

    @contextmanager
    def guard(self, where: str) -> Iterator[None]:
        """Logs and counts a failure of the block, and goes on after it."""
        try:
            yield
        except Exception as error:
            self.metrics.count('internal_error')
            self.log.record(
                'internal_error',
                where=where,
                error=format_failure(error),
            )

    def elapsed_s(self) -> float:
        """Returns the monotonic clock in seconds."""
        return self.clock.elapsed().total_seconds()

    def count_finished(self, kind: CallKind, outcome: str) -> None:
        """Counts a finished request by its kind and outcome."""
        self.metrics.count(f'{kind.value}_{outcome}')
