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

    def versions(self, service: str, lifetime: timedelta) -> set[str]:
        """Returns the versions that were in service within a time."""
        oldest = self._clock.elapsed() - lifetime
        seen = self._last_seen.get(service, {})
        return {version for version, at in seen.items() if at >= oldest}

    def sole_version(self, service: str, lifetime: timedelta) -> str | None:
        """Returns the only version in service within a time.

        None if there were several or none, or if some may have been missed.
        """
        if self._clock.elapsed() - self._complete_since < lifetime:
            return None
        versions = self.versions(service, lifetime)
        return versions.pop() if len(versions) == 1 else None
