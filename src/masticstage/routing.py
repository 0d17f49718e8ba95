"""Choice of the upstream, or the data centre, that serves a request.

Pure decisions.  Only a few candidates are scored for each request: the
places of its prefix on a hash ring, where the prefix was last generated,
and two drawn at random.  The cost of a decision is thus independent of the
number of upstreams, and lagging reports do not herd all callers onto one.
"""

from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Iterator
from random import Random
from typing import Final, final

import attrs
import xxhash

from masticstage.configuration_schema import Upstream, Weights
from masticstage.upstream_table import UpstreamTable

#: Points of each upstream on the hash ring.
RING_POINTS: Final = 16
#: Candidates taken from the ring and at random.
RING_CANDIDATES: Final = 2
RANDOM_CANDIDATES: Final = 2
#: Prefixes whose last upstream is remembered.
PREFIX_MEMORY: Final = 20000
#: Time to process one uncached byte of a prompt, in seconds.
PREFILL_S_PER_BYTE: Final = 0.00001

#: Part of the local wait that a place for a transfer may have at most.
TRANSFER_WAIT_SHARE: Final = 0.25
#: Delay that a full batch adds to an answer that need not wait, in seconds.
CROWDING_S: Final = 0.2


@attrs.frozen
class Demand:
    """What a request asks of an upstream.

    `prefix` is a hash of the part that it shares with other requests, 0
    when there is none; `prefix_bytes` is the length of that part.
    """

    service: str
    prefix: int = 0
    prefix_bytes: int = 0
    body_bytes: int = 0
    avoided: frozenset[str] = frozenset()


@attrs.frozen
class Choice:
    """A chosen upstream, why it was chosen and its expected wait."""

    upstream: Upstream
    reason: str
    wait_s: float
    score: float
    candidates: int


@attrs.frozen
class RemoteCandidate:
    """Load of a service in another data centre, as last summarized."""

    data_centre: str
    wait_s: float
    link_s: float
    link_bytes_per_s: float


@attrs.frozen
class Transfer:
    """A choice of another data centre and its score."""

    data_centre: str
    score: float


