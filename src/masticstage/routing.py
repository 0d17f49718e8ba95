"""Selection of the upstream, or the data centre, that serves a request.

This module does no I/O.  Only a few candidates are scored for each request:
the upstreams that follow its prefix on a hash ring, the upstream that last
served the prefix, and two chosen at random.  The cost of a decision thus
does not depend on the number of upstreams, and a delayed load report does
not attract all requests to the same upstream.
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

#: Virtual nodes of each upstream on the hash ring.
POINTS_PER_UPSTREAM: Final = 16
#: Candidates taken from the hash ring.
RING_CANDIDATES: Final = 2
#: Candidates chosen at random.
RANDOM_CANDIDATES: Final = 2
#: Prefixes whose last upstream is kept; the least recently used is evicted.
MAX_PREFIXES: Final = 20000
#: Prefill time of one uncached byte of a prompt, in seconds.
PREFILL_S_PER_BYTE: Final = 0.00001

#: Longest wait in another data centre for which a request is transferred, as
#: a fraction of the local wait.
MAX_TRANSFER_WAIT_RATIO: Final = 0.25
#: Time by which a full batch delays an answer, on top of the wait for a slot.
FULL_BATCH_DELAY_S: Final = 0.2


@attrs.frozen
class Demand:
    """Properties of a request that the selection depends on.

    `prefix` is a hash of the part of the body that is shared with other
    requests, 0 if there is none; `prefix_bytes` is the length of that part.
    Upstreams in `avoided` are not chosen.
    """

    service: str
    prefix: int = 0
    prefix_bytes: int = 0
    body_bytes: int = 0
    avoided: frozenset[str] = frozenset()


@attrs.frozen
class Choice:
    """A candidate with its score, its expected wait and the reason for it.

    Lower scores are better.  `candidate_count` counts the scored upstreams.
    """

    upstream: Upstream
    reason: str
    wait_s: float
    score: float
    candidate_count: int


@attrs.frozen
class RemoteCandidate:
    """Another data centre, its expected wait and the link to it.

    `link_s` is the one-way latency of the link in seconds.
    """

    data_centre: str
    wait_s: float
    link_s: float
    link_bytes_per_s: float


@attrs.frozen
class Transfer:
    """Another data centre that could serve the request, and its score."""

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
        """Computes the points of every upstream."""
        sorted_points = sorted(
            (_hash_point(upstream.name, point), position)
            for position, upstream in enumerate(self.upstreams)
            for point in range(POINTS_PER_UPSTREAM)
        )
        points = tuple(point for point, _ in sorted_points)
        owners = tuple(
            self.upstreams[position] for _, position in sorted_points
        )
        object.__setattr__(self, '_points', points)
        object.__setattr__(self, '_owners', owners)

    def successors(self, key: int) -> Iterator[Upstream]:
        """Yields each upstream once, in ring order from a key."""
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
    """Selects among the upstreams of this data centre."""

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
        """Returns the best candidate, None if no upstream is usable.

        All usable upstreams are scored if no sampled one is usable.
        """
        candidates = self._usable_sample(upstreams, demand)
        if not candidates:
            candidates = self._filter_usable(upstreams, demand)
        scored = [
            self._scored_choice(upstream, demand, weights)
            for upstream in candidates
        ]
        if not scored:
            return None
        best = min(scored, key=_by_score)
        return attrs.evolve(best, candidate_count=len(scored))

    def record_prefix(self, demand: Demand, upstream: str) -> None:
        """Records the upstream that now caches the prefix."""
        if not demand.prefix:
            return
        key = (demand.service, demand.prefix)
        self._last_upstream[key] = upstream
        self._last_upstream.move_to_end(key)
        if len(self._last_upstream) > MAX_PREFIXES:
            self._last_upstream.popitem(last=False)

    def _filter_usable(
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

    def _usable_sample(
        self,
        upstreams: tuple[Upstream, ...],
        demand: Demand,
    ) -> list[Upstream]:
        if len(upstreams) <= RING_CANDIDATES + RANDOM_CANDIDATES:
            return self._filter_usable(upstreams, demand)
        sampled = {
            upstream.name: upstream
            for upstream in self._sampled_upstreams(upstreams, demand)
        }
        return self._filter_usable(tuple(sampled.values()), demand)

    def _sampled_upstreams(
        self,
        upstreams: tuple[Upstream, ...],
        demand: Demand,
    ) -> Iterator[Upstream]:
        if demand.prefix:
            yield from self._prefix_candidates(upstreams, demand)
        for _ in range(RANDOM_CANDIDATES):
            yield upstreams[int(self._random.random() * len(upstreams))]

    def _prefix_candidates(
        self,
        upstreams: tuple[Upstream, ...],
        demand: Demand,
    ) -> Iterator[Upstream]:
        """Yields upstreams that probably cache the prefix."""
        last_name = self._last_upstream.get((demand.service, demand.prefix))
        successors = self._cached_ring(upstreams).successors(demand.prefix)
        for _ in range(RING_CANDIDATES):
            yield next(successors)
        for upstream in upstreams:
            if upstream.name == last_name:
                yield upstream

    def _cached_ring(self, upstreams: tuple[Upstream, ...]) -> Ring:
        ring = self._rings.get(upstreams)
        if ring is None:
            ring = Ring(upstreams)
            self._rings[upstreams] = ring
        return ring

    def _scored_choice(
        self,
        upstream: Upstream,
        demand: Demand,
        weights: Weights,
    ) -> Choice:
        wait_s = self._table.expected_wait_s(upstream.name, upstream.slots)
        last_name = self._last_upstream.get((demand.service, demand.prefix))
        is_cached = bool(demand.prefix) and last_name == upstream.name
        uncached_bytes = demand.body_bytes
        if is_cached:
            uncached_bytes -= demand.prefix_bytes
        prefill_s = uncached_bytes * PREFILL_S_PER_BYTE
        backlog = self._table.backlog(upstream.name)
        batch_delay_s = FULL_BATCH_DELAY_S * backlog / upstream.slots
        reason = 'cached prefix' if is_cached else 'least expected delay'
        score = weights.latency * (wait_s + prefill_s + batch_delay_s)
        return Choice(upstream, reason, wait_s, score, 1)


def _hash_point(name: str, point: int) -> int:
    return xxhash.xxh3_64_intdigest(f'{name}/{point}'.encode())


def choose_transfer(
    candidates: tuple[RemoteCandidate, ...],
    demand: Demand,
    weights: Weights,
    local: Choice | None,
) -> Transfer | None:
    """Returns the best transfer, None if the local choice is better.

    Congested data centres are not considered: when all of them are loaded,
    transfers only reduce prefix cache hits and fill the links.
    """
    transfers = [
        Transfer(
            candidate.data_centre, transfer_score(candidate, demand, weights)
        )
        for candidate in candidates
        if local is None
        or candidate.wait_s <= MAX_TRANSFER_WAIT_RATIO * local.wait_s
    ]
    best = min(transfers, key=_by_transfer_score, default=None)
    if best is None or local is None or best.score < local.score:
        return best
    return None


def transfer_score(
    candidate: RemoteCandidate,
    demand: Demand,
    weights: Weights,
) -> float:
    """Returns the score of a transfer, comparable to `Choice.score`.

    The prefix is assumed not to be cached at the destination.
    """
    sending_s = demand.body_bytes / candidate.link_bytes_per_s
    prefill_s = demand.body_bytes * PREFILL_S_PER_BYTE
    delay_s = candidate.wait_s + prefill_s + sending_s + 2 * candidate.link_s
    return (
        weights.latency * delay_s
        + weights.traffic * sending_s
        + weights.sent_away
    )


def _by_score(choice: Choice) -> float:
    return choice.score


def _by_transfer_score(transfer: Transfer) -> float:
    return transfer.score
