"""What this instance found out about upstreams lately, for its peers."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.clock import Clock

#: Time for which news is passed on, and how much in one message.
_REPORT_TIME: Final = timedelta(seconds=5)
_MAX_REPORTS: Final = 16
#: Upstreams whose failures at peers are remembered, and for how long a failure
#: need not be told again.
_MAX_HEARD: Final = 2048
_KNOWN_TIME: Final = timedelta(seconds=1)


@attrs.frozen
class UpstreamNews:
    """That an upstream failed, or answered a health check, `age` ago.

    `cold_for` is the rest of its warm-up from now.
    """

    upstream: str
    age: timedelta
    is_failing: bool = False
    cold_for: timedelta = timedelta()


@attrs.frozen
class _Found:
    """News with the times at which it was found and the warm-up ends."""

    found_at: timedelta
    is_failing: bool
    cold_until: timedelta


@final
@attrs.define
class RecentNews:
    """The latest news of each upstream, by name, the oldest first."""

    _clock: Clock
    _found: dict[str, _Found] = attrs.field(factory=dict)
    _failures_heard_at: dict[str, timedelta] = attrs.field(factory=dict)

    def hear_failure(self, upstream: str) -> None:
        """Records that a peer says that an upstream fails."""
        self._failures_heard_at.pop(upstream, None)
        self._failures_heard_at[upstream] = self._clock.elapsed()
        if len(self._failures_heard_at) > _MAX_HEARD:
            self._failures_heard_at.pop(next(iter(self._failures_heard_at)))

    def is_failure_known(self, upstream: str) -> bool:
        """Returns whether a peer has just said that an upstream fails."""
        heard_at = self._failures_heard_at.get(upstream)
        if heard_at is None:
            return False
        return self._clock.elapsed() - heard_at < _KNOWN_TIME

    def record(self, news: UpstreamNews) -> None:
        """Records what this instance has found out itself."""
        now = self._clock.elapsed()
        self._found.pop(news.upstream, None)
        self._found[news.upstream] = _Found(
            now - news.age, news.is_failing, now + news.cold_for
        )
        if len(self._found) > _MAX_REPORTS:
            self._found.pop(next(iter(self._found)))

    def reports(self) -> Iterator[UpstreamNews]:
        """Yields the news that is not too old."""
        now = self._clock.elapsed()
        for upstream, found in self._found.items():
            age = now - found.found_at
            if age <= _REPORT_TIME:
                cold_for = max(timedelta(), found.cold_until - now)
                yield UpstreamNews(upstream, age, found.is_failing, cold_for)
