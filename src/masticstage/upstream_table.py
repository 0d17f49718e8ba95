"""What is known of each upstream: reported load, leaving, own dispatches.

Reports lag, so requests sent since the last report are added to it.  Of two
words about an upstream, the one with the higher incarnation counts; leaving
is kept for the rest of an incarnation.
"""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from heapq import nlargest
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.configuration_schema import Upstream
from masticstage.summaries import Summary

#: Reports older than this say nothing about the load any more.
STALE_AFTER: Final = timedelta(seconds=5)
#: Time for which a failed upstream is avoided.
AVOID_FOR: Final = timedelta(seconds=2)
#: Weight of the newest service time in the running mean.
_SMOOTHING: Final = 0.1
_MS_PER_S: Final = 1000
_US_PER_S: Final = 1_000_000


@attrs.frozen
class LoadReport:
    """Load that an upstream reported about itself.

    `reported_ms` is in milliseconds since 1970 on the upstream's clock.
    """

    upstream: str
    incarnation: int
    reported_ms: int
    queued: int
    running: int
    leaving: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: the greater report is the newer one."""
        return (self.incarnation, self.reported_ms)


@attrs.define
class UpstreamState:
    """Knowledge of one upstream."""

    report: LoadReport
    received_at: timedelta
    leaving_incarnation: int = -1
    avoid_until: timedelta = timedelta()
    in_flight: int = 0
    service_s: float = 1.0
    dispatched_at: deque[timedelta] = attrs.field(factory=deque)

    @property
    def is_leaving(self) -> bool:
        """Whether the present incarnation was said to be leaving."""
        return self.leaving_incarnation >= self.report.incarnation


@final
@attrs.define
class UpstreamTable:
    """States of the upstreams of one data centre."""

    _clock: Clock
    _states: dict[str, UpstreamState] = attrs.field(factory=dict)

    def state(self, name: str) -> UpstreamState:
        """Returns the state of an upstream, a blank one when unknown."""
        state = self._states.get(name)
        if state is None:
            state = UpstreamState(LoadReport(name, 0, 0, 0, 0), timedelta())
            self._states[name] = state
        return state

    def report(self, name: str) -> LoadReport:
        """Returns the newest report of an upstream, marked when leaving."""
        state = self.state(name)
        return attrs.evolve(state.report, leaving=state.is_leaving)

    def updates(self, names: Iterable[str], limit: int) -> list[LoadReport]:
        """Returns reports to pass on: leaving upstreams, then the newest."""
        states = [self.state(name) for name in names]
        chosen = nlargest(limit, states, key=_gossip_priority)
        return [self.report(state.report.upstream) for state in chosen]

    def expected_wait_s(self, name: str, slots: int) -> float:
        """Returns how long new work would wait for a slot, in seconds."""
        ahead = self.backlog(name) + 1 - slots
        if ahead <= 0:
            return 0
        return self.state(name).service_s * ahead / slots

    def summarize(
        self,
        data_centre: str,
        service: str,
        upstreams: tuple[Upstream, ...],
        now_ms: int,
    ) -> Summary | None:
        """Sums up the usable upstreams of a service, None without any."""
        usable = [one for one in upstreams if self.is_usable(one.name)]
        if not usable:
            return None
        waits_s = [self.expected_wait_s(one.name, one.slots) for one in usable]
        free = [one.slots - self.backlog(one.name) for one in usable]
        rate = sum(one.slots / self.state(one.name).service_s for one in usable)
        return Summary(
            data_centre,
            service,
            now_ms,
            round(sum(waits_s) / len(waits_s) * _MS_PER_S),
            sum(max(slots, 0) for slots in free),
            round(_US_PER_S / rate),
        )

    def merge(self, reports: Iterable[LoadReport]) -> tuple[str, ...]:
        """Takes in reports; returns the upstreams that began to leave."""
        return tuple(
            report.upstream for report in reports if self._merge_one(report)
        )

    def is_usable(self, name: str) -> bool:
        """Tells whether new work may be sent to an upstream."""
        state = self.state(name)
        if state.is_leaving:
            return False
        return state.avoid_until <= self._clock.elapsed()

    def is_leaving(self, name: str) -> bool:
        """Tells whether an upstream must receive no new work."""
        return self.state(name).is_leaving

    def backlog(self, name: str) -> int:
        """Returns the requests that are believed to be at an upstream."""
        state = self.state(name)
        now = self._clock.elapsed()
        if now - state.received_at > STALE_AFTER:
            return state.in_flight
        reported = state.report.queued + state.report.running
        recent = sum(
            moment > state.received_at for moment in state.dispatched_at
        )
        return max(reported + recent, state.in_flight)

    def begin_request(self, name: str) -> None:
        """Notes a request sent to an upstream."""
        state = self.state(name)
        state.in_flight += 1
        now = self._clock.elapsed()
        outdated = max(state.received_at, now - STALE_AFTER)
        while state.dispatched_at and state.dispatched_at[0] <= outdated:
            state.dispatched_at.popleft()
        state.dispatched_at.append(now)

    def end_request(self, name: str, duration: timedelta | None) -> None:
        """Notes the end of a request; None when it did not complete."""
        state = self.state(name)
        state.in_flight -= 1
        if duration is not None:
            change = duration.total_seconds() - state.service_s
            state.service_s += _SMOOTHING * change

    def avoid(self, name: str) -> None:
        """Stops using an upstream for a while after a failure."""
        state = self.state(name)
        state.avoid_until = self._clock.elapsed() + AVOID_FOR

    def _merge_one(self, report: LoadReport) -> bool:
        state = self.state(report.upstream)
        was_leaving = state.is_leaving
        if report.order > state.report.order:
            state.report = report
            state.received_at = self._clock.elapsed()
        if report.leaving:
            state.leaving_incarnation = max(
                state.leaving_incarnation,
                report.incarnation,
            )
        return state.is_leaving and not was_leaving


def _gossip_priority(state: UpstreamState) -> tuple[bool, timedelta]:
    return (state.is_leaving, state.received_at)
