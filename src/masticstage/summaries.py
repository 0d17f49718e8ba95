"""Expected waits of services in the other data centres."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Summaries older than this are not used for transfers.
STALE_AFTER: Final = timedelta(seconds=10)


@attrs.frozen
class Summary:
    """How long new work waits for a service in a data centre.

    `reported_ms` is in milliseconds since 1970 on the reporter's clock.
    """

    data_centre: str
    service: str
    reported_ms: int
    wait_ms: int


@attrs.define
class _Entry:
    summary: Summary
    received_at: timedelta


@final
@attrs.define
class SummaryTable:
    """The newest summary of each service in each other data centre."""

    _clock: Clock
    _entries: dict[tuple[str, str], _Entry] = attrs.field(factory=dict)

    def merge(self, summaries: Iterable[Summary]) -> None:
        """Takes in summaries; older ones than the known are ignored."""
        now = self._clock.elapsed()
        for summary in summaries:
            key = (summary.data_centre, summary.service)
            known = self._entries.get(key)
            if known is None or _is_newer(summary, known.summary):
                self._entries[key] = _Entry(summary, now)

    def fresh(self, service: str) -> tuple[Summary, ...]:
        """Returns the summaries of a service that are recent enough."""
        now = self._clock.elapsed()
        return tuple(
            entry.summary
            for (_, name), entry in self._entries.items()
            if name == service and now - entry.received_at < STALE_AFTER
        )


def _is_newer(summary: Summary, known: Summary) -> bool:
    return summary.reported_ms > known.reported_ms
