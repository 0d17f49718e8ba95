"""Tests that steps of the time of day change no decision.

Instances read the time of day for their logs, and once for the number of their
incarnation, which only has to differ from those of earlier runs.
"""

import ast
from datetime import timedelta
from pathlib import Path

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

import masticstage
from masticstage.clock import ManualClock
from masticstage.membership import Liveness, MemberTable
from tests.builders import build_member

_SOURCE = Path(masticstage.__file__).parent
_READS_TIME_OF_DAY = {'decision_log.py'}


def _build_table(name, incarnation):
    own = build_member(name, incarnation=incarnation)
    return MemberTable(
        ManualClock(), own, timedelta(seconds=5), supersedes_itself=True
    )


def _exchange(first, second):
    second.merge(first.all_records())
    first.merge(second.all_records())


@pytest.mark.parametrize('folder', ['forwarding', 'edges'])
def test_no_decision_reads_the_time_of_day(folder):
    for path in sorted((_SOURCE / folder).glob('*.py')):
        called = {
            node.func.attr
            for node in ast.walk(ast.parse(path.read_text()))
            if isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
        }
        if path.name not in _READS_TIME_OF_DAY:
            assert not called & {'now', 'time', 'today', 'utcnow'}, path


@given(
    before=st.integers(1, 10_000),
    after=st.integers(1, 10_000),
    heartbeats=st.integers(0, 5),
)
def test_a_restarted_instance_is_live_whatever_the_time_of_day(
    before, after, heartbeats
):
    """It left before, so peers hold a record of it that is leaving."""
    peer, earlier = _build_table('peer', 5), _build_table('me', before)
    for _ in range(heartbeats):
        earlier.leave()
    _exchange(earlier, peer)
    later = _build_table('me', after)
    if before == after:
        return
    for _ in range(2):
        _exchange(later, peer)

    assert peer.find('me').liveness is Liveness.LIVE
    assert peer.find('me').identity == later.own.identity


def test_records_of_others_with_the_same_name_prefix_change_nothing():
    table = _build_table('me', 5)
    table.merge([build_member('me-2', incarnation=9)])

    assert table.own.identity.incarnation == 5


def test_tables_of_the_other_interface_keep_their_incarnation():
    """There an incarnation owns tickets, so it never changes."""
    own = build_member('me', incarnation=5)
    table = MemberTable(ManualClock(), own, timedelta(seconds=5))
    table.merge([attrs.evolve(build_member('me', incarnation=9))])

    assert table.own.identity.incarnation == 5
