"""The routing policy and its baselines under load, with a stepped clock.

Engines, links and lagging reports are reduced to their waiting times; the
chosen policy is the product's own code.  Times are in seconds.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator
from datetime import timedelta
from functools import partial
from math import pi, sin
from random import Random
from typing import Final

import attrs

from bench.deployments import Deployment
from masticstage.clock import ManualClock

BYTES_PER_MEGABIT: Final = 125_000
PERIOD_S: Final = 120.0
SLOTS: Final = 8
TOKEN_S: Final = 0.02
PREFILL_S_PER_BYTE: Final = 0.00001
REPORT_S: Final = 0.5
_CACHE_PREFIXES: Final = 6
_HISTORIES: Final = 24
_SWING: Final = 0.6
_LONG_SHARE: Final = 0.4
_HOME_SHARE: Final = 0.14
_LONG_TOKENS: Final = 100
_SHORT_TOKENS: Final = 40
_LONG_TIMEOUT_S: Final = 60
_SHORT_TIMEOUT_S: Final = 20
_SHORT_BYTES: Final = 500


_Event = tuple[float, int, Callable[[], object]]


@attrs.frozen
class Arrival:
    """One model request."""

    at_s: float
    place: int
    prefix: int
    prefix_bytes: int
    body_bytes: int
    tokens: int
    is_bound: bool
    timeout_s: float

    @property
    def is_long(self) -> bool:
        """Whether it is a plan or ruling, not a quick question."""
        return self.prefix != 0


@attrs.define(order=True)
class Waiting:
    """A request in an engine's queue."""

    rank: float
    number: int
    arrival: Arrival = attrs.field(order=False)
    note_end: Callable[[float], None] | None = attrs.field(order=False)


@attrs.define(eq=False)
class Engine:
    """One replica: slots, a priority queue and a cache of prefixes."""

    name: str
    place: int
    running: int = 0
    is_up: bool = True
    queue: list[Waiting] = attrs.field(factory=list)
    cache: OrderedDict[int, None] = attrs.field(factory=OrderedDict)

    @property
    def backlog(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.queue)

    def use_prefix(self, prefix: int) -> bool:
        """Caches a prefix; True when it was cached already."""
        is_hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > _CACHE_PREFIXES:
            self.cache.popitem(last=False)
        return is_hit


@attrs.define(eq=False)
class Link:
    """One direction between two places; bytes wait for each other."""

    latency_s: float
    bytes_per_s: float
    free_at_s: float = 0
    sent_bytes: int = 0

    def send(self, now_s: float, size: int) -> float:
        """Returns when a message of a size arrives."""
        start_s = max(now_s, self.free_at_s)
        self.free_at_s = start_s + size / self.bytes_per_s
        self.sent_bytes += size
        return self.free_at_s + self.latency_s


@attrs.frozen
class Served:
    """What became of one request; `first_s` is None when it was shed."""

    arrival: Arrival
    place: int
    first_s: float | None
    end_s: float
    is_cached: bool


