"""Bounds on the connections of each kind of address, from the descriptors."""

import resource
from collections.abc import Callable
from typing import Final, final

import attrs
import trio

from masticstage.edges.byte_stream import ByteStream
from masticstage.edges.memory_budget import Holding, MemoryBudget, Phase

#: Shares of the descriptors.  A request of a caller or a peer needs one more,
#: to an upstream or to another peer.  The rest is for exchanges, the store,
#: health checks and files.
_CALLERS_SHARE: Final = 0.25
_PEERS_SHARE: Final = 0.15
_OTHERS_SHARE: Final = 0.125
#: Memory of a connection that holds few bytes: its tasks and parser, and what
#: waits in its receive buffer.
_CONNECTION_BYTES: Final = 32_768
#: What all connections may take so, as a multiple of the budget for bytes.
_BUDGETS: Final = 2
#: Descriptors if neither the settings nor the process limit them.
_MOST_DESCRIPTORS: Final = 65536


@final
@attrs.define(eq=False)
class ConnectionGroup:
    """The connections to one kind of address.

    When there are too many, one that is idle is closed, else one whose request
    has stopped arriving, else the new one.  Each is refused by closing it, so
    that its descriptor is free at once.
    """

    _max_count: int
    _budget: MemoryBudget
    _on_refusal: Callable[[], None]
    _open: dict[ByteStream, Holding] = attrs.field(factory=dict)

    def admit(self, stream: ByteStream) -> bool:
        """Returns whether a new connection is served."""
        if len(self._open) >= self._max_count:
            self._on_refusal()
            if not self._close_one():
                stream.reset()
                return False
        self._open[stream] = self._budget.open()
        return True

    def holding_of(self, stream: ByteStream) -> Holding:
        """Returns what a connection holds; one may have been closed already."""
        return self._open.get(stream) or Holding(self._budget)

    def forget(self, stream: ByteStream) -> None:
        """Removes a connection that has ended."""
        holding = self._open.pop(stream, None)
        if holding is not None:
            holding.close()

    def _close_one(self) -> bool:
        now_s = trio.current_time()
        closable = [
            stream
            for stream, holding in self._open.items()
            if _is_closable(holding, now_s)
        ]
        if not closable:
            return False
        stream = max(closable, key=lambda one: self._rank(one, now_s))
        self._open[stream].evict()
        stream.close()
        self.forget(stream)
        return True

    def _rank(self, stream: ByteStream, now_s: float) -> tuple[bool, float]:
        holding = self._open[stream]
        return holding.phase is Phase.IDLE, holding.age_s(now_s)


def _is_closable(holding: Holding, now_s: float) -> bool:
    return holding.phase is Phase.IDLE or (
        holding.phase is Phase.READING and holding.has_stopped(now_s)
    )


@final
@attrs.frozen
class ConnectionLimits:
    """The groups of an instance: of callers, of peers, of all else."""

    callers: ConnectionGroup
    peers: ConnectionGroup
    others: ConnectionGroup


def limit_connections(
    descriptors: int, budget: MemoryBudget, on_refusal: Callable[[], None]
) -> ConnectionLimits:
    """Returns the bounds; without a setting those of the process apply.

    There are no more connections than the memory has room for.
    """
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = descriptors or min(process_limit, _MOST_DESCRIPTORS)
    if available < 0:
        available = _MOST_DESCRIPTORS
    most_connections = _BUDGETS * budget.max_bytes / _CONNECTION_BYTES
    all_shares = _CALLERS_SHARE + _PEERS_SHARE + _OTHERS_SHARE
    usable = min(available, most_connections / all_shares)

    def group(share: float) -> ConnectionGroup:
        return ConnectionGroup(int(usable * share), budget, on_refusal)

    return ConnectionLimits(
        group(_CALLERS_SHARE), group(_PEERS_SHARE), group(_OTHERS_SHARE)
    )
