"""State machine: instances leave, crash, restart and exchange records."""

from datetime import timedelta

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticstage.clock import ManualClock
from masticstage.forwarding.entries import CallerLocation, nearest_entries
from masticstage.membership import Liveness, MemberId, MemberTable
from tests.forwarding_builders import SECOND, build_member

_NAMES = ('n-1', 'n-2', 'n-3')
_names = st.sampled_from(_NAMES)
_CALLER = CallerLocation('north-a', 'north')


class Stopping(RuleBasedStateMachine):
    """Each instance has a table; records arrive in any order."""

    def __init__(self):
        """Starts instances that know only themselves."""
        super().__init__()
        self.clock = ManualClock()
        self.incarnations = dict.fromkeys(_NAMES, 1)
        self.tables = {name: self._start(name) for name in _NAMES}
        self.left = set()

    @rule(sender=_names, receiver=_names)
    def send_records(self, sender, receiver):
        if sender != receiver:
            records = self.tables[sender].all_records()
            self.tables[receiver].merge(records)

    @rule(name=_names)
    def leave(self, name):
        own = self.tables[name].leave()
        self.left.add(own.identity)

    @rule(name=_names)
    def crash_and_restart(self, name):
        self.incarnations[name] += 1
        self.tables[name] = self._start(name)

    @rule(name=_names, other=_names)
    def suspect(self, name, other):
        """A live instance may be suspected without a reason."""
        self.tables[name].suspect(other)

    @rule(name=_names, other=_names)
    def suspect_and_confirm(self, name, other):
        """A confirmation raises the heartbeat of the record that is sent."""
        self.tables[name].suspect(other)
        self.tables[name].confirm_live(other)

    @rule(seconds=st.floats(0.1, 8))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for table in self.tables.values():
            table.expire()

    @rule()
    def exchange_all_records(self):
        """After two full rounds exactly those that left are leaving."""
        for _ in range(2):
            for sender in _NAMES:
                for receiver in _NAMES:
                    self.send_records(sender, receiver)
        for table in self.tables.values():
            for member in (table.own, *table.others()):
                has_left = member.identity in self.left
                assert has_left == (member.liveness is Liveness.LEAVING)

    @rule(name=_names)
    def list_entries(self, name):
        """Leaving instances are listed only if no live one is known."""
        table = self.tables[name]
        known = [table.own, *table.others()]
        live = [member for member in known if member.liveness is Liveness.LIVE]
        leaving = [
            member for member in known if member.liveness is Liveness.LEAVING
        ]
        listed = nearest_entries(known, leaving, _CALLER)
        if live:
            assert set(listed) == {member.caller_address for member in live}
        else:
            assert set(listed) == {member.caller_address for member in leaving}

    @invariant()
    def leaving_instance_stays_leaving(self):
        for table in self.tables.values():
            is_leaving = table.own.liveness is Liveness.LEAVING
            assert is_leaving == (table.own.identity in self.left)

    @invariant()
    def incarnations_do_not_exceed_the_last_started(self):
        for table in self.tables.values():
            for member in (table.own, *table.others()):
                incarnation = member.identity.incarnation
                assert incarnation <= self.incarnations[member.identity.name]

    def _start(self, name):
        identity = MemberId(name, self.incarnations[name])
        member = attrs.evolve(build_member(name), identity=identity)
        return MemberTable(self.clock, member, 5 * SECOND)


Stopping.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestStopping = Stopping.TestCase
