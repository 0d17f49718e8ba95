"""A model of servers with slots and of instances that send requests to them.

Instances learn each other's loads once a second. The server under test starts
or recovers at a time of its own; the others have run before.
"""

import heapq
from collections.abc import Callable
from random import Random
from statistics import fmean

import attrs

from masticstage.clock import milliseconds
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.loads import ReportedLoad
from masticstage.forwarding.routes import ServiceConfig
from tests.forwarding_builders import (
    build_member,
    build_record,
    build_request,
    build_route,
    build_simulated_instance,
    build_table,
)

TARGET_S = 0.61
TESTED = 'tested'
_GOSSIP_S = 1.0
_START_S = 100.0


def usual_work(_seconds):
    """Returns that work takes as long as usual at each time."""
    return 1


@attrs.define
class Server:
    """A server that runs requests in the order of their arrival."""

    slots: int = 6
    service_s: float = 0.15
    work: Callable[[float], float] = usual_work
    is_up: Callable[[float], bool] = lambda _: True
    reports_work: bool = False
    free_at_s: list[float] = attrs.field(factory=list)
    open_requests: int = 0
    dispatched: list[float] = attrs.field(factory=list)
    times: list[tuple[float, float]] = attrs.field(factory=list)

    def run(self, now_s, random):
        """Returns when a request that arrives now has been answered."""
        self.dispatched.append(now_s)
        if len(self.free_at_s) < self.slots:
            begins_s = now_s
        else:
            begins_s = max(now_s, heapq.heappop(self.free_at_s))
        took_s = self.service_s * random.uniform(0.8, 1.2)
        ends_s = begins_s + took_s * self.work(begins_s)
        heapq.heappush(self.free_at_s, ends_s)
        self.times.append((now_s, ends_s - now_s))
        self.open_requests += 1
        return ends_s

    def load(self, now_s):
        """Returns what an answer reports."""
        work = self.work(now_s) if self.reports_work else None
        running = min(self.open_requests, self.slots)
        return ReportedLoad(
            running, self.open_requests - running, self.slots, work
        )


