"""One budget for the bytes that all connections of an instance hold.

It covers unfinished requests, requests that are being handled, and answers that
wait for their callers.  When it is exhausted, unfinished requests are refused
and waiting answers cut off, those first that have stopped, then the largest and
slowest.
"""

import enum
from typing import Final, final

import attrs
import trio

from masticstage.edges.callbacks import Callback, do_nothing

#: Time without enough new bytes after which a request counts as stopped.
_STOPPED_S: Final = 0.5
#: Bytes within that time that count as progress.
_PROGRESS_BYTES: Final = 4096
#: Time without a part taken after which an answer counts as stopped.
_UNTAKEN_S: Final = 2.0
_MB: Final = 1_000_000
#: Share of an instance's memory that the budget has; the rest is for the
#: program, its state and its connections.
_SHARE: Final = 0.2
#: Part of the budget that the reads of all connections may take together, and
#: the bounds of one read.
_READS_PART: Final = 8
_LARGEST_READ: Final = 65536
_SMALLEST_READ: Final = 4096


@enum.unique
class Phase(enum.Enum):
    """What a connection is doing: between requests, or with one."""

    IDLE = 'idle'
    READING = 'reading'
    HANDLING = 'handling'
    ANSWERING = 'answering'


@final
@attrs.define(eq=False)
class Holding:
    """What one connection holds, and how far its request has come.

    `evict` is called when the connection must give up what it holds; it must
    free it at once.  `is_evicted` is set before.
    """

    _budget: 'MemoryBudget'
    _evict: Callback = do_nothing
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    is_evicted: bool = False
    _since_s: float = attrs.field(factory=trio.current_time)
    _progress_s: float = attrs.field(factory=trio.current_time)
    _progress_bytes: int = 0

    @property
    def read_bytes(self) -> int:
        """Largest number of bytes that the connection may read at once."""
        return self._budget.read_bytes

    @property
    def has_room(self) -> bool:
        """Whether what all connections hold stays within the budget."""
        return self._budget.has_room

    def on_eviction(self, evict: Callback) -> None:
        """Sets what frees the bytes of this connection."""
        self._evict = evict

    def enter(self, phase: Phase) -> None:
        """Records the start of a phase."""
        self.phase = phase
        self._since_s = trio.current_time()
        self._progress_s = self._since_s
        self._progress_bytes = 0

    def hold(self, size: int) -> None:
        """Records how many bytes are held now; others may be evicted."""
        if size - self._progress_bytes >= _PROGRESS_BYTES:
            self._progress_bytes = size
            self._progress_s = trio.current_time()
        self._progress_bytes = min(self._progress_bytes, size)
        self._budget.change(size - self.held_bytes)
        self.held_bytes = size
        self._budget.make_room()

    def record_progress(self) -> None:
        """Records that the caller has taken a part of its answer."""
        self._progress_s = trio.current_time()

    def take(self, size: int) -> bool:
        """Holds the bytes of a request that is handled from now on.

        Returns False if they do not fit, although others were evicted.
        """
        self.enter(Phase.HANDLING)
        self.hold(size)
        return self._budget.has_room

    def evict(self) -> None:
        """Makes the connection give up its request and what it holds."""
        self.is_evicted = True
        self._budget.change(-self.held_bytes)
        self.held_bytes = 0
        self._evict()

    def close(self) -> None:
        """Forgets the connection."""
        self._budget.forget(self)

    def age_s(self, now_s: float) -> float:
        """Returns for how long the phase has lasted."""
        return now_s - self._since_s

    def has_stopped(self, now_s: float) -> bool:
        """Returns whether the caller sends or takes too little."""
        longest_s = _UNTAKEN_S if self.phase is Phase.ANSWERING else _STOPPED_S
        return now_s - self._progress_s > longest_s

    def cost(self, now_s: float) -> tuple[bool, float]:
        """Returns a key that is greatest for the first to be evicted."""
        return self.has_stopped(now_s), self.held_bytes * self.age_s(now_s)


@final
@attrs.define(eq=False)
class MemoryBudget:
    """The bytes that connections may hold together."""

    max_bytes: int
    on_eviction: Callback = do_nothing
    total_bytes: int = 0
    _holdings: set[Holding] = attrs.field(factory=set)

    @property
    def has_room(self) -> bool:
        """Whether what is held stays within the budget."""
        return self.total_bytes <= self.max_bytes

    @property
    def read_bytes(self) -> int:
        """Largest read of a connection, smaller the more are open."""
        count = max(1, len(self._holdings))
        share = self.max_bytes // _READS_PART // count
        return max(_SMALLEST_READ, min(_LARGEST_READ, share))

    def open(self) -> Holding:
        """Returns the holding of a new connection."""
        holding = Holding(self)
        self._holdings.add(holding)
        return holding

    def forget(self, holding: Holding) -> None:
        """Removes a connection that has ended."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.total_bytes -= holding.held_bytes
            holding.held_bytes = 0

    def change(self, difference: int) -> None:
        """Records that more or fewer bytes are held."""
        self.total_bytes += difference

    def make_room(self) -> None:
        """Evicts until the rest fits, or none is left that can be evicted."""
        while not self.has_room:
            now_s = trio.current_time()
            evictable = [
                holding
                for holding in self._holdings
                if holding.held_bytes
                and holding.phase in {Phase.READING, Phase.ANSWERING}
            ]
            if not evictable:
                return
            self.on_eviction()
            _most_costly(evictable, now_s).evict()


def _most_costly(holdings: list[Holding], now_s: float) -> Holding:
    return max(holdings, key=lambda holding: holding.cost(now_s))


def budget_bytes(memory_mb: float) -> int:
    """Returns the size of the budget of an instance with this memory."""
    return int(memory_mb * _MB * _SHARE)
