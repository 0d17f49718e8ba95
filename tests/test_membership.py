"""Tests of the membership table."""

from datetime import timedelta
from random import Random

import attrs
from hypothesis import given, settings, strategies

from masticstage.clock import ManualClock
from masticstage.membership import Liveness, MemberTable
from tests.builders import build_member

GONE_AFTER = timedelta(seconds=15)


def build_table(name='me', clock=None):
    own = build_member(name)
    return MemberTable(clock or ManualClock(), own, GONE_AFTER)


RECORDS = strategies.lists(
    strategies.builds(
        build_member,
        strategies.sampled_from(('x', 'y')),
        incarnation=strategies.integers(1, 3),
        heartbeat=strategies.integers(0, 3),
        liveness=strategies.sampled_from(Liveness),
    ),
    max_size=12,
)


@settings(derandomize=True, deadline=None)
@given(RECORDS, strategies.integers())
def test_order_of_arrival_does_not_matter(records, seed):
    shuffled = list(records)
    Random(seed).shuffle(shuffled)
    first = build_table()
    second = build_table()
    first.merge(records)
    second.merge(shuffled)
    for name in ('x', 'y'):
        assert first.find(name) == second.find(name)


@settings(derandomize=True, deadline=None)
@given(RECORDS)
def test_leaving_is_kept_within_an_incarnation(records):
    table = build_table()
    leaving = set()
    for record in records:
        table.merge([record])
        if record.liveness is Liveness.LEAVING:
            leaving.add(record.identity)
        held = table.find(record.identity.name)
        if held.identity in leaving:
            assert held.liveness is Liveness.LEAVING


@settings(derandomize=True, deadline=None)
@given(RECORDS, strategies.lists(strategies.integers(0, 30), max_size=12))
def test_lists_of_members_follow_each_change(records, pauses_s):
    """Guards against lists that are kept although a member has changed."""
    clock = ManualClock()
    table = build_table(clock=clock)
    own = table.own
    for record, pause_s in zip(records, pauses_s, strict=False):
        table.merge([record])
        table.suspect('x')
        clock.advance(timedelta(seconds=pause_s))
        table.expire()
        known = table.all_records()[1:]
        others = [member for member in known if member not in table.gone()]
        live = [other for other in others if other.liveness is Liveness.LIVE]
        assert list(table.others()) == others
        assert list(table.live_in_place(own.region)) == live
        assert list(table.live_in_place(own.region, own.data_centre)) == live
        assert not table.live_in_place('elsewhere')


def test_suspected_instance_refutes_the_suspicion():
    table = build_table()
    suspicion = attrs.evolve(table.own, liveness=Liveness.SUSPECT)
    assert table.merge([suspicion])
    other = build_table('other')
    other.merge([suspicion])
    other.merge([table.own])
    assert other.find('me').liveness is Liveness.LIVE


def test_gone_instance_returns_in_the_same_incarnation():
    clock = ManualClock()
    table = build_table(clock=clock)
    table.merge([build_member('x')])
    table.suspect('x')
    clock.advance(GONE_AFTER + timedelta(seconds=1))
    table.expire()
    assert not table.others()
    table.merge([build_member('x', heartbeat=1)])
    assert table.find('x').liveness is Liveness.LIVE


def test_directory_record_does_not_replace_one_from_gossip():
    table = build_table()
    table.merge([build_member('x')])
    from_directory = build_member('x', incarnation=0, liveness=Liveness.SUSPECT)
    assert not table.merge([from_directory])


def test_merging_no_records_removes_no_member():
    table = build_table()
    table.merge([build_member('x')])
    table.merge([])
    assert len(table.live_in('a')) == 1


def test_change_is_sent_a_bounded_number_of_times():
    table = build_table()
    table.merge([build_member('x')])
    sends = sum(len(table.changes(16)) - 1 for _ in range(100))
    assert 0 < sends < 20


def test_leaving_record_is_removed_after_a_long_time():
    clock = ManualClock()
    table = build_table(clock=clock)
    table.merge([build_member('x', liveness=Liveness.LEAVING)])
    clock.advance(timedelta(hours=1))
    table.expire()
    assert table.find('x') is None
