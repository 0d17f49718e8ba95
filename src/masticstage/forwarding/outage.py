"""Whether the platform answers, and whether absences may be believed.

While the platform is in trouble, entries of live upstreams expire there.
Those of live ones are back soon after its return; what is missing then is
gone.
"""

from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Time after the platform's return in which live entries come back: the two
#: seconds that the platform promises, and one round of its answers.
_RETURN: Final = timedelta(seconds=2.3)


@final
@attrs.define
class OutageTracker:
    """The platform as this instance meets it."""

    _clock: Clock
    _is_ongoing: bool = False
    _recovered_at: timedelta | None = None

    @property
    def is_ongoing(self) -> bool:
        """Whether the last call failed."""
        return self._is_ongoing

    def record_failure(self) -> bool:
        """Notes a failed call; True when it is the first one."""
        was_sound = not self._is_ongoing
        self._is_ongoing = True
        return was_sound

    def record_success(self) -> bool:
        """Notes a sound call; True when it ends a trouble."""
        was_in_trouble = self._is_ongoing
        self._is_ongoing = False
        if was_in_trouble:
            self._recovered_at = self._clock.elapsed()
        return was_in_trouble

    def removals_apply_at(self) -> timedelta | None:
        """Returns when an absence may be believed; None while in trouble."""
        if self._is_ongoing:
            return None
        if self._recovered_at is None:
            return timedelta()
        return self._recovered_at + _RETURN
