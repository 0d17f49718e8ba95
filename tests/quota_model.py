"""A model of instances that share the limits of teams, without network.

Seeded, with a clock of its own: processes are generators that yield a time to
sleep or a flight to wait for. Messages take time and may be lost; what an
instance knows of the others lags behind.
"""

from bisect import bisect_left
from collections.abc import Generator
from datetime import timedelta
from functools import partial
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random

import attrs

from masticstage.clock import ManualClock
from masticstage.forwarding.quotas.balances import Balances, Step
from masticstage.forwarding.quotas.keeper import Keeper
from masticstage.forwarding.quotas.messages import Ask, Grant
from masticstage.forwarding.quotas.ranks import (
    Peer,
    Ranking,
    Tenure,
    count_shards,
    rank_keepers,
    shard_of,
)
from masticstage.forwarding.quotas.shares import QuotaBounds
from masticstage.forwarding.teams import TeamLimit

BOUNDS = QuotaBounds(8, 0.25, 190_000)
REGIONS = 3
_PLACES = 6
#: By whether a request is long: an eighth of its latency target.
_PATIENCE_S = (0.064, 0.153)
_LONG_TOKENS = 9000
_TIMEOUT_S = 0.1
_LOAN_TIMEOUT_S = 0.3
_TICK_S = 0.15
#: Time until an instance that has gone is suspected.
_DETECTION_S = 0.5

_LAST_STEPS = (Step.GO, Step.REFUSE)

#: Time and tokens of a request, and whether it was admitted.
_Sent = tuple[float, float]
_Asked = tuple[float, float, bool]
Process = Generator['float | Flight', None, None]


@attrs.define(eq=False)
class Flight:
    """A message for a team, with the processes that wait for its end."""

    waiters: list[tuple['Instance', Process]] = attrs.field(factory=list)


