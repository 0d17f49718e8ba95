"""Which software versions of each service were in service lately.

If there was only one for as long as a stream lasts, it began the stream.
"""

from datetime import timedelta
from typing import final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.published import UpstreamRecord


@final
@attrs.define
class SoftwareHistory:
    """When each version was last in service, by service and version.

    It is complete from `_complete_since` on.
    """

    _clock: Clock
    _complete_since: timedelta = attrs.field(init=False)
    _last_seen: dict[str, dict[str, timedelta]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Begins with nothing known of the time before."""
        self._complete_since = self._clock.elapsed()

    def restart(self) -> None:
        """Begins anew, after changes that this instance may have missed."""
        self._complete_since = self._clock.elapsed()

    def observe(self, record: UpstreamRecord) -> None:
        """Records that an upstream is in service now."""
        versions = self._last_seen.setdefault(record.service, {})
        versions[record.software] = self._clock.elapsed()

    def sole_version(self, service: str, lifetime: timedelta) -> str | None:
        """Returns the only version in service within a time.

        None if there were several or none, or if some may have been missed.
        """
        now = self._clock.elapsed()
        if now - self._complete_since < lifetime:
            return None
        recent = [
            version
            for version, seen_at in self._last_seen.get(service, {}).items()
            if now - seen_at <= lifetime
        ]
        return recent[0] if len(recent) == 1 else None
