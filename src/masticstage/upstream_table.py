"""State of each upstream: reported load, leaving flag, requests sent to it.

Load reports are delayed, so the requests that this instance has sent since
the last report are added to it.  Of two reports about an upstream, the one
with the higher incarnation applies; the leaving flag is kept for the rest of
an incarnation.
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

#: Reports older than this are not used to estimate the load.
STALE_AFTER: Final = timedelta(seconds=5)
#: Time for which an upstream gets no requests after a failure.
AVOID_FOR: Final = timedelta(seconds=2)
#: Weight of the newest service time in the exponential moving average.
_SERVICE_TIME_WEIGHT: Final = 0.1
_MS_PER_S: Final = 1000
_US_PER_S: Final = 1_000_000


@attrs.frozen
class LoadReport:
    """Load that an upstream reported about itself.

    `reported_ms` is in milliseconds since 1970 on the upstream's clock;
    `queued` and `running` are numbers of requests.
    """

    upstream: str
    incarnation: int
    reported_ms: int
    queued: int
    running: int
    leaving: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: the greater report is the more recent one."""
        return (self.incarnation, self.reported_ms)


@attrs.define
class UpstreamState:
    """Current state of one upstream.

    `service_s` is the moving average of the service time in seconds.
    `in_flight` and `dispatched_at` are of requests sent by this instance.
    """

    report: LoadReport
    received_at: timedelta
    leaving_incarnation: int = -1
    avoid_until: timedelta = timedelta()
    in_flight: int = 0
    service_s: float = 1.0
    dispatched_at: deque[timedelta] = attrs.field(factory=deque)

    @property
    def is_leaving(self) -> bool:
        """Whether the current incarnation was reported as leaving."""
        return self.leaving_incarnation >= self.report.incarnation


@final
@attrs.define
class UpstreamTable:
    """States of the upstreams of one data centre."""

    _clock: Clock
    _states: dict[str, UpstreamState] = attrs.field(factory=dict)

    def state(self, name: str) -> UpstreamState:
        """Returns the state of an upstream; adds an initial one if unknown."""
        state = self._states.get(name)
        if state is None:
            state = UpstreamState(LoadReport(name, 0, 0, 0, 0), timedelta())
            self._states[name] = state
        return state

    def report(self, name: str) -> LoadReport:
        """Returns the latest report of an upstream with its leaving flag."""
        state = self.state(name)
        return attrs.evolve(state.report, leaving=state.is_leaving)

    def updates(self, names: Iterable[str], limit: int) -> list[LoadReport]:
        """Returns reports to send: leaving upstreams, then the most recent."""
        states = [self.state(name) for name in names]
        chosen = nlargest(limit, states, key=_gossip_priority)
        return [self.report(state.report.upstream) for state in chosen]

    def expected_wait_s(self, name: str, slots: int) -> float:
        """Returns how long a new request would wait for a slot, in seconds."""
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
        """Returns a summary of the usable upstreams, None without any."""
        usable = [
            upstream for upstream in upstreams if self.is_usable(upstream.name)
        ]
        if not usable:
            return None
        waits_s = [
            self.expected_wait_s(upstream.name, upstream.slots)
            for upstream in usable
        ]
        free_slots = [
            upstream.slots - self.backlog(upstream.name) for upstream in usable
        ]
        rate = sum(
            upstream.slots / self.state(upstream.name).service_s
            for upstream in usable
        )
        return Summary(
            data_centre,
            service,
            now_ms,
            round(sum(waits_s) / len(waits_s) * _MS_PER_S),
            sum(max(slots, 0) for slots in free_slots),
            round(_US_PER_S / rate),
        )

    def merge(self, reports: Iterable[LoadReport]) -> tuple[str, ...]:
        """Merges reports; returns the upstreams that are now leaving.

        Upstreams that were leaving before are not included.
        """
        return tuple(
            report.upstream for report in reports if self._merge_report(report)
        )

    def is_usable(self, name: str) -> bool:
        """Returns whether new requests may be sent to an upstream."""
        state = self.state(name)
        if state.is_leaving:
            return False
        return state.avoid_until <= self._clock.elapsed()

    def is_leaving(self, name: str) -> bool:
        """Returns whether an upstream is leaving and gets no new requests."""
        return self.state(name).is_leaving

    def backlog(self, name: str) -> int:
        """Returns the estimated number of requests at an upstream.

        Without a recent report, only those of this instance are counted.
        """
        state = self.state(name)
        now = self._clock.elapsed()
        if now - state.received_at > STALE_AFTER:
            return state.in_flight
        reported = state.report.queued + state.report.running
        recent = sum(
            sent_at > state.received_at for sent_at in state.dispatched_at
        )
        return max(reported + recent, state.in_flight)

    def begin_request(self, name: str) -> None:
        """Records that a request is sent to an upstream."""
        state = self.state(name)
        state.in_flight += 1
        now = self._clock.elapsed()
        cutoff = max(state.received_at, now - STALE_AFTER)
        while state.dispatched_at and state.dispatched_at[0] <= cutoff:
            state.dispatched_at.popleft()
        state.dispatched_at.append(now)

    def end_request(self, name: str, duration: timedelta | None) -> None:
        """Records the end of a request.

        `duration` is None if the request did not complete.
        """
        state = self.state(name)
        state.in_flight -= 1
        if duration is not None:
            change = duration.total_seconds() - state.service_s
            state.service_s += _SERVICE_TIME_WEIGHT * change

    def avoid(self, name: str) -> None:
        """Marks an upstream as unusable for `AVOID_FOR` after a failure."""
        state = self.state(name)
        state.avoid_until = self._clock.elapsed() + AVOID_FOR

    def _merge_report(self, report: LoadReport) -> bool:
        """Merges a report; True if the upstream has started to leave."""
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
