"""State machine: what instances of two regions believe about an upstream."""

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
    """Instances of the south work at an upstream, the north looks on."""

    def __init__(self):
        """Starts with idle instances that have told nothing."""
        super().__init__()
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=100))
        self.tables = {
            name: LoadTable(self.clock) for name in (*_SOUTH, _NORTH)
        }
        self.most = dict.fromkeys(_SOUTH, 0)

    @rule(name=_instances, tokens=st.integers(0, 5000))
    def begin(self, name, tokens):
        direct = self._state(name).direct
        direct.in_flight += 1
        direct.pending_tokens[1] += tokens
        self.most[name] = max(self.most[name], direct.in_flight)

    @rule(name=_instances)
    def end(self, name):
        direct = self._state(name).direct
        if direct.in_flight:
            direct.in_flight -= 1
            direct.pending_tokens[1] = 0

    @rule(name=_instances, is_failure=st.booleans())
    def see_outcome(self, name, is_failure):
        self.tables[name].record_outcome(
            self._state(name), is_failure=is_failure
        )

    @rule(teller=_instances, hearer=_instances)
    def exchange_near(self, teller, hearer):
        if teller != hearer:
            self._state(hearer)
            told = self.tables[teller].own_loads()
            self.tables[hearer].replace_peer_loads(teller, told)

    @rule(teller=_instances)
    def exchange_far(self, teller):
        self._state(_NORTH)
        told = self.tables[teller].region_loads()
        self.tables[_NORTH].replace_region_loads('south', told)

    @rule(seconds=st.floats(0.1, 4))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @rule()
    def hear_nothing(self):
        """What others told long ago counts no more."""
        self.clock.advance(timedelta(seconds=3.1))
        for name, table in self.tables.items():
            assert table.in_flight(self._state(name)) == self._own(name)

    @rule(early=_instances, late=_instances, hearer=_instances)
    def hear_from_one_of_two(self, early, late, hearer):
        """Of two that told, only the later one's word still holds."""
        if len({early, late, hearer}) < 3:
            return
        self.clock.advance(timedelta(seconds=3.1))
        self.exchange_near(early, hearer)
        self.clock.advance(timedelta(seconds=2))
        self.exchange_near(late, hearer)
        table, state = self.tables[hearer], self._state(hearer)
        assert table.in_flight(state) == sum(map(self._own, _SOUTH))
        self.clock.advance(timedelta(seconds=2))
        fresh = self._own(late) + self._own(hearer)
        assert table.in_flight(state) == fresh

    @rule(teller=_instances)
    def settle(self, teller):
        """After a full round the north knows exactly what there is."""
        for other in _SOUTH:
            self.exchange_near(other, teller)
        self.exchange_far(teller)

        north, table = self._state(_NORTH), self.tables[_NORTH]
        assert table.in_flight(north) == sum(map(self._own, _SOUTH))
        tokens = sum(
            self._state(name).direct.pending_tokens[1] for name in _SOUTH
        )
        assert table.tokens_ahead(north, 1) == tokens

    @invariant()
    def nobody_believes_more_than_there_ever_was(self):
        for name, table in self.tables.items():
            believed = table.in_flight(self._state(name))
            assert 0 <= believed <= sum(self.most.values())

    @invariant()
    def own_work_is_always_counted(self):
        for name in _SOUTH:
            table = self.tables[name]
            assert table.in_flight(self._state(name)) >= self._own(name)

    @invariant()
    def shares_of_failures_are_shares(self):
        for name, table in self.tables.items():
            assert 0 <= table.outcomes(self._state(name)).rate < 1

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
