"""Tests of limits of teams over all instances, on a model without network."""

from datetime import timedelta
from functools import partial

import attrs
import pytest

from masticstage.clock import ManualClock
from masticstage.forwarding.quotas.balances import Balances, Step
from masticstage.forwarding.quotas.keeper import Keeper
from masticstage.forwarding.quotas.messages import Ask, Grant
from masticstage.forwarding.quotas.ranks import Tenure
from masticstage.forwarding.quotas.shares import QuotaBounds
from masticstage.forwarding.teams import TeamLimit
from tests.quota_days import (
    SIZES,
    draw_long,
    draw_mixed,
    excess_of,
    play_day,
)
from tests.quota_model import QuotaModel

_SMALL = TeamLimit(47_000, 94_000, 1000)
_LARGE = TeamLimit(500_000, 250_000, 1000)
_BOUNDS = QuotaBounds(8, 0.25, 0)


@pytest.mark.parametrize(
    ('seed', 'size'),
    [(seed, SIZES[seed % 2]) for seed in range(10)] + [(7, 122)],
)
def test_no_window_exceeds_the_bound_on_random_days(seed, size):
    assert excess_of(play_day(seed, size)) <= 0


def test_the_model_sees_instances_that_each_use_a_whole_limit(monkeypatch):
    """Guards the model: it must be able to find a violation."""
    tenure_of = QuotaModel.tenure_of
    monkeypatch.setattr(
        QuotaModel,
        'tenure_of',
        lambda self, one, team: attrs.evolve(
            tenure_of(self, one, team), fraction=1, is_keeper=True
        ),
    )
    assert max(excess_of(play_day(seed, 31)) for seed in range(6)) > 0


def test_the_model_ends_a_pause_at_a_time_that_its_clock_can_reach():
    """Guards the model: its clock stood still before the end of a pause."""
    model = QuotaModel(1, 4, {'shop': _LARGE})
    model.at(14.269083, lambda: model.pause(0, 10))
    model.run(14.3)
    resumes_s = model.instances[0].resumes_s
    assert timedelta(seconds=resumes_s).total_seconds() == resumes_s


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize(
    ('limit', 'draw', 'mean'),
    [(_SMALL, draw_long, 38_500), (_LARGE, draw_mixed, 3720)],
)
def test_a_team_below_its_limit_is_not_refused(size, limit, draw, mean):
    model = QuotaModel(1, size, {'shop': limit}, loss=0)
    model.offer('shop', 0.55 * limit.rate / mean, draw, 10, 25)
    model.run(26)
    assert not model.wrongly_refused('shop')
    assert model.messages < 4 * size * 15


@pytest.mark.parametrize('size', [31, 122])
def test_a_team_at_one_instance_gets_its_limit(size):
    model = QuotaModel(1, size, {'shop': _LARGE}, loss=0)
    model.offer('shop', 1.5 * _LARGE.rate / 3720, draw_mixed, 10, 30, [1])
    model.run(30)
    late = [tokens for time_s, tokens in model.sent['shop'] if time_s > 14]
    assert sum(late) >= 0.95 * _LARGE.rate * 16


def test_beyond_the_limit_long_requests_are_served_as_often_as_short_ones():
    model = QuotaModel(1, 31, {'shop': _LARGE})
    model.offer('shop', 6 * _LARGE.rate / 3720, draw_mixed, 10, 20)
    model.run(21)
    short, long = (
        [
            is_admitted
            for _, tokens, is_admitted in model.asked['shop']
            if (tokens > 9000) == is_long
        ]
        for is_long in (False, True)
    )
    assert sum(long) / len(long) > sum(short) / len(short) / 3


def test_a_cut_off_region_serves_its_own_share_at_once():
    model = QuotaModel(1, 31, {'shop': _LARGE}, loss=0)
    model.at(14, lambda: model.cut(0, 20))
    model.offer('shop', 0.25 * _LARGE.rate / 3720, draw_mixed, 10, 30, [0, 3])
    model.run(30)
    refused = [time_s for time_s, _, ok in model.asked['shop'] if not ok]
    assert len(refused) < 0.02 * len(model.asked['shop'])


def test_a_team_is_served_again_soon_after_its_keeper_was_killed():
    model = QuotaModel(1, 31, {'shop': _LARGE}, loss=0)
    keeper = model.instances[0].ranks('shop', 0)[0]
    model.at(14, lambda: model.kill(keeper, 6))
    model.offer('shop', 0.55 * _LARGE.rate / 3720, draw_mixed, 10, 30)
    model.run(30)
    refused = model.wrongly_refused('shop')
    assert all(14 <= time_s < 24 for time_s in refused)
    assert len(refused) < 0.01 * len(model.asked['shop'])


