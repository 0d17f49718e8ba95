"""Tests of refusals under overload."""

from datetime import timedelta

from masticstage.clock import ManualClock, milliseconds
from masticstage.forwarding.overload import OverloadControl
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.teams import Team
from tests.forwarding_builders import (
    SECOND,
    build_route,
    build_stream_route,
    build_table,
    build_team_table,
)

_LESS_URGENT = build_stream_route(
    name='plan',
    priority=1,
    target=milliseconds(1000),
    limit=milliseconds(8000),
    is_resumable=False,
)
_MOST_URGENT = build_stream_route(name='question', path_prefix='/q/')
_CALL = build_route(priority=2, kind=CallKind.UNSAFE)
_TABLE = build_table(1, _LESS_URGENT, _MOST_URGENT, _CALL)
_REMAINING = timedelta(seconds=6)


def _longest_wait(overload, route, fingerprint='f'):
    return overload.longest_wait(_TABLE, route, fingerprint, _REMAINING)


def test_a_less_urgent_stream_that_would_be_very_late_is_refused():
    assert (
        _longest_wait(OverloadControl(ManualClock()), _LESS_URGENT)
        < 2 * _LESS_URGENT.target
    )


def test_calls_and_the_most_urgent_streams_wait_while_there_is_time():
    overload = OverloadControl(ManualClock())
    assert _longest_wait(overload, _MOST_URGENT) > timedelta(seconds=5)
    assert _longest_wait(overload, _CALL) > timedelta(seconds=5)


def test_a_retry_of_a_refused_request_is_not_refused_again():
    clock = ManualClock()
    overload = OverloadControl(clock)
    retry_after = overload.reserve_retry(
        'f',
        _LESS_URGENT,
        timedelta(seconds=2),
    )
    assert retry_after == SECOND

    clock.advance(retry_after)
    assert _longest_wait(overload, _LESS_URGENT) > timedelta(seconds=5)
    assert (
        _longest_wait(overload, _LESS_URGENT, 'other') < 2 * _LESS_URGENT.target
    )


def test_a_reservation_expires():
    clock = ManualClock()
    overload = OverloadControl(clock)
    overload.reserve_retry('f', _LESS_URGENT, timedelta(seconds=2))
    clock.advance(60 * SECOND)
    assert _longest_wait(overload, _LESS_URGENT) < 2 * _LESS_URGENT.target


def test_the_time_to_retry_is_bounded():
    overload = OverloadControl(ManualClock())
    soon = overload.reserve_retry('f', _LESS_URGENT, timedelta())
    late = overload.reserve_retry('f', _LESS_URGENT, timedelta(minutes=1))
    assert timedelta() < soon
    assert soon < late
    assert late <= timedelta(seconds=2)


def test_the_rank_of_a_team_makes_none_of_its_kinds_less_urgent():
    """Guards against refusing even the most urgent streams of a team."""
    overload = OverloadControl(ManualClock())
    team = Team('late', 2)
    table = build_team_table({'k': team}, 1, _LESS_URGENT, _MOST_URGENT)

    longest_waits = [
        overload.longest_wait(
            table, table.effective_route(route, team), 'f', _REMAINING
        )
        for route in table.routes
    ]

    assert longest_waits[0] < 2 * _LESS_URGENT.target
    assert longest_waits[1] > timedelta(seconds=5)
