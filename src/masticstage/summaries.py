"""Expected waits for services in the other data centres."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

_MS_PER_S: Final = 1000
_US_PER_S: Final = 1_000_000
#: Summaries older than this are not used for transfers.
STALE_AFTER: Final = timedelta(seconds=10)


@attrs.frozen
class Summary:
    """Load of a service in a data centre.

    `reported_ms` is in milliseconds since 1970 on the reporter's clock.
    `wait_ms` is the expected wait of a new request in milliseconds.
    `slot_us` is the mean time until one more slot becomes free, in
    microseconds.
    """

    data_centre: str
    service: str
    reported_ms: int
    wait_ms: int
    free_slots: int = 0
    slot_us: int = 0


@attrs.define
class _Entry:
    """The latest summary and the requests transferred since then."""

    summary: Summary
    received_at: timedelta
    transfers: int = 0

    def expected_wait_s(self) -> float:
        """Returns the wait in seconds, with the transfers since the summary."""
        summary = self.summary
        excess = max(self.transfers - summary.free_slots, 0)
        return (
            summary.wait_ms / _MS_PER_S + excess * summary.slot_us / _US_PER_S
        )


@attrs.frozen
class ExpectedWait:
    """Expected wait of a request that is transferred now, in seconds."""

    data_centre: str
    wait_s: float


@final
@attrs.define
class SummaryTable:
    """The latest summary of each service in each other data centre."""

    _clock: Clock
    _entries: dict[tuple[str, str], _Entry] = attrs.field(factory=dict)

    def merge(self, summaries: Iterable[Summary]) -> None:
        """Replaces the summaries that are older than the given ones."""
        now = self._clock.elapsed()
        for summary in summaries:
            key = (summary.data_centre, summary.service)
            current = self._entries.get(key)
            if current is None or _is_newer(summary, current.summary):
                self._entries[key] = _Entry(summary, now)

    def expected_waits(self, service: str) -> tuple[ExpectedWait, ...]:
        """Returns the expected waits from summaries that are not stale."""
        now = self._clock.elapsed()
        return tuple(
            ExpectedWait(data_centre, entry.expected_wait_s())
            for (data_centre, name), entry in self._entries.items()
            if name == service and now - entry.received_at < STALE_AFTER
        )

    def record_transfer(self, data_centre: str, service: str) -> None:
        """Counts a transferred request until the next summary."""
        entry = self._entries.get((data_centre, service))
        if entry is not None:
            entry.transfers += 1


def _is_newer(summary: Summary, current: Summary) -> bool:
    return summary.reported_ms > current.reported_ms
