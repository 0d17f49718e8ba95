"""Warm-ups that upstreams told of themselves, apart from their records.

A record may have been written before the start of the process that told, and
be read after that.  So it does not end a warm-up; only time does.
"""

from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

_TOLERANCE: Final = timedelta(milliseconds=100)


@final
@attrs.define
class ToldWarmUps:
    """When the warm-ups end that upstreams told, by name."""

    _clock: Clock
    _ends: dict[str, timedelta] = attrs.field(factory=dict)
    _unlike_record: set[str] = attrs.field(factory=set)

    def note_unlike_record(self, upstream: str) -> None:
        """Notes that an upstream is cold and its record is not.

        The process may have started after its record was written.
        """
        self._unlike_record.add(upstream)

    def note_record(self, upstream: str) -> None:
        """Notes that a record of this start, or of its warm-up, is read."""
        self._unlike_record.discard(upstream)

    def is_unlike_record(self, upstream: str) -> bool:
        """Returns whether the record may be of an earlier process."""
        return upstream in self._unlike_record

    def record(self, upstream: str, cold_for: timedelta) -> None:
        """Records the rest of a warm-up, as told now."""
        now = self._clock.elapsed()
        self._ends = {
            name: end for name, end in self._ends.items() if end > now
        }
        self._ends[upstream] = max(now + cold_for, self.end_of(upstream))

    def is_longer(self, upstream: str, cold_for: timedelta) -> bool:
        """Returns whether a warm-up ends clearly later than the known one.

        Each message about the same one takes some time.
        """
        end = self._clock.elapsed() + cold_for
        known_end = max(self.end_of(upstream), self._clock.elapsed())
        return end - known_end > _TOLERANCE

    def end_of(self, upstream: str) -> timedelta:
        """Returns when a warm-up ends (monotonic), zero if none was told."""
        return self._ends.get(upstream, timedelta())
