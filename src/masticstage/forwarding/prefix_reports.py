"""Which upstreams hold which long prefixes, spread among the instances.

An instance sees only a small part of the requests. What it sees an upstream
prefill, it reports to others, which pass it on within their region. A report is
sent a few times after it was first heard, so the cost depends on the number of
new copies and not on the number of instances.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.requests import PromptPart

#: Shortest prefix that is reported, in tokens; shorter ones are cheap to
#: prefill again.
_MIN_REPORTED_TOKENS: Final = 1000
#: Time after which a report that was heard is new again, in seconds: instances
#: may have dropped it in the meantime, as least recently used.
_REPEAT_AFTER_S: Final = 20.0
#: How often a report is sent within the region, and how often its first sender
#: sends it to other regions.
_LOCAL_SENDS: Final = 3
_REMOTE_SENDS: Final = 4
#: Reports in one message, and the most that wait to be sent.
_MAX_IN_MESSAGE: Final = 60
_MAX_WAITING: Final = 1000


@attrs.frozen
class PrefixReport:
    """An upstream that has prefilled the parts of a prefix."""

    upstream: str
    parts: tuple[PromptPart, ...]

    @property
    def identity(self) -> tuple[str, str]:
        """The upstream and the last part, which stands for all before it."""
        return self.upstream, self.parts[-1].part_id


@final
@attrs.define
class _Outbox:
    """Reports to send, with the number of sends that are left."""

    _sends: int
    _waiting: OrderedDict[PrefixReport, int] = attrs.field(factory=OrderedDict)

    def add(self, report: PrefixReport) -> None:
        self._waiting[report] = self._sends
        if len(self._waiting) > _MAX_WAITING:
            self._waiting.popitem(last=False)

    def take(self) -> tuple[PrefixReport, ...]:
        """Returns the reports of one message, the newest first."""
        batch = tuple(reversed(self._waiting))[:_MAX_IN_MESSAGE]
        for report in batch:
            self._waiting[report] -= 1
            if not self._waiting[report]:
                self._waiting.pop(report)
        return batch


@final
@attrs.define
class PrefixReports:
    """Reports that this instance sends, and those it heard recently."""

    _clock: Clock
    _heard_at_s: OrderedDict[tuple[str, str], float] = attrs.field(
        factory=OrderedDict
    )
    _to_own_region: _Outbox = attrs.field(factory=lambda: _Outbox(_LOCAL_SENDS))
    _to_others: _Outbox = attrs.field(factory=lambda: _Outbox(_REMOTE_SENDS))

    def observe(self, upstream: str, parts: tuple[PromptPart, ...]) -> None:
        """Reports that this instance saw an upstream prefill a prefix."""
        if sum(part.tokens for part in parts) < _MIN_REPORTED_TOKENS:
            return
        report = PrefixReport(upstream, parts)
        if self._hear(report):
            self._to_own_region.add(report)
            self._to_others.add(report)

    def learn(self, reports: Iterable[PrefixReport]) -> list[PrefixReport]:
        """Passes on what is new of the reports of another instance.

        Returns the new ones.
        """
        new = [report for report in reports if self._hear(report)]
        for report in new:
            self._to_own_region.add(report)
        return new

    def next_batch(self, *, is_own_region: bool) -> tuple[PrefixReport, ...]:
        """Returns the reports for the next message to an instance."""
        outbox = self._to_own_region if is_own_region else self._to_others
        return outbox.take()

    def _hear(self, report: PrefixReport) -> bool:
        """Returns whether a report is new, and remembers it."""
        now_s = self._clock.elapsed().total_seconds()
        self._forget_before(now_s - _REPEAT_AFTER_S)
        if report.identity in self._heard_at_s:
            return False
        self._heard_at_s[report.identity] = now_s
        return True

    def _forget_before(self, earliest_s: float) -> None:
        while self._heard_at_s:
            identity, heard_at_s = next(iter(self._heard_at_s.items()))
            if heard_at_s >= earliest_s:
                return
            self._heard_at_s.pop(identity)
