"""Upstreams that have to be asked before they get further requests.

What is known of an upstream holds for one process, as long as it is in use.
After its connections have ended, another process may have replaced it; after an
evacuation it may have turned cold.  Its record says so only later.
"""

from collections.abc import Collection
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

_NO_TIME: Final = timedelta()


@final
@attrs.define
class Doubts:
    """The upstreams in doubt, by name, since when, and when each
    was asked and answered."""

    _clock: Clock
    _since: dict[str, timedelta] = attrs.field(factory=dict)
    _answered_at: dict[str, timedelta] = attrs.field(factory=dict)
    _asked_at: dict[str, timedelta] = attrs.field(factory=dict)

    def add(self, upstream: str, age: timedelta = _NO_TIME) -> bool:
        """Records a doubt that arose `age` ago; returns whether it is new.

        One that an answer has settled since is not recorded.
        """
        since = self._clock.elapsed() - age
        answered_at = self._answered_at.get(upstream)
        if answered_at is not None and since <= answered_at:
            return False
        is_new = upstream not in self._since
        self._since[upstream] = max(since, self._since.get(upstream, since))
        return is_new

    def settle(self, upstream: str, age: timedelta = _NO_TIME) -> bool:
        """Ends a doubt by a health answer to a question asked `age` ago.

        Returns whether there was one that is older than the question.
        """
        asked_at = self._clock.elapsed() - age
        answered_at = self._answered_at.get(upstream, asked_at)
        self._answered_at[upstream] = max(asked_at, answered_at)
        since = self._since.get(upstream)
        if since is None or since > asked_at:
            return False
        self._since.pop(upstream)
        return True

    def includes(self, upstream: str) -> bool:
        """Returns whether an upstream has to be asked first."""
        return upstream in self._since

    def record_question(self, upstream: str) -> None:
        """Records that an upstream is asked now."""
        self._asked_at[upstream] = self._clock.elapsed()

    def since_question(self, upstream: str) -> timedelta:
        """Returns the time since the last question; very long without any."""
        asked_at = self._asked_at.get(upstream)
        if asked_at is None:
            return timedelta.max
        return self._clock.elapsed() - asked_at

    def keep_only(self, names: Collection[str]) -> None:
        """Forgets all other upstreams."""
        for known in (self._since, self._answered_at, self._asked_at):
            for removed in known.keys() - set(names):
                known.pop(removed)
