"""Tests of the choice of upstreams and of transfers."""

from collections import Counter
from random import Random

from masticstage.clock import ManualClock
from masticstage.configuration_schema import Upstream, Weights
from masticstage.routing import (
    Choice,
    Demand,
    RemoteCandidate,
    Router,
    choose_transfer,
)
from masticstage.upstream_table import LoadReport, UpstreamTable

WEIGHTS = Weights(latency=1, traffic=1, sent_away=1)
PREFIXED = Demand('model', 7, 60000, 60500)
PLAIN = Demand('model')


def build_upstreams(count):
    return tuple(
        Upstream(f'engine-{number}', 'model', 'a', 'http://127.0.0.1:1')
        for number in range(count)
    )


def build_router():
    table = UpstreamTable(ManualClock())
    return Router(table, Random(1)), table


def build_choice(wait_s):
    upstream = build_upstreams(1)[0]
    return Choice(upstream, 'test', wait_s, wait_s, 1)


def test_same_prefix_stays_on_its_upstream():
    router, _ = build_router()
    upstreams = build_upstreams(20)
    first = router.choose(upstreams, PREFIXED, WEIGHTS)
    router.record_prefix(PREFIXED, first.upstream.name)
    chosen = {
        router.choose(upstreams, PREFIXED, WEIGHTS).upstream.name
        for _ in range(50)
    }
    assert chosen == {first.upstream.name}


def test_full_upstream_loses_its_prefix():
    router, table = build_router()
    upstreams = build_upstreams(4)
    router.record_prefix(PREFIXED, 'engine-0')
    table.merge([LoadReport('engine-0', 1, 1, 50, 8)])
    choice = router.choose(upstreams, PREFIXED, WEIGHTS)
    assert choice.upstream.name != 'engine-0'


def test_leaving_upstream_gets_no_work():
    router, table = build_router()
    table.merge([LoadReport('engine-0', 1, 1, 0, 0, leaving=True)])
    chosen = Counter(
        router.choose(build_upstreams(3), PLAIN, WEIGHTS).upstream.name
        for _ in range(50)
    )
    assert 'engine-0' not in chosen


def test_leaving_ends_with_the_incarnation():
    _, table = build_router()
    table.merge([LoadReport('engine-0', 1, 1, 0, 0, leaving=True)])
    table.merge([LoadReport('engine-0', 1, 2, 0, 0)])
    assert table.is_leaving('engine-0')
    table.merge([LoadReport('engine-0', 2, 0, 0, 0)])
    assert not table.is_leaving('engine-0')


def test_news_are_bounded_and_leaving_goes_first():
    _, table = build_router()
    names = [f'engine-{number}' for number in range(50)]
    table.merge(LoadReport(name, 1, 1, 0, 0) for name in names)
    table.merge([LoadReport('engine-7', 1, 1, 0, 0, leaving=True)])
    news = table.updates(names, 16)
    assert len(news) == 16
    assert news[0].leaving


def test_no_usable_upstream_is_no_choice():
    router, table = build_router()
    for upstream in build_upstreams(2):
        table.avoid(upstream.name)
    assert router.choose(build_upstreams(2), PLAIN, WEIGHTS) is None


def test_own_dispatches_count_until_the_next_report():
    _, table = build_router()
    table.begin_request('engine-0')
    assert table.backlog('engine-0') == 1


def test_transfer_goes_to_a_place_with_room():
    room = RemoteCandidate('b', 0, 0.055, 1e7)
    crowded = RemoteCandidate('c', 8, 0.055, 1e7)
    transfer = choose_transfer(
        (crowded, room), PLAIN, WEIGHTS, build_choice(10)
    )
    assert transfer.data_centre == 'b'


def test_no_transfer_when_all_places_are_congested():
    crowded = RemoteCandidate('b', 8, 0.055, 1e7)
    assert choose_transfer((crowded,), PLAIN, WEIGHTS, build_choice(10)) is None


def test_no_transfer_for_a_short_wait():
    room = RemoteCandidate('b', 0, 0.055, 1e7)
    assert choose_transfer((room,), PLAIN, WEIGHTS, build_choice(0.5)) is None


def test_thin_link_weighs_against_a_long_prompt():
    thin = RemoteCandidate('b', 0, 0.055, 10_000)
    assert choose_transfer((thin,), PREFIXED, WEIGHTS, build_choice(5)) is None
