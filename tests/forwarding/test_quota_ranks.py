"""Tests of who keeps the limits of teams in a region."""

from masticstage.forwarding.quotas.ranks import (
    Peer,
    Ranking,
    count_shards,
    rank_keepers,
)

_NAMES = ('a', 'b', 'c')
_FIRST, _SECOND, _THIRD = rank_keepers(0, _NAMES)


def _build(own):
    """Returns a ranking in which all instances have been live for long."""
    ranking = Ranking(own, 4)
    _update(ranking, 0, _NAMES)
    _update(ranking, 10, _NAMES)
    return ranking


def _update(ranking, now_s, live, absent=(), incarnation=1):
    peers = {
        name: Peer(incarnation if name == _FIRST else 1, name) for name in live
    }
    ranking.update(now_s, peers, absent)


def _part(ranking):
    tenure = ranking.tenure('shop')
    return tenure.is_keeper, tenure.is_deputy


def test_one_instance_is_keeper_and_the_next_stands_in():
    parts = [_part(_build(name)) for name in (_FIRST, _SECOND, _THIRD)]
    assert parts == [(True, True), (False, True), (False, False)]


def test_a_keeper_serves_on_until_its_new_successor_is_ready():
    ranking = _build(_SECOND)
    _update(ranking, 11, (_SECOND, _THIRD))
    assert _part(ranking) == (True, True)
    _update(ranking, 13, _NAMES, incarnation=2)
    assert _part(ranking) == (True, True)
    assert ranking.order('shop')[0] == _FIRST
    _update(ranking, 16, _NAMES, incarnation=2)
    assert _part(ranking) == (False, True)


def test_the_keeper_is_keeper_again_at_once_after_a_false_suspicion():
    ranking = _build(_SECOND)
    _update(ranking, 11, (_SECOND, _THIRD), (_FIRST,))
    _update(ranking, 12, _NAMES)
    assert _part(ranking) == (False, True)


def test_an_absent_instance_that_ranks_before_the_own_is_a_rival():
    ranking = _build(_SECOND)
    assert not ranking.rivals()
    _update(ranking, 11, (_SECOND,), (_FIRST, _THIRD))
    assert ranking.rivals() == {_FIRST}


def test_only_data_centres_in_sight_count_for_the_share():
    """Else both parts of a region would own all of it."""
    ranking = _build(_FIRST)
    _update(ranking, 11, (_FIRST,), (_SECOND, _THIRD))
    assert ranking.tenure('shop').fraction == 1 / 4


def test_lost_instances_do_not_regroup_the_teams():
    ranking = Ranking('a', 4)
    names = [str(number) for number in range(20)]
    _update(ranking, 0, ['a', *names[:8]], names[8:])
    assert len(ranking.tenures()) == count_shards(21) == 2
