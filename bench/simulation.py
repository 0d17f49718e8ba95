"""A discrete-event simulation of requests, engines and links between sites.

Engines and links are modelled only by the delays that they cause, load reports
only by their interval.  Times are in seconds.
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
#: Length of a simulated day, after which the load pattern repeats.
DAY_S: Final = 120.0
SLOTS: Final = 8
TOKEN_S: Final = 0.02
PREFILL_S_PER_BYTE: Final = 0.00001
REPORT_INTERVAL_S: Final = 0.5
_MAX_CACHED_PREFIXES: Final = 6
_CONVERSATIONS_PER_SITE: Final = 24
#: Deviation of the daily peak from the mean load, relative to the mean.
_LOAD_SWING: Final = 0.6
_LONG_SHARE: Final = 0.4
#: Share of the requests that must stay at the site of their arrival.
_BOUND_SHARE: Final = 0.14
_LONG_TOKENS: Final = 100
_SHORT_TOKENS: Final = 40
_LONG_TIMEOUT_S: Final = 60
_SHORT_TIMEOUT_S: Final = 20
_SHORT_BYTES: Final = 500

_Event = tuple[float, int, Callable[[], object]]


@attrs.frozen
class Arrival:
    """One model request; `prefix` is 0 when it shares no prompt prefix."""

    at_s: float
    site: int
    prefix: int
    prefix_bytes: int
    body_bytes: int
    tokens: int
    is_bound: bool
    timeout_s: float

    @property
    def is_long(self) -> bool:
        """Whether it is a plan or ruling with a long answer."""
        return self.prefix != 0


@attrs.define(order=True)
class QueuedRequest:
    """A request in an engine's queue; `number` orders equal ranks."""

    rank: float
    number: int
    arrival: Arrival = attrs.field(order=False)
    on_end: Callable[[float], None] | None = attrs.field(order=False)


@attrs.define(eq=False)
class Engine:
    """One model replica: slots, a priority queue and a cache of prefixes."""

    name: str
    site: int
    running: int = 0
    is_up: bool = True
    queue: list[QueuedRequest] = attrs.field(factory=list)
    cache: OrderedDict[int, None] = attrs.field(factory=OrderedDict)

    @property
    def backlog(self) -> int:
        """Number of running and queued requests."""
        return self.running + len(self.queue)

    def cache_prefix(self, prefix: int) -> bool:
        """Caches a prefix; returns whether it was cached already."""
        is_hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > _MAX_CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return is_hit


@attrs.define(eq=False)
class Link:
    """One direction of a link between two sites; sends messages in order."""

    latency_s: float
    bytes_per_s: float
    free_at_s: float = 0
    sent_bytes: int = 0

    def send(self, now_s: float, size: int) -> float:
        """Queues a message of `size` bytes; returns when it arrives."""
        start_s = max(now_s, self.free_at_s)
        self.free_at_s = start_s + size / self.bytes_per_s
        self.sent_bytes += size
        return self.free_at_s + self.latency_s


@attrs.frozen
class RequestRecord:
    """The result of one request; `first_s` is None when it was shed.

    `first_s` and `end_s` are the times of the first and the last token.
    """

    arrival: Arrival
    site: int
    first_s: float | None
    end_s: float
    is_cached: bool