@attrs.define(eq=False)
class World:
    """State of a trial: engines, links, time and pending events."""

    deployment: Deployment
    clock: ManualClock
    engines: list[Engine]
    links: dict[tuple[int, int], Link]
    now_s: float = 0
    events: list[_Event] = attrs.field(factory=list)
    served: list[Served] = attrs.field(factory=list)
    are_reports_frozen: bool = False
    cut_place: int | None = None
    _number: int = 0

    def at(self, when_s: float, event: Callable[[], object]) -> None:
        """Plans an event."""
        self._number += 1
        heapq.heappush(self.events, (when_s, self._number, event))

    def run(self) -> None:
        """Runs all events in the order of their times."""
        while self.events:
            when_s, _, event = heapq.heappop(self.events)
            self.clock.advance(timedelta(seconds=when_s - self.now_s))
            self.now_s = when_s
            event()

    def local(self, place: int) -> list[Engine]:
        """Returns the engines of a place that are up."""
        return [
            engine
            for engine in self.engines
            if engine.place == place and engine.is_up
        ]

    def is_reachable(self, origin: int, place: int) -> bool:
        """Tells whether two places are connected."""
        return origin == place or self.cut_place not in {origin, place}

    def submit(
        self,
        engine: Engine,
        arrival: Arrival,
        rank: float,
        note_end: Callable[[float], None] | None = None,
    ) -> None:
        """Puts a request into an engine's queue; lower ranks go first.

        `note_end` is told the time from the first token to the last.
        """
        self._number += 1
        waiting = Waiting(rank, self._number, arrival, note_end)
        heapq.heappush(engine.queue, waiting)
        self.start_next(engine)

    def shed(self, arrival: Arrival) -> None:
        """Refuses a request."""
        self.served.append(
            Served(arrival, arrival.place, None, self.now_s, is_cached=False),
        )

    def start_next(self, engine: Engine) -> None:
        """Starts queued requests while there are free slots."""
        while engine.queue and engine.running < SLOTS and engine.is_up:
            waiting = heapq.heappop(engine.queue)
            arrival = waiting.arrival
            engine.running += 1
            is_cached = arrival.is_long and engine.use_prefix(arrival.prefix)
            size = arrival.body_bytes
            if is_cached:
                size -= arrival.prefix_bytes
            first_s = self.now_s + size * PREFILL_S_PER_BYTE + TOKEN_S
            if engine.place != arrival.place:
                first_s += self.deployment.link_s
            end_s = first_s + arrival.tokens * TOKEN_S
            served = Served(
                arrival,
                engine.place,
                first_s,
                end_s,
                is_cached=is_cached,
            )
            self.at(end_s, partial(self._finish, engine, served, waiting))

    def _finish(self, engine: Engine, served: Served, done: Waiting) -> None:
        engine.running -= 1
        self.served.append(served)
        if done.note_end is not None and served.first_s is not None:
            done.note_end(served.end_s - served.first_s)
        self.start_next(engine)


def build_world(deployment: Deployment) -> World:
    """Returns the engines and links of a deployment, idle."""
    count = len(deployment.sites)
    engines = [
        Engine(f'{place.data_centre}-engine-{number}', index)
        for index, place in enumerate(deployment.sites)
        for number in range(place.engines)
    ]
    bytes_per_s = deployment.link_mbps * BYTES_PER_MEGABIT
    links = {
        (here, there): Link(deployment.link_s, bytes_per_s)
        for here in range(count)
        for there in range(count)
        if here != there
    }
    return World(deployment, ManualClock(), engines, links)


def mean_service_s(deployment: Deployment) -> float:
    """Returns the mean time in a slot, with half of the prefixes cached."""
    prefill_s = deployment.shared_bytes * PREFILL_S_PER_BYTE
    long_s = prefill_s / 2 + _LONG_TOKENS * TOKEN_S
    short_s = _SHORT_TOKENS * TOKEN_S
    return _LONG_SHARE * long_s + (1 - _LONG_SHARE) * short_s


def generate_arrivals(
    deployment: Deployment,
    load: float,
    duration_s: float,
    random: Random,
) -> Iterator[Arrival]:
    """Yields requests whose daily peaks are offset between the places."""
    count = len(deployment.sites)
    engines = sum(place.engines for place in deployment.sites)
    rate = load * engines * SLOTS / mean_service_s(deployment)
    at_s = random.expovariate(rate * (1 + _SWING))
    while at_s < duration_s:
        place = random.randrange(count)
        phase = 2 * pi * (at_s / PERIOD_S + place / count)
        if random.random() < (1 + _SWING * sin(phase)) / (1 + _SWING):
            yield _draw_arrival(deployment, at_s, place, random)
        at_s += random.expovariate(rate * (1 + _SWING))


def _draw_arrival(
    deployment: Deployment,
    at_s: float,
    place: int,
    random: Random,
) -> Arrival:
    is_bound = random.random() < _HOME_SHARE
    if random.random() >= _LONG_SHARE:
        return Arrival(
            at_s,
            place,
            0,
            0,
            _SHORT_BYTES,
            _SHORT_TOKENS,
            is_bound,
            _SHORT_TIMEOUT_S,
        )
    shared = deployment.shared_bytes
    history = 1 + place * _HISTORIES + random.randrange(_HISTORIES)
    return Arrival(
        at_s,
        place,
        history,
        shared,
        shared + _SHORT_BYTES,
        _LONG_TOKENS,
        is_bound,
        _LONG_TIMEOUT_S,
    )
