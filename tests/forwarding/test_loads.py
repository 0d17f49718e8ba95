"""Tests of the estimated load and health of upstreams."""

from masticstage.clock import ManualClock
from masticstage.forwarding.loads import LoadTable, ReportedLoad, SharedLoad
from tests.forwarding_builders import SECOND, build_prompt


def _build_table():
    clock = ManualClock()
    clock.advance(100 * SECOND)
    table = LoadTable(clock)
    return clock, table, table.state('u-1', 1, 1000)


def test_a_recent_report_is_corrected_by_later_dispatches():
    _, table, state = _build_table()
    state.direct.in_flight = 2
    table.record_report(state, ReportedLoad(5, 1, 6))
    state.direct.in_flight = 4

    assert table.in_flight(state) == 8


def test_a_stale_report_is_replaced_by_counts():
    clock, table, state = _build_table()
    table.record_report(state, ReportedLoad(5, 1, 6))
    state.direct.in_flight = 1
    clock.advance(SECOND)

    assert table.in_flight(state) == 1


def test_loads_of_peers_add_up_until_they_expire():
    clock, table, state = _build_table()
    state.direct.in_flight = 1
    table.replace_peer_loads('p-1', (SharedLoad('u-1', 2, ((1, 500),)),))
    table.replace_peer_loads('p-2', (SharedLoad('u-1', 3, ()),))
    assert table.in_flight(state) == 6
    assert table.tokens_ahead(state, 1) == 500

    table.replace_peer_loads('p-2', ())
    assert table.in_flight(state) == 3

    clock.advance(3 * SECOND)
    assert table.in_flight(state) == 1


def test_a_restarted_upstream_has_an_empty_state():
    _, table, state = _build_table()
    table.record_outcome(state, is_failure=True)

    assert table.state('u-1', 1) is state
    assert table.outcomes(state).failed
    assert not table.outcomes(table.state('u-1', 2)).failed


def test_a_state_that_began_without_its_memory_caches_prefixes():
    # Guards against engines that a health check met first, and whose prefixes
    # were never recorded.
    loads = LoadTable(ManualClock())
    loads.state('e1', 1)
    prompt = build_prompt()

    loads.state('e1', 1, memory_tokens=360_000).cache.record_prefill(prompt)

    cache = loads.state('e1', 1).cache
    assert cache.uncached_tokens(prompt) == prompt.own_tokens


def test_relayed_requests_are_not_counted_twice():
    _, table, state = _build_table()
    state.relayed.in_flight = 4
    state.relayed.pending_tokens[1] = 900
    table.replace_peer_loads('p-1', (SharedLoad('u-1', 3, ((1, 700),)),))

    assert table.in_flight(state) == 4
    assert table.tokens_ahead(state, 1) == 900
    assert not table.own_loads()


def test_less_urgent_prompts_delay_an_urgent_one_only_a_little():
    _, table, state = _build_table()
    state.direct.pending_tokens[1] = 10_000
    state.direct.pending_tokens[0] = 100

    assert table.tokens_ahead(state, 1) == 10_100
    assert 100 <= table.tokens_ahead(state, 0) < 4000
