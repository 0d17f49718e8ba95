"""Tracks outages of the platform, and when removed records may be dropped.

While the platform is down, records of upstreams expire there. Live upstreams
are registered again soon after its return; records that are still missing then
belong to upstreams that are gone.
"""

from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Time after the platform's return in which the records of live upstreams come
#: back: the two seconds that the platform promises, and one more response of
#: its watch.
_RESTORE_TIME: Final = timedelta(seconds=2.3)


@final
@attrs.define
class OutageTracker:
    """Whether the platform answers the calls of this instance."""

    _clock: Clock
    _is_ongoing: bool = False
    _recovered_at: timedelta | None = None

    @property
    def is_ongoing(self) -> bool:
        """Whether the last call failed."""
        return self._is_ongoing

    def record_failure(self) -> bool:
        """Records a failed call; returns True if an outage begins."""
        is_new = not self._is_ongoing
        self._is_ongoing = True
        return is_new

    def record_success(self) -> bool:
        """Records a successful call; returns True if an outage ends."""
        was_ongoing = self._is_ongoing
        self._is_ongoing = False
        if was_ongoing:
            self._recovered_at = self._clock.elapsed()
        return was_ongoing

    def removals_apply_at(self) -> timedelta | None:
        """Returns the time from which removals apply, None during an outage."""
        if self._is_ongoing:
            return None
        if self._recovered_at is None:
            return timedelta()
        return self._recovered_at + _RESTORE_TIME