@attrs.define(slots=False)
class Deployment:
    """Instances of one region and its servers.

    Without `is_paced` it behaves as before paces were introduced.
    """

    server: Server
    others: int = 5
    instances: int = 8
    rate: float = 168.0
    is_paced: bool = True
    cold_s: float = 0
    cold_rate: float = 0
    seed: int = 1

    def __attrs_post_init__(self):
        """Starts the instances and the servers that have run before."""
        self.random = Random(self.seed)
        self.now_s: float = 0
        self.events = []
        self.sent = 0
        self.failed = 0
        self.servers = {
            f's-{number}': Server() for number in range(self.others)
        }
        names = [f'i-{number}' for number in range(self.instances)]
        self.fleet = [
            build_simulated_instance(
                *(build_member(peer) for peer in names if peer != name),
                name=name,
            )
            for name in names
        ]
        table = build_table()
        shop = ServiceConfig('shop', '/health', 100, self.cold_rate)
        for instance in self.fleet:
            instance.view.apply(
                'c', attrs.evolve(table, services={'shop': shop})
            )
        for server in self.servers:
            self.add_server(server)

    def add_server(self, name, **changes):
        """Adds a server to the view of each instance."""
        for instance in self.fleet:
            instance.add_upstream(
                build_record(name, address=f'{name}:80', **changes)
            )

    def run(self, warm_up_s=6.0, seconds=12.0):
        """Starts the server under test after the others have warmed up."""
        self._schedule(0, self._arrive)
        for number in range(self.instances):
            phase_s = _GOSSIP_S * number / self.instances
            self._schedule(phase_s, self._gossip, number)
        self._schedule(warm_up_s, self._start)
        self._run_until(warm_up_s + seconds)
        self.started_at_s = warm_up_s
        return self

    def times(self, from_s=0, to_s=12):
        """Returns the times of requests to the tested server in a period."""
        return [
            took_s
            for at_s, took_s in self.server.times
            if from_s <= at_s - self.started_at_s < to_s
        ]

    def late_share(self, from_s=0, to_s=12):
        """Returns the share of late answers of the tested server."""
        times = self.times(from_s, to_s)
        return sum(took_s > TARGET_S for took_s in times) / max(1, len(times))

    def rate_within(self, from_s, to_s):
        """Returns the requests a second that it answered in a period."""
        ends = (at_s + took_s for at_s, took_s in self.server.times)
        answered = [
            ends_s
            for ends_s in ends
            if from_s <= ends_s - self.started_at_s < to_s
        ]
        return len(answered) / (to_s - from_s)

    def _start(self):
        self.servers[TESTED] = self.server
        now_ms = (_START_S + self.now_s) * 1000
        self.add_server(
            TESTED,
            started_at_ms=int(now_ms),
            cold_for=milliseconds(1000 * self.cold_s),
        )
        for instance in self.fleet:
            instance.view.find(TESTED).awaits_pace = self.is_paced

    def _schedule(self, after_s, action, *args):
        entry = (self.now_s + after_s, self.random.random(), action, args)
        heapq.heappush(self.events, entry)

    def _run_until(self, end_s):
        while self.events[0][0] < end_s:
            at_s, _, action, args = heapq.heappop(self.events)
            for instance in self.fleet:
                instance.advance(at_s - self.now_s)
            self.now_s = at_s
            action(*args)

    def _gossip(self, number):
        loads = self.fleet[number].loads.own_loads()
        for other, instance in enumerate(self.fleet):
            if other != number:
                instance.loads.replace_peer_loads(f'i-{number}', loads)
        self._schedule(_GOSSIP_S, self._gossip, number)

    def _arrive(self):
        self._schedule(self.random.expovariate(self.rate), self._arrive)
        self._send(self.random.choice(self.fleet), ())

    def _send(self, instance, tried):
        route = build_route(target=milliseconds(TARGET_S * 1000))
        choice = instance.chooser.choose(build_request(), route, 'shop', tried)
        self.sent += not tried
        if choice is None:
            self.failed += 1
            return
        server = self.servers[choice.upstream]
        state = choice.candidate.state
        if not server.is_up(self.now_s):
            instance.loads.record_outcome(state, is_failure=True)
            instance.chooser.pacer.record_outcome(
                choice, route, Evidence.NOT_SENT, 0
            )
            if state.health.suspect(self.now_s):
                self._schedule(0.25, self._check, instance, choice)
            self._send(instance, (*tried, choice.upstream))
            return
        if instance.chooser.is_cold(choice.candidate.known_upstream):
            instance.chooser.record_cold_dispatch(choice)
        state.direct.in_flight += 1
        ends_s = server.run(self.now_s, self.random)
        args = (instance, choice, route, self.now_s)
        self._schedule(ends_s - self.now_s, self._answer, *args)

    def _check(self, instance, choice):
        if not self.servers[choice.upstream].is_up(self.now_s):
            self._schedule(0.25, self._check, instance, choice)
            return
        choice.candidate.state.health.clear_suspicion()
        if self.is_paced:
            choice.candidate.known_upstream.mark_recovered()

    def _answer(self, instance, choice, route, sent_at_s):
        state, loads = choice.candidate.state, instance.loads
        took_s = self.now_s - sent_at_s
        server = self.servers[choice.upstream]
        loads.record_report(state, server.load(self.now_s))
        server.open_requests -= 1
        state.direct.in_flight -= 1
        loads.record_outcome(state, is_failure=False)
        instance.chooser.pacer.record_outcome(
            choice, route, Evidence.ANSWERED, took_s
        )
        slowdown = state.slowdown.expected(
            instance.clock.elapsed().total_seconds()
        )
        took_s = choice.at_usual_speed(took_s, slowdown)
        loads.record_latency_ratio(
            state, state.latency_ratio * took_s / choice.usual_s
        )
        instance.chooser.record_call(choice, took_s)


@attrs.frozen
class PlayResult:
    """Means over some seeds.

    `late` is the share of late answers in the first 3 s, `rate` the requests a
    second answered from 3 s to 5 s, `steady_rate` those after that.
    """

    late: float
    rate: float
    steady_rate: float
    failed: int


def play(build_server, *, is_paced, seeds=(1, 2, 3), **changes):
    """Returns the mean result of a server under test."""
    plays = [
        Deployment(
            build_server(), is_paced=is_paced, seed=seed, **changes
        ).run()
        for seed in seeds
    ]
    return PlayResult(
        fmean(played.late_share(0, 3) for played in plays),
        fmean(played.rate_within(3, 5) for played in plays),
        fmean(played.rate_within(5, 12) for played in plays),
        sum(played.failed for played in plays),
    )