class _Pair:
    """A keeper that is alone with one instance that asks it."""

    def __init__(self, limit, bounds=_BOUNDS):
        self.clock = ManualClock()
        self.limit = limit
        self.tenure = Tenure((0, 1), 1, is_keeper=True)
        self.keeper = Keeper(
            self.clock, bounds, lambda _: self.limit, lambda _: self.tenure
        )
        self.balances = Balances(self.clock, bounds, lambda _: self.limit)
        self.pass_time(20)

    def pass_time(self, seconds, *, is_paused=False):
        for _ in range(round(seconds * 10)):
            self.clock.advance(timedelta(seconds=0.1))
            if not is_paused:
                self.keeper.observe([self.tenure])

    def ask(self, needed, ahead=0):
        return self.keeper.serve('a', [Ask('shop', needed, needed, ahead)])[0]


def test_a_request_that_exceeds_what_a_window_allows_is_refused():
    pair = _Pair(TeamLimit(10, 5, 1))
    grant = pair.ask(1_000_000_000)
    assert grant.granted == 0
    assert grant.wait_s > 1


def test_a_burst_of_zero_still_serves_requests_within_the_rate():
    pair = _Pair(TeamLimit(1000, 0, 1))
    assert pair.ask(900).granted == 900


def test_a_request_larger_than_the_burst_is_served():
    pair = _Pair(TeamLimit(1000, 100, 1))
    assert pair.ask(1000).granted == 1000


def test_a_lowered_limit_takes_what_was_saved():
    pair = _Pair(TeamLimit(1000, 8000, 1))
    pair.limit = TeamLimit(100, 800, 1)
    assert pair.ask(1001).granted == 0


def test_the_wait_of_a_refused_request_is_the_time_until_it_is_granted():
    pair = _Pair(TeamLimit(1000, 8000, 1))
    grant = pair.ask(1000)
    while grant.granted:
        pair.keeper.end_loan(Ask('shop', 1000), 0)
        grant = pair.ask(1000)
    pair.pass_time(grant.wait_s - 0.3)
    assert pair.ask(1000).granted == 0
    pair.pass_time(0.5)
    assert pair.ask(1000).granted == 1000


def test_a_keeper_that_was_paused_leases_out_no_more_than_a_new_one():
    """Its successor has leased out the same tokens meanwhile."""
    pair = _Pair(TeamLimit(1000, 8000, 1))
    pair.pass_time(10, is_paused=True)
    assert pair.ask(100).is_declined
    pair.pass_time(2)
    assert pair.ask(2000).granted == 0


def test_an_instance_that_is_no_keeper_declines():
    pair = _Pair(TeamLimit(1000, 8000, 1))
    pair.tenure = Tenure((0, 1), 1, is_keeper=False)
    assert pair.ask(100).is_declined


def test_tokens_that_are_lent_are_missing_at_the_lender():
    pair = _Pair(TeamLimit(1000, 8000, 1))
    before = pair.ask(0).level
    lent = pair.keeper.lend('south', [Ask('shop', 2000)])[0]
    assert lent.granted == 2000
    assert pair.ask(0).level == pytest.approx(before - 2000)


def test_leased_tokens_expire_at_the_instance():
    pair = _Pair(TeamLimit(1000, 8000, 1))
    pair.balances.apply(
        Grant('shop', 500), Ask('shop'), pair.clock.elapsed().total_seconds()
    )
    pair.pass_time(3)
    assert pair.balances.decide('shop', 100, 1).step is Step.ASK


def test_tokens_of_a_request_that_did_not_run_serve_the_next():
    pair = _Pair(TeamLimit(1000, 8000, 1))
    pair.balances.apply(
        Grant('shop', 500), Ask('shop'), pair.clock.elapsed().total_seconds()
    )
    assert pair.balances.decide('shop', 500, 1).step is Step.GO
    pair.balances.give_back('shop', 500)
    assert pair.balances.decide('shop', 500, 1).step is Step.GO


def test_an_instance_without_any_keeper_has_a_small_allowance():
    pair = _Pair(TeamLimit(1000, 8000, 1), QuotaBounds(8, 0.25, 10_000))
    pair.balances.decide('shop', 10, 1)
    pair.balances.refill_allowances(30)
    pair.balances.record_unreachable(Ask('shop', 10, 10))
    assert pair.balances.decide('shop', 10, 1).step is Step.GO
    pair.balances.record_unreachable(Ask('shop', 5000, 5000))
    assert pair.balances.decide('shop', 5000, 0.1).step is Step.REFUSE


def test_two_instances_do_not_fill_one_share_while_the_keeper_is_doubted():
    model = QuotaModel(1, 31, {'shop': _LARGE})
    model.offer('shop', 4 * _LARGE.rate / 3720, draw_mixed, 14, 26)
    for region in range(3):
        keeper = model.instances[region].ranks('shop', region)[0]
        model.at(15, partial(model.doubt, keeper, 10))
    model.run(26)
    assert model.worst_excess('shop') <= 0
