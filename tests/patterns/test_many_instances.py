"""Load pattern: a region of many instances.

An instance exchanges gossip with each instance of another region only every few
seconds, and each of those has only a small part of the load of its region.
"""

from collections import Counter
from random import Random

import attrs

from masticstage.clock import ManualClock
from masticstage.forwarding.loads import LoadTable, SharedLoad
from masticstage.forwarding.partners import PartnerCycle
from masticstage.forwarding.sampling import CandidateSampler
from tests.forwarding_builders import (
    SECOND,
    build_member,
    build_record,
    build_request,
    build_route,
    build_simulated_instance,
    build_stream_route,
)

_INSTANCES = 10


def _table(*upstreams: str) -> tuple[ManualClock, LoadTable]:
    clock = ManualClock()
    clock.advance(100 * SECOND)
    table = LoadTable(clock)
    for name in upstreams:
        table.state(name, 1, 1000)
    return clock, table


def _loads_of_south() -> tuple[SharedLoad, ...]:
    """Returns the totals that one instance of the south reports."""
    _, table = _table('s-1', 's-2')
    table.state('s-1').direct.in_flight = 2
    table.state('s-1').direct.pending_tokens[1] = 100
    for number in range(1, _INSTANCES):
        loads = (SharedLoad('s-1', 2, ((0, 40), (1, 100))),)
        table.replace_peer_loads(f'south-{number}', loads)
    return table.region_loads()


def test_one_instance_reports_the_load_of_its_region():
    loads = {load.upstream: load for load in _loads_of_south()}

    assert set(loads) == {'s-1'}
    assert loads['s-1'].in_flight == 2 * _INSTANCES
    assert dict(loads['s-1'].pending_tokens) == {0: 360, 1: 1000}


def test_totals_of_a_region_replace_earlier_ones():
    _, table = _table('s-1')
    table.replace_region_loads('south', _loads_of_south())
    table.replace_region_loads('south', _loads_of_south())
    state = table.state('s-1')

    assert table.in_flight(state) == 2 * _INSTANCES
    assert table.tokens_ahead(state, 1) == 1360


def test_totals_are_not_forwarded_to_a_third_region():
    _, table = _table('s-1')
    table.replace_region_loads('south', _loads_of_south())

    assert not table.region_loads()


def test_expired_totals_do_not_count():
    clock, table = _table('s-1')
    table.replace_region_loads('south', _loads_of_south())
    clock.advance(3 * SECOND)

    assert not table.in_flight(table.state('s-1'))


def test_local_load_overrides_the_preference_of_a_sender():
    instance = build_simulated_instance()
    for name in ('preferred', 'idle'):
        instance.add_upstream(build_record(name))
    state = instance.loads.state('preferred')
    request, route = build_request(), build_route()

    state.direct.in_flight = 3
    accepted = instance.chooser.choose_local(request, route, 'preferred', ())
    state.direct.in_flight = 60
    overloaded = instance.chooser.choose_local(request, route, 'preferred', ())

    assert accepted.upstream == 'preferred'
    assert overloaded.upstream == 'idle'


def test_idle_engines_share_prompts_that_are_not_cached():
    instance = build_simulated_instance()
    for number in range(45):
        instance.add_upstream(build_record(f'e{number}', service='model'))
    request, route = build_request(), build_stream_route()

    used = Counter(
        instance.chooser.choose(request, route, 'model').upstream
        for _ in range(450)
    )

    assert max(used.values()) < 30


def test_requests_stay_in_the_data_centre_while_it_is_idle():
    instance = build_simulated_instance()
    instance.add_upstream(build_record('across', data_centre='north-b'))
    instance.add_upstream(build_record('beside'))
    request, route = build_request(), build_route()

    assert instance.chooser.choose(request, route, 'shop').upstream == 'beside'
    instance.loads.state('beside').direct.in_flight = 30
    assert instance.chooser.choose(request, route, 'shop').upstream == 'across'


def test_a_remote_upstream_is_reached_through_its_data_centre():
    across = build_member('other', 'south')
    instance = build_simulated_instance(
        attrs.evolve(across, data_centre='south-b'),
        build_member('beside', 'south'),
    )
    far = {'region': 'south', 'data_centre': 'south-a'}
    instance.add_upstream(build_record('far', **far))

    for _ in range(20):
        choice = instance.chooser.choose(build_request(), build_route(), 'shop')
        assert choice.candidate.via.identity.name == 'beside'


def test_outcomes_of_relays_are_not_reported_for_this_region():
    """Only the region of an upstream reports the load on it."""
    _, table = _table('s-1')
    table.replace_region_loads('south', _loads_of_south())
    state = table.state('s-1')
    for _ in range(5):
        table.record_outcome(state, is_failure=True, is_relayed=True)

    assert table.outcomes(state).failed >= 5
    assert not table.own_loads()
    assert not table.region_loads()


def test_totals_of_one_region_do_not_replace_those_of_another():
    _, table = _table('s-1')
    table.replace_region_loads('south', _loads_of_south())
    table.replace_region_loads('east', ())

    assert table.in_flight(table.state('s-1')) == 2 * _INSTANCES


def _longest_gap_s(pick, count=27, rounds=400):
    """Returns the longest time for which an instance does not ask another."""
    peers = [build_member(f'm-{number}') for number in range(count)]
    last_met = dict.fromkeys((peer.identity.name for peer in peers), 0)
    longest = 0
    for number in range(1, rounds):
        for peer in pick(peers):
            longest = max(longest, number - last_met[peer.identity.name])
            last_met[peer.identity.name] = number
    return 0.25 * max(longest, *(rounds - met for met in last_met.values()))


def test_an_instance_of_a_region_asks_each_other_one_before_its_load_expires():
    """A peer's load is used for 3 s; answers to it count as well."""
    cycle, random = PartnerCycle(Random(1)), Random(1)

    assert _longest_gap_s(cycle.next_partners) <= 7
    assert _longest_gap_s(lambda peers: random.sample(peers, 1)) > 15


def test_both_sides_of_an_exchange_learn_so_few_loads_are_missing():
    """Fewer than one in ten pairs has not met for the time of expiry."""
    count, rounds = 27, 200
    peers = [build_member(f'm-{number}') for number in range(count)]
    cycles = [PartnerCycle(Random(seed)) for seed in range(count)]
    met_at = {}
    missing, total = 0, 0
    for number in range(rounds):
        for own, cycle in enumerate(cycles):
            others = [*peers[:own], *peers[own + 1 :]]
            for partner in cycle.next_partners(others):
                other = int(partner.identity.name.removeprefix('m-'))
                met_at[frozenset((own, other))] = number
        if number > 50:
            total += count * (count - 1) // 2
            missing += sum(number - met >= 12 for met in met_at.values())

    assert missing < 0.1 * total


def test_short_requests_use_open_connections_while_engines_are_idle():
    """Eight requests a second over 28 engines reuse few connections."""
    instance = build_simulated_instance()
    for number in range(28):
        address = f'10.0.0.{number}:80'
        instance.add_upstream(build_record(f'e{number}', address=address))
    connected = {'10.0.0.3:80', '10.0.0.9:80'}
    sampler = CandidateSampler(Random(1), lambda address: address in connected)
    chooser = attrs.evolve(instance.chooser, sampler=sampler)

    def choose():
        choice = chooser.choose(build_request(), build_route(), 'shop')
        return choice.candidate.known_upstream.record.address

    assert {choose() for _ in range(20)} <= connected
    for name in ('e3', 'e9'):
        instance.loads.state(name).direct.in_flight = 20
    assert choose() not in connected
