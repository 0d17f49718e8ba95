"""Quarantine of requests that crash the upstreams which run them.

When an upstream crashes, the crash is recorded for each request that was
running on it.  After crashes of two different upstreams the content
fingerprint of the request is quarantined, so that no third upstream runs
it.  After one crash the request is only suspected: it may have been running
there by coincidence.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, final

import attrs
import xxhash

from masticstage.clock import Clock

#: Number of crashed upstreams at which a request is quarantined.
QUARANTINE_THRESHOLD: Final = 2
#: Maximum number of fingerprints held; the oldest are evicted first.
CAPACITY: Final = 4096
#: Time after the first crash for which a record or a quarantine is valid.
LIFETIME_S: Final = 3600


@attrs.frozen
class CrashReport:
    """Report that an upstream crashed while it was running a request."""

    fingerprint: str
    upstream: str


@attrs.define
class _CrashRecord:
    """Upstreams that crashed while they were running a request.

    `first_crash_s` is a time of the monotonic clock in seconds.
    """

    first_crash_s: float
    upstreams: set[str] = attrs.field(factory=set)
    is_quarantined: bool = False


@final
@attrs.define
class Quarantine:
    """Crash records and quarantined fingerprints held by an instance."""

    _clock: Clock
    _records: OrderedDict[str, _CrashRecord] = attrs.field(
        factory=OrderedDict,
    )

    def record_crash(self, fingerprint: str, upstream: str) -> bool:
        """Records a crash; True if it newly quarantines the request."""
        record = self._current_record(fingerprint)
        record.upstreams.add(upstream)
        if (
            len(record.upstreams) < QUARANTINE_THRESHOLD
            or record.is_quarantined
        ):
            return False
        record.is_quarantined = True
        return True

    def crashed_upstreams(self, fingerprint: str) -> frozenset[str]:
        """Returns the upstreams that crashed while they ran a request."""
        record = self._records.get(fingerprint)
        return frozenset(record.upstreams) if record else frozenset()

    def contains(self, fingerprint: str) -> bool:
        """Returns whether a request is quarantined and must not be run."""
        record = self._records.get(fingerprint)
        if record is None or not record.is_quarantined:
            return False
        return self._now_s() - record.first_crash_s < LIFETIME_S

    def release(self, fingerprints: tuple[str, ...]) -> None:
        """Removes fingerprints that an operator has released."""
        for fingerprint in fingerprints:
            self._records.pop(fingerprint, None)

    def crash_reports(self) -> tuple[CrashReport, ...]:
        """Returns all crash records that are valid, for peers."""
        now_s = self._now_s()
        return tuple(
            CrashReport(fingerprint, upstream)
            for fingerprint, record in self._records.items()
            if now_s - record.first_crash_s < LIFETIME_S
            for upstream in record.upstreams
        )

    def quarantined(self) -> tuple[str, ...]:
        """Returns the quarantined fingerprints."""
        return tuple(
            fingerprint
            for fingerprint in self._records
            if self.contains(fingerprint)
        )

    def _current_record(self, fingerprint: str) -> _CrashRecord:
        """Returns the valid record of a request, a new one if needed."""
        now_s = self._now_s()
        record = self._records.get(fingerprint)
        if record is None or now_s - record.first_crash_s >= LIFETIME_S:
            record = _CrashRecord(now_s)
            self._records[fingerprint] = record
            self._records.move_to_end(fingerprint)
        while len(self._records) > CAPACITY:
            self._records.popitem(last=False)
        return record

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


@final
@attrs.define
class SuspectRuns:
    """Counts the suspected requests that are running on each upstream.

    A request is suspected once an upstream has crashed while running it.
    """

    _running: Counter[str] = attrs.field(factory=Counter)

    def any_on(self, upstream: str) -> bool:
        """Returns whether an upstream is running a suspected request."""
        return self._running[upstream] > 0

    @contextmanager
    def track(self, upstream: str, is_suspect: bool) -> Iterator[None]:
        """Counts a request as running inside the context, if suspected."""
        self._running[upstream] += is_suspect
        try:
            yield
        finally:
            self._running[upstream] -= is_suspect


def fingerprint_request(team: str, service: str, body: bytes) -> str:
    """Returns the content fingerprint of a request, in hexadecimal."""
    prefix = f'{team}\0{service}\0'.encode()
    return xxhash.xxh3_128_hexdigest(prefix + body)
