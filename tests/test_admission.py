"""Tests of request limits, team shares and load shedding."""

from datetime import timedelta

from masticstage.admission import Admission, is_too_late, queue_rank
from masticstage.clock import ManualClock
from masticstage.configuration_schema import Kind
from masticstage.exceptions import OverloadedError, ShareExceededError
from tests.builders import build_catalogue

CATALOGUE = build_catalogue()
NORTH = CATALOGUE.teams['team-north']
SOUTH = CATALOGUE.teams['team-south']


def open_requests(admission, team, count):
    for _ in range(count):
        admission.open(team.name)


def test_instance_at_its_limit_refuses_requests():
    admission = Admission(3)
    open_requests(admission, NORTH, 3)
    refusal = admission.refusal(CATALOGUE, SOUTH, is_congested=False)
    assert isinstance(refusal, OverloadedError)


def test_team_above_its_share_is_refused_under_congestion():
    admission = Admission(1000)
    open_requests(admission, NORTH, 90)
    open_requests(admission, SOUTH, 10)
    refusal = admission.refusal(CATALOGUE, NORTH, is_congested=True)
    assert isinstance(refusal, ShareExceededError)
    assert admission.refusal(CATALOGUE, SOUTH, is_congested=True) is None


def test_idle_capacity_may_be_used_by_one_team():
    admission = Admission(1000)
    open_requests(admission, NORTH, 90)
    assert admission.refusal(CATALOGUE, NORTH, is_congested=False) is None


def test_closed_requests_are_not_counted():
    admission = Admission(1)
    admission.open(NORTH.name)
    admission.close(NORTH.name)
    assert not admission.total
    assert admission.refusal(CATALOGUE, NORTH, is_congested=True) is None


def test_kinds_with_long_timeouts_are_shed_at_the_same_wait():
    wait = timedelta(seconds=7)
    assert is_too_late(timedelta(seconds=20), wait)
    assert is_too_late(timedelta(seconds=60), wait)
    assert not is_too_late(timedelta(seconds=60), timedelta(seconds=5))


def test_low_priority_request_precedes_much_later_ones():
    clock = ManualClock()
    plan = Kind('plan', ('north',), priority=4, timeout_ms=60000)
    question = Kind('question', ('north',), priority=8, timeout_ms=20000)
    plan_rank = queue_rank(plan, clock.now())
    assert queue_rank(question, clock.now()) < plan_rank
    clock.advance(timedelta(seconds=5))
    assert plan_rank < queue_rank(question, clock.now())
