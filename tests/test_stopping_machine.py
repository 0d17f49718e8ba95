"""State machine: instances leave, crash, come back and tell each other."""

from datetime import timedelta

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticstage.clock import ManualClock
from masticstage.forwarding.entries import CallerLocation, nearest_entries
from masticstage.membership import Liveness, MemberId, MemberTable
from tests.routed import SECOND, build_member

_NAMES = ('n-1', 'n-2', 'n-3')
_names = st.sampled_from(_NAMES)
_CALLER = CallerLocation('north-a', 'north')


class Stopping(RuleBasedStateMachine):
    """Each instance has a table; records travel in any order."""

    def __init__(self):
        """Starts with instances that know only themselves."""
        super().__init__()
        self.clock = ManualClock()
        self.lives = dict.fromkeys(_NAMES, 1)
        self.tables = {name: self._start(name) for name in _NAMES}
        self.left = set()

    @rule(teller=_names, hearer=_names)
    def tell(self, teller, hearer):
        if teller != hearer:
            told = self.tables[teller].everything()
            self.tables[hearer].merge(told)

    @rule(name=_names)
    def leave(self, name):
        own = self.tables[name].leave()
        self.left.add(own.identity)

    @rule(name=_names)
    def crash_and_return(self, name):
        self.lives[name] += 1
        self.tables[name] = self._start(name)

    @rule(name=_names, other=_names)
    def suspect(self, name, other):
        """A live instance may be suspected for no reason."""
        self.tables[name].suspect(other)

    @rule(name=_names, other=_names)
    def doubt_and_confirm(self, name, other):
        """Confirmations raise the heartbeat that others believe."""
        self.tables[name].suspect(other)
        self.tables[name].confirm_live(other)

    @rule(seconds=st.floats(0.1, 8))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for table in self.tables.values():
            table.expire()

    @rule()
    def tell_everybody(self):
        """After two full rounds nobody names one that has left."""
        for _ in range(2):
            for teller in _NAMES:
                for hearer in _NAMES:
                    self.tell(teller, hearer)
        for table in self.tables.values():
            for member in (table.own, *table.others()):
                is_gone = member.identity in self.left
                assert is_gone == (member.liveness is Liveness.LEAVING)

    @rule(name=_names)
    def list_entries(self, name):
        """One that leaves is listed only while no live one is near."""
        table = self.tables[name]
        known = [table.own, *table.others()]
        live = [one for one in known if one.liveness is Liveness.LIVE]
        leaving = [one for one in known if one.liveness is Liveness.LEAVING]
        listed = nearest_entries(known, leaving, _CALLER)
        if live:
            assert set(listed) == {one.caller_address for one in live}
        else:
            assert set(listed) == {one.caller_address for one in leaving}

    @invariant()
    def nobody_takes_back_that_it_leaves(self):
        for table in self.tables.values():
            is_leaving = table.own.liveness is Liveness.LEAVING
            assert is_leaving == (table.own.identity in self.left)

    @invariant()
    def lives_go_forward_only(self):
        for table in self.tables.values():
            for member in (table.own, *table.others()):
                life = member.identity.incarnation
                assert life <= self.lives[member.identity.name]

    def _start(self, name):
        identity = MemberId(name, self.lives[name])
        member = attrs.evolve(build_member(name), identity=identity)
        return MemberTable(self.clock, member, 5 * SECOND)


Stopping.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestStopping = Stopping.TestCase