@attrs.define(eq=False)
class Instance:
    """One instance; `known` are those that it takes for live."""

    number: int
    model: 'QuotaModel'
    known: set[int]
    life: int = 0
    is_up: bool = True
    resumes_s: float = 0
    keeper: Keeper = attrs.field(init=False)
    balances: Balances = attrs.field(init=False)
    ranking: Ranking = attrs.field(init=False)
    waiting: dict[str, list[float]] = attrs.field(factory=dict)
    flights: dict[str, Flight] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Starts the first process."""
        self.start()

    @property
    def region(self) -> int:
        return self.number % REGIONS

    def start(self) -> None:
        """Starts a process that knows nothing."""
        model = self.model
        self.keeper = Keeper(
            model.clock, BOUNDS, model.limits.get, self.tenure_of
        )
        self.balances = Balances(model.clock, BOUNDS, model.limits.get)
        places = min(_PLACES, model.size)
        self.ranking = Ranking(str(self.number), places)
        self.waiting = {}
        self.flights = {}

    def ranks(self, team: str, region: int) -> list[int]:
        """Returns the keepers of a team in a region, as this one knows."""
        if region == self.region:
            return [int(name) for name in self.ranking.order(team)]
        shards = count_shards(len(self.model.members_of(region)))
        names = [
            str(number) for number in self.known if number % REGIONS == region
        ]
        return [
            int(name) for name in rank_keepers(shard_of(team, shards), names)
        ]

    def update_ranking(self) -> None:
        """Learns which instances of the region are live."""
        model = self.model
        peers = {
            str(number): Peer(
                model.instances[number].life, str(model.place_of(number))
            )
            for number in self.known | {self.number}
            if number % REGIONS == self.region
        }
        absent = {
            str(number) for number in model.members_of(self.region)
        } - set(peers)
        self.ranking.update(model.now_s, peers, absent)

    def tenure_of(self, team: str) -> Tenure:
        """Returns the part that this instance believes to have."""
        return self.model.tenure_of(self, team)


@attrs.define(eq=False)
class QuotaModel:
    """Instances in three regions, and the requests of teams."""

    seed: int
    size: int
    limits: dict[str, TeamLimit]
    loss: float = 0.002
    sent: dict[str, list[_Sent]] = attrs.field(factory=dict)
    asked: dict[str, list[_Asked]] = attrs.field(factory=dict)
    lowered: list[tuple[float, TeamLimit]] = attrs.field(factory=list)
    messages: int = 0
    retry_share: float = 0
    clock: ManualClock = attrs.field(factory=ManualClock)
    random: Random = attrs.field(init=False)
    instances: list[Instance] = attrs.field(init=False)
    is_cut: list[bool] = attrs.field(factory=lambda: [False] * REGIONS)
    _events: list = attrs.field(factory=list)
    _order: count = attrs.field(factory=count)

    def __attrs_post_init__(self) -> None:
        """Starts all instances, which know each other."""
        self.random = Random(self.seed)
        everyone = set(range(self.size))
        self.instances = []
        for number in range(self.size):
            self.instances.append(Instance(number, self, set(everyone)))
        for instance in self.instances:
            instance.update_ranking()
            self.spawn(instance, self._tick(instance))

    @property
    def now_s(self) -> float:
        return self.clock.elapsed().total_seconds()

    def tenure_of(self, one: Instance, team: str) -> Tenure:
        """Returns the part of an instance by what it knows."""
        return one.ranking.tenure(team)

    def place_of(self, number: int) -> int:
        """Returns the data centre of an instance."""
        return number % min(_PLACES, self.size)

    def members_of(self, region: int) -> range:
        return range(region, self.size, REGIONS)

    def at(self, time_s: float, action) -> None:
        heappush(self._events, (time_s, next(self._order), action))

    def spawn(self, owner: Instance, process: Process) -> None:
        """Starts a process of an instance; it ends with the instance."""
        self._resume(owner, owner.life, process)

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            time_s, _, action = heappop(self._events)
            step_s = max(0, time_s - self.now_s)
            self.clock.advance(timedelta(seconds=step_s))
            action()

    def offer(self, team, rate, size, start_s, end_s, targets=None) -> None:
        """Sends requests at random moments to random instances."""
        time_s = start_s
        while True:
            time_s += self.random.expovariate(rate)
            if time_s >= end_s:
                return
            number = self.random.choice(targets or range(self.size))
            tokens = size(self.random)
            self.at(time_s, partial(self._arrive, number, team, tokens))

    def kill(self, number: int, restart_s: float | None) -> None:
        instance = self.instances[number]
        instance.life += 1
        instance.is_up = False
        self._spread(number, is_live=False)
        if restart_s is not None:
            self.at(self.now_s + restart_s, lambda: self._restart(instance))

    def pause(self, number: int, length_s: float) -> None:
        # A sum of floats may lie beyond the clock's nearest microsecond.
        resumes = self.clock.elapsed() + timedelta(seconds=length_s)
        resumes_s = resumes.total_seconds()
        self.instances[number].resumes_s = resumes_s
        self._spread(number, is_live=False)
        self.at(resumes_s, lambda: self._spread(number, is_live=True))

    def cut(self, region: int, length_s: float) -> None:
        """Cuts a region off from the others for a time."""
        self._set_cut(region, is_cut=True)
        self.at(
            self.now_s + length_s, lambda: self._set_cut(region, is_cut=False)
        )

    def doubt(self, number: int, length_s: float) -> None:
        """Makes half of the instances take a live one for gone."""
        life = self.instances[number].life
        for other in self.instances:
            if other.number != number and self.random.random() < 0.5:
                self._learn(other, number, life, is_live=False)
                self.at(
                    self.now_s + length_s,
                    partial(self._learn, other, number, life, is_live=True),
                )

    def worst_excess(self, team: str) -> float:
        """Returns the tokens by which some window exceeds the bound.

        A lowered limit binds windows that begin after one window.
        """
        if not self.lowered:
            return self.largest_window(team) - bound_of(self.limits[team])
        lowered_s, earlier = self.lowered[0]
        after = self.largest_window(team, lowered_s + BOUNDS.window_s)
        return max(
            self.largest_window(team) - bound_of(earlier),
            after - bound_of(self.limits[team]),
        )

    def largest_window(self, team: str, from_s: float = 0) -> float:
        """Returns the most tokens that were sent in any window."""
        sent = sorted(
            request
            for request in self.sent.get(team, ())
            if request[0] >= from_s
        )
        times = [time_s for time_s, _ in sent]
        sums = [0, *accumulate(tokens for _, tokens in sent)]
        return max(
            (
                sums[index + 1]
                - sums[bisect_left(times, time_s - BOUNDS.window_s)]
                for index, time_s in enumerate(times)
            ),
            default=0,
        )

    def wrongly_refused(self, team: str, from_s: float = 0) -> list[float]:
        """Returns the refused requests that one exact bucket would admit."""
        limit = self.limits[team]
        level, last_s, refused = limit.burst, 0, []
        for time_s, tokens, is_admitted in sorted(self.asked.get(team, ())):
            level = min(limit.burst, level + limit.rate * (time_s - last_s))
            last_s = time_s
            if level >= tokens:
                level -= tokens
                if not is_admitted and time_s >= from_s:
                    refused.append(time_s)
        return refused

    def _arrive(self, number: int, team: str, tokens: float) -> None:
        up = [one for one in self.instances if one.is_up]
        if not up:
            return
        instance = self.instances[number]
        if not instance.is_up:
            instance = self.random.choice(up)
        self.spawn(instance, self._charge(instance, team, tokens))

    def _charge(self, instance: Instance, team: str, tokens: float) -> Process:
        arrived_s = self.now_s
        deadline_s = arrived_s + _PATIENCE_S[tokens > _LONG_TOKENS]
        waiting = instance.waiting.setdefault(team, [])
        waiting.append(tokens)
        while True:
            patience_s = deadline_s - self.now_s
            decision = instance.balances.decide(team, tokens, patience_s)
            is_late = decision.step is Step.ASK and patience_s <= 0
            if decision.step in _LAST_STEPS or is_late:
                break
            yield (
                decision.wait_s
                if decision.step is Step.WAIT
                else self._join_flight(instance, team)
            )
        waiting.remove(tokens)
        is_admitted = decision.step is Step.GO
        self.asked.setdefault(team, []).append((arrived_s, tokens, is_admitted))
        if is_admitted:
            self.sent.setdefault(team, []).append((self.now_s, tokens))
            if instance.balances.wants_ahead(team):
                self._join_flight(instance, team)
        elif self.random.random() < self.retry_share:
            self.at(
                self.now_s + 0.01,
                partial(self._arrive, instance.number, team, tokens),
            )

    def _join_flight(self, instance: Instance, team: str) -> Flight:
        flight = instance.flights.get(team)
        if flight is None:
            flight = Flight()
            instance.flights[team] = flight
            process = self._exchange(instance, team, flight)
            self.at(self.now_s, lambda: self.spawn(instance, process))
        return flight

    def _exchange(
        self, instance: Instance, team: str, flight: Flight
    ) -> Process:
        waiting = instance.waiting.get(team, [])
        ask = instance.balances.compose(
            team, sum(waiting), min(waiting, default=0)
        )
        asked_s = self.now_s
        grant = yield from self._ask_keepers(instance, ask)
        if grant is None:
            instance.balances.record_unreachable(ask)
        else:
            instance.balances.apply(grant, ask, asked_s)
        instance.flights.pop(team)
        for owner, process in flight.waiters:
            self._resume(owner, owner.life, process)

    def _ask_keepers(
        self, instance: Instance, ask: Ask
    ) -> Generator[float | Flight, None, Grant | None]:
        """Asks the keeper, and then the next instance in the order."""
        for number in instance.ranks(ask.team, instance.region)[:2]:
            other = self.instances[number]
            yield self._latency(instance, other)
            if other.is_up and not self._reaches(instance, other):
                yield _TIMEOUT_S
            if not self._reaches(instance, other):
                continue
            grant = self._serve(instance, other, ask)
            yield self._latency(instance, other)
            if self.random.random() < self.loss:
                yield _TIMEOUT_S
            elif not grant.is_declined:
                return grant
        return None

    def _serve(self, instance: Instance, other: Instance, ask: Ask) -> Grant:
        self.messages += instance is not other
        grant = other.keeper.serve(str(instance.number), [ask])[0]
        for loan in other.keeper.start_loans():
            process = self._borrow(other, loan)
            self.at(self.now_s, partial(self.spawn, other, process))
        return grant

    def _borrow(self, instance: Instance, loan: Ask) -> Process:
        parts = []
        for region in range(REGIONS):
            if region == instance.region:
                continue
            lenders = instance.ranks(loan.team, region)
            lender = self.instances[lenders[0]] if lenders else None
            if lender is None or not self._reaches(instance, lender):
                continue
            self.messages += 1
            parts.append(lender)
        yield 0.056
        lent = sum(
            lender.keeper.lend(
                str(instance.region),
                [attrs.evolve(loan, needed=loan.needed / len(parts))],
            )[0].granted
            for lender in parts
            if self._reaches(instance, lender)
        )
        yield 0.056
        instance.keeper.end_loan(loan, lent)

    def _tick(self, instance: Instance) -> Process:
        yield self.random.random() * _TICK_S
        while instance.is_up:
            instance.update_ranking()
            instance.keeper.observe(
                instance.tenure_of(team) for team in self.limits
            )
            instance.balances.refill_allowances(
                max(len(instance.known), 2 * _PLACES)
            )
            self._check_rivals(instance)
            yield _TICK_S

    def _check_rivals(self, instance: Instance) -> None:
        """Learns that an instance is live that it would replace."""
        for rival in instance.ranking.rivals():
            other = self.instances[int(rival)]
            if self._reaches(instance, other):
                self._learn(instance, other.number, other.life, is_live=True)

    def _reaches(self, sender: Instance, receiver: Instance) -> bool:
        if not receiver.is_up or receiver.resumes_s > self.now_s:
            return False
        is_cut = self.is_cut[sender.region] or self.is_cut[receiver.region]
        return sender.region == receiver.region or not is_cut

    def _latency(self, sender: Instance, receiver: Instance) -> float:
        if sender is receiver:
            return 0
        return self.random.uniform(0.001, 0.004)

    def _resume(self, owner: Instance, life: int, process: Process) -> None:
        if owner.life != life or not owner.is_up:
            return
        if owner.resumes_s > self.now_s:
            self.at(owner.resumes_s, lambda: self._resume(owner, life, process))
            return
        try:
            wait = next(process)
        except StopIteration:
            return
        if isinstance(wait, Flight):
            wait.waiters.append((owner, process))
            return
        self.at(self.now_s + wait, lambda: self._resume(owner, life, process))

    def _restart(self, instance: Instance) -> None:
        instance.is_up = True
        instance.known = set()
        instance.start()
        for other in self.instances:
            if other.is_up and other is not instance:
                self._learn_later(instance, other.number, is_live=True)
        self._spread(instance.number, is_live=True)
        instance.update_ranking()
        self.spawn(instance, self._tick(instance))

    def _spread(self, number: int, *, is_live: bool) -> None:
        for other in self.instances:
            if other.number != number:
                self._learn_later(other, number, is_live=is_live)

    def _set_cut(self, region: int, *, is_cut: bool) -> None:
        self.is_cut[region] = is_cut
        for one in self.instances:
            for other in self.instances:
                if (one.region == region) != (other.region == region):
                    self._learn_later(one, other.number, is_live=not is_cut)

    def _learn_later(self, one: Instance, number: int, *, is_live) -> None:
        life = self.instances[number].life
        delay_s = self.random.uniform(0.1, 1)
        if not is_live:
            delay_s += _DETECTION_S
        self.at(
            self.now_s + delay_s,
            partial(self._learn, one, number, life, is_live=is_live),
        )

    def _learn(
        self, one: Instance, number: int, life: int, *, is_live: bool
    ) -> None:
        if self.instances[number].life != life:
            return
        if is_live and self.instances[number].is_up:
            one.known.add(number)
        else:
            one.known.discard(number)
        one.update_ranking()


def bound_of(limit: TeamLimit) -> float:
    """Returns the most tokens that a team may use in any window."""
    tokens = limit.rate * BOUNDS.window_s + limit.burst
    return tokens * (1 + BOUNDS.overage) + BOUNDS.slack
