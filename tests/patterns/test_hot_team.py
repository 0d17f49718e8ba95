"""Load pattern: teams that ask for many times their usual share of a region.

One queue in front of the engines of a region, with 16 teams of different size.
At usual load three quarters of the capacity are used. Refusals are decided by
the product, from demands that are reported each 0.25 s; without shares of
teams, a hot team makes all of them late.
"""

from datetime import timedelta
from random import Random

import attrs
import pytest

from masticstage.clock import ManualClock, milliseconds
from masticstage.forwarding.overload import OverloadControl
from masticstage.forwarding.quotas.buckets import RateMeter
from masticstage.forwarding.quotas.excesses import Demand, compute_excesses
from tests.forwarding_builders import build_stream_route, build_table

_TOKENS_PER_S = 3_000_000
_REPORT_INTERVAL_S = 0.25
_METER_PERIOD_S = 2.0
_TOKENS = 17_000
_USUAL_LOAD = 0.75
_TEAMS = 16
_SECONDS = 20
_ROUTE = build_stream_route(
    name='review',
    priority=2,
    target=milliseconds(1228),
    limit=milliseconds(6000),
    is_resumable=False,
)
_TABLE = build_table(1, _ROUTE, build_stream_route(name='query'))


@attrs.define
class _Count:
    on_time: int = 0
    refused: int = 0
    total: int = 0

    @property
    def share(self):
        return self.on_time / self.total


def _weights():
    sizes = [1 / (rank + 1) for rank in range(_TEAMS)]
    return {f'team-{rank}': size for rank, size in enumerate(sizes)}


def _play(factors, *, uses_shares=True, seed=1):
    """Returns the counts by team; `factors` multiply the usual demand."""
    clock, random = ManualClock(), Random(seed)
    overload, weights = OverloadControl(clock), _weights()
    meters = {team: RateMeter(_METER_PERIOD_S) for team in weights}
    excesses = {}
    demands = {
        team: weight * factors.get(team, 1) for team, weight in weights.items()
    }
    usual_per_s = _USUAL_LOAD * _TOKENS_PER_S / _TOKENS
    per_s = usual_per_s * sum(demands.values()) / sum(weights.values())
    counts = {team: _Count() for team in weights}
    backlog_s: float = 0
    now_s: float = 0
    reported_at_s: float = 0
    unreported = dict.fromkeys(weights, 0)
    while now_s < _SECONDS:
        step_s = random.expovariate(per_s)
        now_s += step_s
        clock.advance(timedelta(seconds=step_s))
        backlog_s = max(0, backlog_s - step_s)
        team = random.choices(list(demands), list(demands.values()))[0]
        if now_s - reported_at_s > _REPORT_INTERVAL_S:
            excesses = _report(meters, weights, unreported, now_s)
            reported_at_s = now_s
        unreported[team] += _TOKENS
        longest = overload.longest_wait(
            _TABLE,
            _ROUTE,
            str(now_s),
            _ROUTE.limit,
            excesses.get(team, 1) if uses_shares else 1,
        )
        counts[team].total += 1
        if timedelta(seconds=backlog_s) > longest:
            counts[team].refused += 1
            continue
        counts[team].on_time += backlog_s < _ROUTE.target.total_seconds()
        backlog_s += _TOKENS / _TOKENS_PER_S
    return counts


def _report(meters, weights, unreported, now_s):
    demands = {}
    for team, tokens in unreported.items():
        meters[team].record(now_s, tokens)
        demands[team] = Demand(meters[team].rate(now_s), weights[team])
        unreported[team] = 0
    return compute_excesses(demands)


def _share_of(counts, teams):
    chosen = [counts[team] for team in teams]
    return sum(count.on_time for count in chosen) / sum(
        count.total for count in chosen
    )


def _loss_of_others(factors, **options):
    others = [team for team in _weights() if team not in factors]
    usual = _share_of(_play({}, **options), others)
    return usual - _share_of(_play(factors, **options), others)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'factors',
    [
        pytest.param({'team-0': 8}, id='one large team'),
        pytest.param({'team-5': 10}, id='one middle team'),
        pytest.param(
            {'team-1': 8, 'team-3': 8, 'team-6': 8}, id='three teams at once'
        ),
    ],
)
def test_hot_teams_cost_the_others_little(factors, seed):
    # Guards against one team's excess making the requests of all teams late.
    assert _loss_of_others(factors, seed=seed) <= 0.05


def test_without_shares_a_hot_team_makes_all_others_late():
    assert _loss_of_others({'team-0': 8}, uses_shares=False) > 0.5


def test_many_small_teams_together_keep_a_large_one_to_its_share():
    # Guards against a share that depends on the number of requests alone.
    factors = {f'team-{rank}': 6 for rank in range(8, _TEAMS)}
    assert _loss_of_others(factors) <= 0.05


def test_a_hot_team_uses_what_the_others_leave():
    # Guards against refusals while capacity is free, and against starvation.
    counts = _play({'team-0': 2})
    assert _share_of(counts, ['team-0']) > 0.7
    assert _share_of(_play({}), list(_weights())) > 0.98


def test_no_team_is_served_less_than_a_quarter_as_often_as_all():
    counts = _play({'team-0': 2, 'team-4': 2})
    overall = _share_of(counts, list(counts))
    assert all(count.share > overall / 4 for count in counts.values())
