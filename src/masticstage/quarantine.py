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
STRIKES: Final = 2
#: Fingerprints remembered; the oldest are forgotten first.
CAPACITY: Final = 4096
#: Time for which a strike or a quarantine holds.
LIFETIME_S: Final = 3600


@attrs.frozen
class Strike:
    """An upstream crashed while it was running a request."""

    fingerprint: str
    upstream: str


@attrs.define
class _Suspicion:
    """Upstreams that crashed while running a request."""

    since_s: float
    upstreams: set[str] = attrs.field(factory=set)
    is_condemned: bool = False


@final
@attrs.define
class Quarantine:
    """Strikes and condemned fingerprints of one instance."""

    _clock: Clock
    _suspicions: OrderedDict[str, _Suspicion] = attrs.field(
        factory=OrderedDict,
    )

    def strike(self, fingerprint: str, upstream: str) -> bool:
        """Notes a crash; returns True when it quarantines the request."""
        suspicion = self._suspicion(fingerprint)
        suspicion.upstreams.add(upstream)
        if len(suspicion.upstreams) < STRIKES or suspicion.is_condemned:
            return False
        suspicion.is_condemned = True
        return True

    def struck_upstreams(self, fingerprint: str) -> frozenset[str]:
        """Returns the upstreams that crashed while running the request."""
        suspicion = self._suspicions.get(fingerprint)
        return frozenset(suspicion.upstreams) if suspicion else frozenset()

    def contains(self, fingerprint: str) -> bool:
        """Tells whether a request must not be run."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or not suspicion.is_condemned:
            return False
        return self._now_s() - suspicion.since_s < LIFETIME_S

    def release(self, fingerprints: tuple[str, ...]) -> None:
        """Forgets fingerprints that an operator has released."""
        for fingerprint in fingerprints:
            self._suspicions.pop(fingerprint, None)

    def strikes(self) -> tuple[Strike, ...]:
        """Returns all strikes that still hold, to be told to peers."""
        now_s = self._now_s()
        return tuple(
            Strike(fingerprint, upstream)
            for fingerprint, suspicion in self._suspicions.items()
            if now_s - suspicion.since_s < LIFETIME_S
            for upstream in suspicion.upstreams
        )

    def condemned(self) -> tuple[str, ...]:
        """Returns the quarantined fingerprints."""
        return tuple(
            fingerprint
            for fingerprint in self._suspicions
            if self.contains(fingerprint)
        )

    def _suspicion(self, fingerprint: str) -> _Suspicion:
        now_s = self._now_s()
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None or now_s - suspicion.since_s >= LIFETIME_S:
            suspicion = _Suspicion(now_s)
            self._suspicions[fingerprint] = suspicion
            self._suspicions.move_to_end(fingerprint)
        while len(self._suspicions) > CAPACITY:
            self._suspicions.popitem(last=False)
        return suspicion

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


@final
@attrs.define
class SuspectRuns:
    """Suspected requests that now run at each upstream."""

    _running: Counter[str] = attrs.field(factory=Counter)

    def are_at(self, upstream: str) -> bool:
        """Tells whether an upstream runs a suspected request."""
        return self._running[upstream] > 0

    @contextmanager
    def running(self, upstream: str, is_suspect: bool) -> Iterator[None]:
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
