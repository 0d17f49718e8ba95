"""State machine: load on an upstream as estimated in two regions."""

from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticstage.clock import ManualClock
from masticstage.forwarding.loads import LoadTable

_SOUTH = ('s-0', 's-1', 's-2')
_NORTH = 'n-0'
_UPSTREAM = 'u-south'
_instances = st.sampled_from(_SOUTH)


class LoadExchange(RuleBasedStateMachine):
    """Instances of the south send to an upstream, the north gets reports."""

    def __init__(self):
        """Starts with idle instances that have reported nothing."""
        super().__init__()
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=100))
        self.tables = {
            name: LoadTable(self.clock) for name in (*_SOUTH, _NORTH)
        }
        self.largest = dict.fromkeys(_SOUTH, 0)

    @rule(name=_instances, tokens=st.integers(0, 5000))
    def begin(self, name, tokens):
        direct = self._state(name).direct
        direct.in_flight += 1
        direct.pending_tokens[1] += tokens
        self.largest[name] = max(self.largest[name], direct.in_flight)

    @rule(name=_instances)
    def end(self, name):
        direct = self._state(name).direct
        if direct.in_flight:
            direct.in_flight -= 1
            direct.pending_tokens[1] = 0

    @rule(name=_instances, is_failure=st.booleans())
    def record_outcome(self, name, is_failure):
        self.tables[name].record_outcome(
            self._state(name),
            is_failure=is_failure,
        )

    @rule(sender=_instances, receiver=_instances)
    def exchange_in_region(self, sender, receiver):
        if sender != receiver:
            self._state(receiver)
            reports = self.tables[sender].own_loads()
            self.tables[receiver].replace_peer_loads(sender, reports)

    @rule(sender=_instances)
    def exchange_with_north(self, sender):
        self._state(_NORTH)
        reports = self.tables[sender].region_loads()
        self.tables[_NORTH].replace_region_loads('south', reports)

    @rule(seconds=st.floats(0.1, 4))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @rule()
    def expire_reports(self):
        """Reports that have expired do not count."""
        self.clock.advance(timedelta(seconds=3.1))
        for name, table in self.tables.items():
            assert table.in_flight(self._state(name)) == self._own(name)

    @rule(early=_instances, late=_instances, receiver=_instances)
    def expire_one_of_two_reports(self, early, late, receiver):
        """The earlier of two reports expires first."""
        if len({early, late, receiver}) < 3:
            return
        self.clock.advance(timedelta(seconds=3.1))
        self.exchange_in_region(early, receiver)
        self.clock.advance(timedelta(seconds=2))
        self.exchange_in_region(late, receiver)
        table, state = self.tables[receiver], self._state(receiver)
        assert table.in_flight(state) == sum(map(self._own, _SOUTH))
        self.clock.advance(timedelta(seconds=2))
        unexpired = self._own(late) + self._own(receiver)
        assert table.in_flight(state) == unexpired

    @rule(sender=_instances)
    def exchange_all(self, sender):
        """After a full round, the north knows the exact load."""
        for other in _SOUTH:
            self.exchange_in_region(other, sender)
        self.exchange_with_north(sender)

        north, table = self._state(_NORTH), self.tables[_NORTH]
        assert table.in_flight(north) == sum(map(self._own, _SOUTH))
        tokens = sum(
            self._state(name).direct.pending_tokens[1] for name in _SOUTH
        )
        assert table.tokens_ahead(north, 1) == tokens

    @invariant()
    def no_estimate_exceeds_the_largest_load(self):
        for name, table in self.tables.items():
            estimated = table.in_flight(self._state(name))
            assert 0 <= estimated <= sum(self.largest.values())

    @invariant()
    def own_requests_are_always_counted(self):
        for name in _SOUTH:
            table = self.tables[name]
            assert table.in_flight(self._state(name)) >= self._own(name)

    @invariant()
    def failure_rates_are_fractions(self):
        for name, table in self.tables.items():
            assert 0 <= table.outcomes(self._state(name)).failure_rate < 1

    def _state(self, name):
        return self.tables[name].state(_UPSTREAM, 1, 1000)

    def _own(self, name):
        return self._state(name).direct.in_flight


LoadExchange.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
TestLoadExchange = LoadExchange.TestCase
