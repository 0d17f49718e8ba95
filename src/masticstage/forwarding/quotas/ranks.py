"""Which instance of a region keeps a team's share of its limit.

Rendezvous hashing over the live instances: each instance that knows the same
members finds the same keeper, and few teams change theirs when a member does.
"""

from collections.abc import Iterable, Mapping
from math import ceil
from typing import Final, final

import attrs
import xxhash

#: Members of a region for each group of teams with a keeper of its own.
_MEMBERS_PER_SHARD: Final = 16
#: Time after which a new member replaces a keeper. A new process leases out
#: nothing at first, and its predecessor goes on for that time.
_NEW_S: Final = 2.0
#: Absence after which a process counts as new again. A shorter one is more
#: likely a false suspicion.
_ABSENCE_S: Final = 5.0

Group = tuple[int, int]


def count_shards(members: int) -> int:
    """Returns into how many groups the teams of a region are divided."""
    return max(1, ceil(members / _MEMBERS_PER_SHARD))


def shard_of(team: str, shards: int) -> int:
    """Returns the group of a team."""
    return xxhash.xxh3_64_intdigest(team.encode()) % shards


def rank_keepers(shard: int, names: Iterable[str]) -> list[str]:
    """Returns the instances in the order in which they keep a group."""

    def weight(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f'{shard}/{name}'.encode())

    return sorted(names, key=weight)


@attrs.frozen
class Tenure:
    """What an instance believes about its own part for a team.

    `group` is that of the teams with the same keeper. `fraction` is the part
    of each limit that the data centres own which it sees. `is_keeper` tells
    whether it ranks first, `is_deputy` second.
    """

    group: Group
    fraction: float
    is_keeper: bool
    is_deputy: bool = False


@attrs.frozen
class Peer:
    """A live instance of the region: its process and its data centre."""

    incarnation: int
    data_centre: str


@attrs.define
class _Known:
    """A live instance, since when it is known and when it was last seen."""

    peer: Peer
    since_s: float
    seen_s: float


@final
@attrs.define
class Ranking:
    """The order of the keepers of a region, as one instance knows it."""

    _own: str
    _all_data_centres: int
    _peers: Mapping[str, Peer] = attrs.field(factory=dict)
    _absent: frozenset[str] = frozenset()
    _known: dict[str, _Known] = attrs.field(factory=dict)
    _shards: int = 1
    _has_new: bool = True
    _orders: list[list[str]] = attrs.field(factory=list)
    _tenures: list[Tenure] = attrs.field(factory=list)

    def update(
        self,
        now_s: float,
        peers: Mapping[str, Peer],
        absent: Iterable[str] = (),
    ) -> None:
        """Learns the live instances, with this one, and those that are not."""
        away = frozenset(absent)
        is_known = away == self._absent and peers == self._peers
        if is_known and not self._has_new:
            return
        for earlier in self._peers:
            self._known[earlier].seen_s = now_s
        self._shards = count_shards(len(peers) + len(away))
        self._peers = dict(peers)
        self._absent = away
        for name, peer in peers.items():
            self._record_peer(name, peer, now_s)
        settled = {
            name
            for name in peers
            if name == self._own or now_s - self._known[name].since_s >= _NEW_S
        }
        self._has_new = len(settled) < len(peers)
        shards = range(self._shards)
        self._orders = [rank_keepers(shard, peers) for shard in shards]
        self._tenures = [self._build_tenure(shard, settled) for shard in shards]

    def rivals(self) -> set[str]:
        """Returns absent instances that this one replaces as keeper.

        While one of them answers, both would fill a bucket for one share.
        """
        rivals: set[str] = set()
        for tenure in self._tenures:
            if tenure.is_keeper and self._absent:
                names = {self._own, *self._absent}
                order = rank_keepers(tenure.group[0], names)
                rivals.update(order[: order.index(self._own)])
        return rivals

    def order(self, team: str) -> list[str]:
        """Returns the instances in the order in which to ask them."""
        return self._orders[shard_of(team, self._shards)]

    def shard(self, team: str) -> int:
        """Returns the group of a team."""
        return shard_of(team, self._shards)

    def tenure(self, team: str) -> Tenure:
        """Returns the part of this instance for a team."""
        return self._tenures[shard_of(team, self._shards)]

    def tenures(self) -> list[Tenure]:
        """Returns the part of this instance for each group of teams."""
        return self._tenures

    def _record_peer(self, name: str, peer: Peer, now_s: float) -> None:
        """Records a live instance; it is new again after a long absence."""
        known = self._known.get(name)
        is_same = known is not None and known.peer == peer
        if known is None or not is_same or now_s - known.seen_s > _ABSENCE_S:
            self._known[name] = _Known(peer, now_s, now_s)

    def _build_tenure(self, shard: int, settled: set[str]) -> Tenure:
        order = self._orders[shard]
        replaceable = [name for name in order if name in settled]
        visible = {peer.data_centre for peer in self._peers.values()}
        return Tenure(
            (shard, self._shards),
            len(visible) / self._all_data_centres,
            replaceable[:1] == [self._own],
            self._own in order[:2] or self._own in replaceable[:2],
        )
