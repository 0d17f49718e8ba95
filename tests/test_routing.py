"""Tests of the selection of upstreams and of transfers."""

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


def test_requests_with_the_same_prefix_use_the_same_upstream():
    router, _ = build_router()
    upstreams = build_upstreams(20)
    first = router.choose(upstreams, PREFIXED, WEIGHTS)
    router.record_prefix(PREFIXED, first.upstream.name)
    chosen = {
        router.choose(upstreams, PREFIXED, WEIGHTS).upstream.name
        for _ in range(50)
    }
    assert chosen == {first.upstream.name}


def test_loaded_upstream_is_not_chosen_for_its_prefix():
    router, table = build_router()
    upstreams = build_upstreams(4)
    router.record_prefix(PREFIXED, 'engine-0')
    table.merge([LoadReport('engine-0', 1, 1, 50, 8)])
    choice = router.choose(upstreams, PREFIXED, WEIGHTS)
    assert choice.upstream.name != 'engine-0'


def test_leaving_upstream_gets_no_requests():
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


def test_updates_are_bounded_and_start_with_leaving_upstreams():
    _, table = build_router()
    names = [f'engine-{number}' for number in range(50)]
    table.merge(LoadReport(name, 1, 1, 0, 0) for name in names)
    table.merge([LoadReport('engine-7', 1, 1, 0, 0, leaving=True)])
    updates = table.updates(names, 16)
    assert len(updates) == 16
    assert updates[0].leaving


def test_nothing_is_chosen_without_a_usable_upstream():
    router, table = build_router()
    for upstream in build_upstreams(2):
        table.avoid(upstream.name)
    assert router.choose(build_upstreams(2), PLAIN, WEIGHTS) is None


def test_own_requests_count_until_the_next_report():
    _, table = build_router()
    table.begin_request('engine-0')
    assert table.backlog('engine-0') == 1


def test_transfer_goes_to_an_uncongested_data_centre():
    uncongested = RemoteCandidate('b', 0, 0.055, 1e7)
    congested = RemoteCandidate('c', 8, 0.055, 1e7)
    transfer = choose_transfer(
        (congested, uncongested), PLAIN, WEIGHTS, build_choice(10)
    )
    assert transfer.data_centre == 'b'


def test_no_transfer_when_all_data_centres_are_congested():
    congested = RemoteCandidate('b', 8, 0.055, 1e7)
    assert (
        choose_transfer((congested,), PLAIN, WEIGHTS, build_choice(10)) is None
    )


def test_no_transfer_for_a_short_wait():
    uncongested = RemoteCandidate('b', 0, 0.055, 1e7)
    assert (
        choose_transfer((uncongested,), PLAIN, WEIGHTS, build_choice(0.5))
        is None
    )


def test_slow_link_prevents_the_transfer_of_a_long_prompt():
    slow = RemoteCandidate('b', 0, 0.055, 10_000)
    assert choose_transfer((slow,), PREFIXED, WEIGHTS, build_choice(5)) is None
