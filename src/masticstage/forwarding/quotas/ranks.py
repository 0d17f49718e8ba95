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


@final
@attrs.define
class Ranking:
    """The order of the keepers of a region, as one instance knows it."""

    _own: str
    _all_data_centres: int
    _peers: Mapping[str, Peer] = attrs.field(factory=dict)
    _known_since_s: dict[str, tuple[Peer, float]] = attrs.field(factory=dict)
    _shards: int = 1
    _has_new: bool = True
    _orders: list[list[str]] = attrs.field(factory=list)
    _tenures: list[Tenure] = attrs.field(factory=list)

    def update(
        self, now_s: float, peers: Mapping[str, Peer], members: int
    ) -> None:
        """Learns the live instances, with this one, and the number of all."""
        shards = count_shards(members)
        is_known = shards == self._shards and peers == self._peers
        if is_known and not self._has_new:
            return
        self._shards = shards
        self._peers = dict(peers)
        earlier = self._known_since_s
        self._known_since_s = {}
        for name, peer in peers.items():
            known, since_s = earlier.get(name, (peer, now_s))
            is_same = known == peer
            self._known_since_s[name] = (peer, since_s if is_same else now_s)
        settled = {
            name
            for name, (_, since_s) in self._known_since_s.items()
            if name == self._own or now_s - since_s >= _NEW_S
        }
        self._has_new = len(settled) < len(peers)
        self._orders = [rank_keepers(shard, peers) for shard in range(shards)]
        self._tenures = [
            self._build_tenure(shard, settled) for shard in range(shards)
        ]

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
