"""What upstreams said of themselves in their answers.

An upstream that leaves says so in each answer; one that rejects a request may
ask this instance for a rest.  Both hold for the process that said so, whatever
its published record says: until the record names another start of it.
"""

from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Final, final

import attrs
import xxhash

from masticstage.clock import Clock
from masticstage.forwarding.published import UpstreamRecord

#: Upstreams of which notices are kept; the oldest are dropped.
_MAX_NOTICES: Final = 2048
#: Time for which a notice is passed on to peers, and how many in one message.
_REPORT_TIME: Final = timedelta(seconds=10)
_MAX_REPORTS: Final = 16
#: Shortest time over which the retries of callers are spread.
_MIN_SPREAD: Final = timedelta(seconds=1)
_SPREAD_STEPS: Final = 1024

_Start = tuple[str, int]


@attrs.frozen
class LeavingReport:
    """That an upstream leaves, by its name and the time of its start."""

    upstream: str
    started_at_ms: int


@attrs.frozen
class _Leaving:
    """When an upstream was first known to leave.

    `is_own` tells whether it said so to this instance; a peer's word is a hint.
    """

    noticed_at: timedelta
    is_own: bool


@final
@attrs.define
class UpstreamNotices:
    """Which upstreams leave, and which rest from this instance.

    Prefixes are copied from a leaving upstream for `_copy_time` only.
    """

    _clock: Clock
    _copy_time: timedelta
    _leaving: dict[_Start, _Leaving] = attrs.field(factory=dict)
    _rests: dict[_Start, timedelta] = attrs.field(factory=dict)
    _latest_rest: timedelta = timedelta()
    _changes: int = 0

    @property
    def changes(self) -> int:
        """How often the set of leaving upstreams has changed."""
        return self._changes

    @property
    def is_empty(self) -> bool:
        """Whether no upstream has said anything yet."""
        return not self._leaving and not self._rests

    def record_leaving(self, record: UpstreamRecord, *, is_own: bool) -> bool:
        """Records that an upstream leaves; returns whether that is new."""
        start = _start_of(record)
        known = self._leaving.get(start)
        if known is not None and (known.is_own or not is_own):
            return False
        now = self._clock.elapsed()
        noticed_at = known.noticed_at if known else now
        self._leaving[start] = _Leaving(noticed_at, is_own)
        _drop_oldest(self._leaving)
        self._changes += 1
        return True

    def record_rest(self, record: UpstreamRecord, rest: timedelta) -> bool:
        """Records that an upstream asks for a rest; True if it is longer.

        A shorter one does not end an earlier one, which holds for itself.
        """
        start = _start_of(record)
        until = self._clock.elapsed() + rest
        if until <= self._rests.get(start, timedelta()):
            return False
        self._rests.pop(start, None)
        self._rests[start] = until
        _drop_oldest(self._rests)
        self._latest_rest = max(self._latest_rest, until)
        return True

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Returns whether an upstream is known to leave."""
        return _start_of(record) in self._leaving

    def has_rests(self) -> bool:
        """Returns whether any upstream may still rest."""
        return self._latest_rest > self._clock.elapsed()

    def rest_left(self, record: UpstreamRecord) -> timedelta:
        """Returns how long an upstream still rests, zero if it does not."""
        until = self._rests.get(_start_of(record))
        if until is None:
            return timedelta()
        return max(timedelta(), until - self._clock.elapsed())

    def may_copy_from(self, record: UpstreamRecord) -> bool:
        """Returns whether prefixes may still be copied from an upstream."""
        leaving = self._leaving.get(_start_of(record))
        if leaving is None:
            return True
        return self._clock.elapsed() - leaving.noticed_at < self._copy_time

    def describe(self, record: UpstreamRecord) -> str:
        """Returns what an upstream said, for the log; empty for nothing."""
        leaving = self._leaving.get(_start_of(record))
        if leaving is not None:
            age = self._clock.elapsed() - leaving.noticed_at
            source = 'itself' if leaving.is_own else 'a peer'
            return f'leaves, said {source} {_ms(age)} ms ago'
        rest = self.rest_left(record)
        return f'rests for {_ms(rest)} ms' if rest else ''

    def reports(self) -> Iterator[LeavingReport]:
        """Yields what this instance heard itself lately, for peers."""
        oldest = self._clock.elapsed() - _REPORT_TIME
        newest_first = reversed(self._leaving.items())
        for index, (start, leaving) in enumerate(newest_first):
            if index >= _MAX_REPORTS or leaving.noticed_at < oldest:
                return
            if leaving.is_own:
                yield LeavingReport(*start)


def retry_after_rest(rests: Iterable[timedelta], key: str) -> timedelta:
    """Returns when a caller should retry if all upstreams rest.

    That is after the earliest rest; callers are spread by `key` until the
    latest one, so that they do not come at one moment.
    """
    earliest, latest = _earliest_and_latest(rests)
    spread = max(_MIN_SPREAD, latest - earliest)
    step = xxhash.xxh3_64_intdigest(key.encode()) % _SPREAD_STEPS
    return earliest + spread * step / _SPREAD_STEPS


def _earliest_and_latest(
    rests: Iterable[timedelta],
) -> tuple[timedelta, timedelta]:
    ordered = sorted(rests)
    return ordered[0], ordered[-1]


def _start_of(record: UpstreamRecord) -> _Start:
    return record.name, record.started_at_ms


def _drop_oldest(
    notices: dict[_Start, _Leaving] | dict[_Start, timedelta],
) -> None:
    if len(notices) > _MAX_NOTICES:
        notices.pop(next(iter(notices)))


def _ms(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)
