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