@attrs.define(eq=False)
class Simulation:
    """State of a simulation: engines, links, time and pending events.

    `isolated_site` has no connection to the others.
    """

    deployment: Deployment
    clock: ManualClock
    engines: list[Engine]
    links: dict[tuple[int, int], Link]
    now_s: float = 0
    events: list[_Event] = attrs.field(factory=list)
    records: list[RequestRecord] = attrs.field(factory=list)
    are_reports_frozen: bool = False
    isolated_site: int | None = None
    _number: int = 0

    def schedule(self, when_s: float, event: Callable[[], object]) -> None:
        """Schedules an event."""
        self._number += 1
        heapq.heappush(self.events, (when_s, self._number, event))

    def run(self) -> None:
        """Runs all events in order of time."""
        while self.events:
            when_s, _, event = heapq.heappop(self.events)
            self.clock.advance(timedelta(seconds=when_s - self.now_s))
            self.now_s = when_s
            event()

    def available_engines(self, site: int) -> list[Engine]:
        """Returns the engines of a site that are up."""
        return [
            engine
            for engine in self.engines
            if engine.site == site and engine.is_up
        ]

    def is_reachable(self, source: int, target: int) -> bool:
        """Returns whether two sites are connected."""
        return source == target or self.isolated_site not in {source, target}

    def submit(
        self,
        engine: Engine,
        arrival: Arrival,
        rank: float,
        on_end: Callable[[float], None] | None = None,
    ) -> None:
        """Puts a request into an engine's queue; lower ranks go first.

        `on_end` is called with the time from the first token to the last.
        """
        self._number += 1
        queued = QueuedRequest(rank, self._number, arrival, on_end)
        heapq.heappush(engine.queue, queued)
        self.start_next(engine)

    def shed(self, arrival: Arrival) -> None:
        """Records that a request was refused."""
        self.records.append(
            RequestRecord(
                arrival, arrival.site, None, self.now_s, is_cached=False
            ),
        )

    def start_next(self, engine: Engine) -> None:
        """Starts queued requests while there are free slots."""
        while engine.queue and engine.running < SLOTS and engine.is_up:
            queued = heapq.heappop(engine.queue)
            arrival = queued.arrival
            engine.running += 1
            is_cached = arrival.is_long and engine.cache_prefix(arrival.prefix)
            prefill_bytes = arrival.body_bytes
            if is_cached:
                prefill_bytes -= arrival.prefix_bytes
            first_s = self.now_s + prefill_bytes * PREFILL_S_PER_BYTE + TOKEN_S
            if engine.site != arrival.site:
                first_s += self.deployment.link_s
            end_s = first_s + arrival.tokens * TOKEN_S
            record = RequestRecord(
                arrival,
                engine.site,
                first_s,
                end_s,
                is_cached=is_cached,
            )
            self.schedule(
                end_s, partial(self._finish_request, engine, record, queued)
            )

    def _finish_request(
        self, engine: Engine, record: RequestRecord, finished: QueuedRequest
    ) -> None:
        engine.running -= 1
        self.records.append(record)
        if finished.on_end is not None and record.first_s is not None:
            finished.on_end(record.end_s - record.first_s)
        self.start_next(engine)


def build_simulation(deployment: Deployment) -> Simulation:
    """Returns a simulation of a deployment with idle engines and links."""
    count = len(deployment.sites)
    engines = [
        Engine(f'{site.data_centre}-engine-{number}', index)
        for index, site in enumerate(deployment.sites)
        for number in range(site.engines)
    ]
    bytes_per_s = deployment.link_mbps * BYTES_PER_MEGABIT
    links = {
        (source, target): Link(deployment.link_s, bytes_per_s)
        for source in range(count)
        for target in range(count)
        if source != target
    }
    return Simulation(deployment, ManualClock(), engines, links)


def mean_service_s(deployment: Deployment) -> float:
    """Returns the mean time in a slot if half of the prefixes are cached."""
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
    """Yields arrivals; the load peaks of the sites are spread over the day.

    `load` is the mean load, relative to the capacity of all engines.
    """
    count = len(deployment.sites)
    engines = sum(site.engines for site in deployment.sites)
    rate = load * engines * SLOTS / mean_service_s(deployment)
    at_s = random.expovariate(rate * (1 + _LOAD_SWING))
    while at_s < duration_s:
        site = random.randrange(count)
        phase = 2 * pi * (at_s / DAY_S + site / count)
        if random.random() < (1 + _LOAD_SWING * sin(phase)) / (1 + _LOAD_SWING):
            yield _draw_arrival(deployment, at_s, site, random)
        at_s += random.expovariate(rate * (1 + _LOAD_SWING))


def _draw_arrival(
    deployment: Deployment,
    at_s: float,
    site: int,
    random: Random,
) -> Arrival:
    is_bound = random.random() < _BOUND_SHARE
    if random.random() >= _LONG_SHARE:
        return Arrival(
            at_s,
            site,
            0,
            0,
            _SHORT_BYTES,
            _SHORT_TOKENS,
            is_bound,
            _SHORT_TIMEOUT_S,
        )
    shared_bytes = deployment.shared_bytes
    conversation = (
        1
        + site * _CONVERSATIONS_PER_SITE
        + random.randrange(_CONVERSATIONS_PER_SITE)
    )
    return Arrival(
        at_s,
        site,
        conversation,
        shared_bytes,
        shared_bytes + _SHORT_BYTES,
        _LONG_TOKENS,
        is_bound,
        _LONG_TIMEOUT_S,
    )