@final
@attrs.frozen
class Ring:
    """Hash ring of the upstreams of one service in one data centre."""

    upstreams: tuple[Upstream, ...]
    _points: tuple[int, ...] = attrs.field(init=False)
    _owners: tuple[Upstream, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Places every upstream at its points."""
        placed = sorted(
            (_hash_point(upstream.name, point), position)
            for position, upstream in enumerate(self.upstreams)
            for point in range(RING_POINTS)
        )
        points = tuple(point for point, _ in placed)
        owners = tuple(self.upstreams[position] for _, position in placed)
        object.__setattr__(self, '_points', points)
        object.__setattr__(self, '_owners', owners)

    def successors(self, key: int) -> Iterator[Upstream]:
        """Yields distinct upstreams in ring order from a key."""
        start = bisect_right(self._points, key)
        seen: set[str] = set()
        size = len(self._owners)
        for offset in range(size):
            owner = self._owners[(start + offset) % size]
            if owner.name not in seen:
                seen.add(owner.name)
                yield owner


@final
@attrs.define
class Router:
    """Chooses among the upstreams of this data centre."""

    _table: UpstreamTable
    _random: Random
    _rings: dict[tuple[Upstream, ...], Ring] = attrs.field(factory=dict)
    _last_upstream: OrderedDict[tuple[str, int], str] = attrs.field(
        factory=OrderedDict,
    )

    def choose(
        self,
        upstreams: tuple[Upstream, ...],
        demand: Demand,
        weights: Weights,
    ) -> Choice | None:
        """Returns the best candidate, None when none is usable."""
        candidates = self._candidates(upstreams, demand)
        if not candidates:
            candidates = self._usable(upstreams, demand)
        scored = [
            self._score(upstream, demand, weights) for upstream in candidates
        ]
        if not scored:
            return None
        best = min(scored, key=_by_score)
        return attrs.evolve(best, candidates=len(scored))

    def record_prefix(self, demand: Demand, upstream: str) -> None:
        """Remembers where a prefix is now cached."""
        if not demand.prefix:
            return
        key = (demand.service, demand.prefix)
        self._last_upstream[key] = upstream
        self._last_upstream.move_to_end(key)
        if len(self._last_upstream) > PREFIX_MEMORY:
            self._last_upstream.popitem(last=False)

    def _usable(
        self,
        upstreams: tuple[Upstream, ...],
        demand: Demand,
    ) -> list[Upstream]:
        return [
            upstream
            for upstream in upstreams
            if upstream.name not in demand.avoided
            and self._table.is_usable(upstream.name)
        ]

    def _candidates(
        self,
        upstreams: tuple[Upstream, ...],
        demand: Demand,
    ) -> list[Upstream]:
        if len(upstreams) <= RING_CANDIDATES + RANDOM_CANDIDATES:
            return self._usable(upstreams, demand)
        found = {
            upstream.name: upstream
            for upstream in self._draw(upstreams, demand)
        }
        return self._usable(tuple(found.values()), demand)

    def _draw(
        self,
        upstreams: tuple[Upstream, ...],
        demand: Demand,
    ) -> Iterator[Upstream]:
        if demand.prefix:
            yield from self._affine(upstreams, demand)
        for _ in range(RANDOM_CANDIDATES):
            yield upstreams[int(self._random.random() * len(upstreams))]

    def _affine(
        self,
        upstreams: tuple[Upstream, ...],
        demand: Demand,
    ) -> Iterator[Upstream]:
        last = self._last_upstream.get((demand.service, demand.prefix))
        successors = self._ring(upstreams).successors(demand.prefix)
        for _ in range(RING_CANDIDATES):
            yield next(successors)
        for upstream in upstreams:
            if upstream.name == last:
                yield upstream

    def _ring(self, upstreams: tuple[Upstream, ...]) -> Ring:
        ring = self._rings.get(upstreams)
        if ring is None:
            ring = Ring(upstreams)
            self._rings[upstreams] = ring
        return ring

    def _score(
        self,
        upstream: Upstream,
        demand: Demand,
        weights: Weights,
    ) -> Choice:
        wait_s = self._table.expected_wait_s(upstream.name, upstream.slots)
        last = self._last_upstream.get((demand.service, demand.prefix))
        is_cached = bool(demand.prefix) and last == upstream.name
        uncached = demand.body_bytes
        if is_cached:
            uncached -= demand.prefix_bytes
        prefill_s = uncached * PREFILL_S_PER_BYTE
        backlog = self._table.backlog(upstream.name)
        crowding_s = CROWDING_S * backlog / upstream.slots
        reason = 'cached prefix' if is_cached else 'least expected delay'
        score = weights.latency * (wait_s + prefill_s + crowding_s)
        return Choice(upstream, reason, wait_s, score, 1)


def _hash_point(name: str, point: int) -> int:
    return xxhash.xxh3_64_intdigest(f'{name}/{point}'.encode())


def choose_transfer(
    places: tuple[RemoteCandidate, ...],
    demand: Demand,
    weights: Weights,
    local: Choice | None,
) -> Transfer | None:
    """Returns a data centre that is better than the local choice, if any.

    A place that is itself congested is left alone: under load everywhere,
    transfers only spoil prefix caches and fill the links.
    """
    transfers = [
        Transfer(place.data_centre, transfer_score(place, demand, weights))
        for place in places
        if local is None or place.wait_s <= TRANSFER_WAIT_SHARE * local.wait_s
    ]
    best = min(transfers, key=_by_transfer_score, default=None)
    if best is None or local is None or best.score < local.score:
        return best
    return None


def transfer_score(
    place: RemoteCandidate,
    demand: Demand,
    weights: Weights,
) -> float:
    """Scores serving a request elsewhere, in the unit of local scores.

    The prefix is assumed not to be cached there.
    """
    sending_s = demand.body_bytes / place.link_bytes_per_s
    prefill_s = demand.body_bytes * PREFILL_S_PER_BYTE
    delay_s = place.wait_s + prefill_s + sending_s + 2 * place.link_s
    return (
        weights.latency * delay_s
        + weights.traffic * sending_s
        + weights.sent_away
    )


def _by_score(choice: Choice) -> float:
    return choice.score


def _by_transfer_score(transfer: Transfer) -> float:
    return transfer.score
