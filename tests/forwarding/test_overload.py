"""Tests of refusals under overload."""

from datetime import timedelta

from masticstage.clock import ManualClock, milliseconds
from masticstage.forwarding.overload import OverloadControl
from masticstage.forwarding.requests import CallKind
from tests.routed import SECOND, build_route, build_stream_route, build_table

_PLAN = build_stream_route(
    name='plan',
    priority=1,
    target=milliseconds(1000),
    limit=milliseconds(8000),
    is_resumable=False,
)
_QUESTION = build_stream_route(name='question', path_prefix='/q/')
_CALL = build_route(priority=2, kind=CallKind.UNSAFE)
_TABLE = build_table(1, _PLAN, _QUESTION, _CALL)
_LEFT = timedelta(seconds=6)


def _longest(overload, route, fingerprint='f'):
    return overload.longest_wait(_TABLE, route, fingerprint, _LEFT)


def test_a_less_urgent_stream_is_refused_when_it_would_be_late_by_far():
    assert _longest(OverloadControl(ManualClock()), _PLAN) < 2 * _PLAN.target


def test_the_most_urgent_stream_and_calls_wait_while_there_is_time():
    overload = OverloadControl(ManualClock())
    assert _longest(overload, _QUESTION) > timedelta(seconds=5)
    assert _longest(overload, _CALL) > timedelta(seconds=5)


def test_who_comes_back_as_told_is_not_sent_away_again():
    clock = ManualClock()
    overload = OverloadControl(clock)
    told = overload.reserve_retry('f', _PLAN, timedelta(seconds=2))
    assert told == SECOND

    clock.advance(told)
    assert _longest(overload, _PLAN) > timedelta(seconds=5)
    assert _longest(overload, _PLAN, 'other') < 2 * _PLAN.target


def test_a_promise_does_not_hold_for_ever():
    clock = ManualClock()
    overload = OverloadControl(clock)
    overload.reserve_retry('f', _PLAN, timedelta(seconds=2))
    clock.advance(60 * SECOND)
    assert _longest(overload, _PLAN) < 2 * _PLAN.target


def test_the_time_to_come_back_is_bounded():
    overload = OverloadControl(ManualClock())
    soon = overload.reserve_retry('f', _PLAN, timedelta())
    late = overload.reserve_retry('f', _PLAN, timedelta(minutes=1))
    assert timedelta() < soon
    assert soon < late
    assert late <= timedelta(seconds=2)
