"""Tracks outages of the platform, and when removed records may be dropped.

While the platform is down, records of upstreams expire there. Live upstreams
are registered again soon after its return; records that are still missing then
belong to upstreams that are gone.

A failed call alone does not show an outage: its connection may have gone
silent, or the path may be cut. Removals are therefore deferred only as long as
the bound on them cannot hold yet.
"""

from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Time after the platform's return in which the records of live upstreams come
#: back: the two seconds that the platform promises, and one more response of
#: its watch.
_RESTORE_TIME: Final = timedelta(seconds=2.3)
#: Longest time from the platform's return from a copy until an instance hears
#: of it, from the platform or a peer.
_NOTICE_TIME: Final = timedelta(seconds=1)
#: Time from a removal that is due to the last request that was chosen before.
_APPLY_TIME: Final = timedelta(seconds=0.3)


@final
@attrs.define
class OutageTracker:
    """Whether the platform answers the calls of this instance.

    Bounds hold again `_reconnect_time` after the end of a disturbance. Of that
    end only a lower limit is known: the last answer before the failed call, or,
    if calls fail one after the other, the start of the last one.
    """

    _clock: Clock
    _reconnect_time: timedelta
    _is_ongoing: bool = False
    _answered_at: timedelta | None = None
    _disturbed_at: timedelta | None = None
    _recovered_at: timedelta = timedelta()

    @property
    def is_ongoing(self) -> bool:
        """Whether the last call failed."""
        return self._is_ongoing

    @property
    def has_answered(self) -> bool:
        """Whether any call has succeeded."""
        return self._answered_at is not None

    @property
    def since_answer(self) -> timedelta:
        """Time since the last answer; zero before the first."""
        if self._answered_at is None:
            return timedelta()
        return self._clock.elapsed() - self._answered_at

    def record_failure(self, started_at: timedelta) -> bool:
        """Records a failed call; returns True if an outage begins."""
        is_new = not self._is_ongoing
        self._is_ongoing = True
        if is_new and self._answered_at is not None:
            self._disturbed_at = self._answered_at
        else:
            self._disturbed_at = started_at
        return is_new

    def record_success(self) -> bool:
        """Records a successful call; returns True if an outage ends."""
        was_ongoing = self._is_ongoing
        self._is_ongoing = False
        self._answered_at = self._clock.elapsed()
        if was_ongoing:
            self._recovered_at = self._answered_at
        return was_ongoing

    def keep_until(self, removal_time: timedelta) -> timedelta:
        """Returns how long to use what a restored platform lacks.

        The platform has just been found to be restored.  Other bounds hold
        again `_reconnect_time` after its return, and the one on removals
        follows.
        """
        bound = self._reconnect_time + removal_time - _NOTICE_TIME - _APPLY_TIME
        return self._clock.elapsed() + max(_RESTORE_TIME, bound)

    def removals_apply_at(self) -> timedelta | None:
        """Returns the time from which removals apply, None during an outage."""
        if self._is_ongoing:
            return None
        if self._disturbed_at is None:
            return timedelta()
        return min(
            self._recovered_at + _RESTORE_TIME,
            self._disturbed_at + self._reconnect_time - _APPLY_TIME,
        )
