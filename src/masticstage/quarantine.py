"""Requests that crash the upstreams which run them.

A request that was running on an upstream when it crashed gets a strike.
Two strikes on different upstreams quarantine its content fingerprint, so
that no third upstream runs it.  One strike alone condemns nothing: the
request may have been present by coincidence.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, final

import attrs
import xxhash

from masticstage.clock import Clock

#: Crashes on different upstreams after which a request is not run again.
QUARANTINE_THRESHOLD: Final = 2
#: Fingerprints remembered; the oldest are forgotten first.
CAPACITY: Final = 4096
#: Time for which a strike or a quarantine holds.
LIFETIME_S: Final = 3600


@attrs.frozen
class CrashReport:
    """An upstream crashed while it was running a request."""

    fingerprint: str
    upstream: str


@attrs.define
class _CrashRecord:
    """Upstreams that crashed while running a request."""

    since_s: float
    upstreams: set[str] = attrs.field(factory=set)
    is_quarantined: bool = False


@final
@attrs.define
class Quarantine:
    """Strikes and condemned fingerprints of one instance."""

    _clock: Clock
    _records: OrderedDict[str, _CrashRecord] = attrs.field(
        factory=OrderedDict,
    )

    def record_crash(self, fingerprint: str, upstream: str) -> bool:
        """Notes a crash; returns True when it quarantines the request."""
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
        """Returns the upstreams that crashed while running the request."""
        record = self._records.get(fingerprint)
        return frozenset(record.upstreams) if record else frozenset()

    def contains(self, fingerprint: str) -> bool:
        """Tells whether a request must not be run."""
        record = self._records.get(fingerprint)
        if record is None or not record.is_quarantined:
            return False
        return self._now_s() - record.since_s < LIFETIME_S

    def release(self, fingerprints: tuple[str, ...]) -> None:
        """Forgets fingerprints that an operator has released."""
        for fingerprint in fingerprints:
            self._records.pop(fingerprint, None)

    def crash_reports(self) -> tuple[CrashReport, ...]:
        """Returns all strikes that still hold, to be told to peers."""
        now_s = self._now_s()
        return tuple(
            CrashReport(fingerprint, upstream)
            for fingerprint, record in self._records.items()
            if now_s - record.since_s < LIFETIME_S
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
        now_s = self._now_s()
        record = self._records.get(fingerprint)
        if record is None or now_s - record.since_s >= LIFETIME_S:
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
    """Suspected requests that now run at each upstream."""

    _running: Counter[str] = attrs.field(factory=Counter)

    def any_on(self, upstream: str) -> bool:
        """Tells whether an upstream runs a suspected request."""
        return self._running[upstream] > 0

    @contextmanager
    def track(self, upstream: str, is_suspect: bool) -> Iterator[None]:
        """Counts a request as running, if it is suspected."""
        self._running[upstream] += is_suspect
        try:
            yield
        finally:
            self._running[upstream] -= is_suspect


def fingerprint_request(team: str, service: str, body: bytes) -> str:
    """Returns the fingerprint of a request's content, in hexadecimal."""
    prefix = f'{team}\0{service}\0'.encode()
    return xxhash.xxh3_128_hexdigest(prefix + body)
