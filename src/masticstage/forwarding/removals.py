"""Removals that wait, and upstreams that must not return.

A platform that was restored from a copy some seconds old lacks later writes,
which are written again soon, and has records of upstreams that have been
removed since.
"""

from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.published import UpstreamRecord

#: Upstreams whose end is remembered; the oldest are dropped.
_MAX_ENDED: Final = 2048


@final
@attrs.define
class EndedStarts:
    """The last start of each upstream that was removed, by name."""

    _started_at_ms: dict[str, int] = attrs.field(factory=dict)

    def record(self, upstream: UpstreamRecord) -> None:
        """Records that an upstream was removed."""
        earlier = self._started_at_ms.pop(upstream.name, 0)
        self._started_at_ms[upstream.name] = max(
            earlier, upstream.started_at_ms
        )
        if len(self._started_at_ms) > _MAX_ENDED:
            self._started_at_ms.pop(next(iter(self._started_at_ms)))

    def forget(self, upstream: UpstreamRecord) -> None:
        """Forgets the end of an upstream that is written again."""
        self._started_at_ms.pop(upstream.name, None)

    def includes(self, upstream: UpstreamRecord) -> bool:
        """Returns whether this start of an upstream, or a later one, ended."""
        ended = self._started_at_ms.get(upstream.name)
        return ended is not None and upstream.started_at_ms <= ended


@final
@attrs.define
class Removals:
    """Records that are still in use, and from when they are not.

    Deletions that an outage of the platform may have caused are deferred; their
    time is None during the outage.  What a restored platform lacks is kept
    until it is written again, or until a time.
    """

    _clock: Clock
    _deferred: dict[str, timedelta | None] = attrs.field(factory=dict)
    _kept: dict[str, timedelta] = attrs.field(factory=dict)
    _keep_until: timedelta = timedelta()
    ended: EndedStarts = attrs.field(factory=EndedStarts)

    @property
    def are_pending(self) -> bool:
        """Whether any removal waits to be applied."""
        return bool(self._deferred or self._kept)

    def defer(self, key: str, apply_at: timedelta | None) -> bool:
        """Defers a deletion; returns False if it is due already."""
        if apply_at is not None and apply_at <= self._clock.elapsed():
            return False
        self._deferred[key] = apply_at
        return True

    def keep(self, key: str, until: timedelta) -> None:
        """Keeps a record that the platform lacks until a time."""
        self._kept[key] = until

    def forget(self, key: str) -> None:
        """Forgets the removal of a record, which is written or gone."""
        self._deferred.pop(key, None)
        self._kept.pop(key, None)

    def is_past(
        self,
        copied: UpstreamRecord,
        known: UpstreamRecord | None,
    ) -> bool:
        """Returns whether a copy shows a start of an upstream that ended."""
        if known is not None and is_older(copied, known):
            return True
        return self.ended.includes(copied)

    def begin_rollback(self, keep_until: timedelta) -> None:
        """Keeps longer what was about to be removed.

        It may have been written again since, and that write may be lost.
        """
        keys = (*self._deferred, *self._kept)
        self._keep_until = keep_until
        self._kept = dict.fromkeys(keys, keep_until)
        self._deferred.clear()

    def kept_for(self) -> timedelta:
        """Returns how long lost records are still kept, zero if none are."""
        return max(timedelta(), self._keep_until - self._clock.elapsed())

    def take_due(self, apply_at: timedelta | None) -> list[str]:
        """Returns the keys whose removal is due, and forgets them.

        `apply_at` is the due time of removals deferred during an outage, None
        while it lasts.
        """
        if not self._deferred and not self._kept:
            return []
        for key, known_due in self._deferred.items():
            self._deferred[key] = known_due or apply_at
        removals = list(self._deferred.items())
        if apply_at is not None:
            removals.extend(self._kept.items())
        now = self._clock.elapsed()
        due = {key for key, at in removals if at is not None and at <= now}
        for key in due:
            self.forget(key)
        return sorted(due)


def is_older(copied: UpstreamRecord, known: UpstreamRecord) -> bool:
    """Returns whether a copy is older than the known record of an upstream.

    An upstream that leaves does not take it back before its next start.
    """
    if copied.started_at_ms != known.started_at_ms:
        return copied.started_at_ms < known.started_at_ms
    return known.is_leaving and not copied.is_leaving
