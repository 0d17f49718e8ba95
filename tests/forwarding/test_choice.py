"""Tests of the choice of an upstream."""

import attrs

from masticstage.forwarding.loads import SharedLoad
from tests.routed import (
    build_member,
    build_prompt,
    build_record,
    build_request,
    build_route,
    build_stream_route,
    build_world,
)

_SOUTH = {'data_centre': 'south-a', 'region': 'south'}


def _choose(world, route=None, request=None, tried=()):
    route = route or build_route()
    request = request or build_request()
    service = route.service_for(request.request_id)
    return world.chooser.choose(request, route, service, tried)


def test_an_idle_upstream_of_the_own_region_is_preferred():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('far', **_SOUTH))
    world.add(build_record('near'))

    choice = _choose(world)

    assert choice is not None
    assert choice.upstream == 'near'
    assert choice.candidate.via is None


def test_a_busy_region_sends_to_another_through_a_peer():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('far', **_SOUTH))
    world.add(build_record('near'))
    _record_calls(world, 0.2)
    world.loads.state('near').direct.in_flight = 30

    choice = _choose(world)

    assert choice is not None
    assert choice.upstream == 'far'
    assert choice.candidate.via is not None
    assert choice.candidate.via.identity.name == 'peer'


def test_a_region_without_a_live_peer_cannot_be_reached():
    world = build_world()
    world.add(build_record('far', **_SOUTH))
    assert _choose(world) is None


def test_a_request_never_leaves_its_homes():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('far', **_SOUTH))
    world.add(build_record('near'))

    south = build_route(homes=frozenset(('south',)))
    north = build_route(homes=frozenset(('north',)))
    world.loads.state('near').direct.in_flight = 500

    assert _choose(world, south).upstream == 'far'
    assert _choose(world, north).upstream == 'near'


def test_a_failing_upstream_is_avoided_for_a_while():
    world = build_world()
    world.add(build_record('healthy'))
    world.add(build_record('failing'))
    failing = world.loads.state('failing')
    for _ in range(8):
        world.loads.record_outcome(failing, is_failure=True)
    world.loads.state('healthy').direct.in_flight = 5
    assert _choose(world).upstream == 'healthy'

    world.advance(30)
    _record_calls(world, 0.2)
    world.loads.state('healthy').direct.in_flight = 12
    assert _choose(world).upstream == 'failing'


def test_a_slow_upstream_is_avoided():
    world = build_world()
    world.add(build_record('healthy'))
    world.add(build_record('slow'))
    for _ in range(20):
        world.loads.record_latency_ratio(world.loads.state('slow'), 8)
    assert _choose(world).upstream == 'healthy'


def test_an_upstream_is_tried_once():
    world = build_world()
    world.add(build_record('one'))
    assert _choose(world, tried=('one',)) is None


def test_a_suspected_upstream_is_not_used():
    world = build_world()
    world.add(build_record('one'))
    world.loads.state('one').health.suspect(100)
    assert _choose(world) is None


def _add_engines(world, count=3):
    for number in range(count):
        world.add(build_record(f'e{number}', service='model'))


def _build_prompt_request(shared='a1'):
    return build_request(prompt=build_prompt(shared))


def test_a_cached_prefix_does_not_make_an_answer_later():
    world = build_world()
    _add_engines(world)
    route = build_stream_route()
    first = _choose(world, route, _build_prompt_request())
    holder = 'e0' if first.upstream != 'e0' else 'e1'
    state = world.loads.state(holder)
    state.cache.record_prefill(_build_prompt_request().prompt)

    again = _choose(world, route, _build_prompt_request())
    assert again.expected_s <= first.expected_s


def test_instances_choose_the_same_engine_for_a_prefix():
    worlds = [build_world(), build_world()]
    for world in worlds:
        _add_engines(world)
    route = build_stream_route()
    for number in range(20):
        request = _build_prompt_request(f'{number:x}')
        chosen = {_choose(world, route, request).upstream for world in worlds}
        assert len(chosen) == 1


def test_pending_prompts_of_peers_count():
    world = build_world()
    _add_engines(world, 2)
    route = build_stream_route(target=build_route().limit)
    home = _choose(world, route, _build_prompt_request()).upstream
    world.loads.replace_peer_loads(
        'peer',
        (SharedLoad(home, 9, ((0, 150_000),)),),
    )

    assert _choose(world, route, _build_prompt_request()).upstream != home


def test_a_relay_follows_the_choice_of_the_sender_if_it_can():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('one'))
    world.add(build_record('two'))
    world.add(build_record('far', **_SOUTH))
    request, route = build_request(), build_route()

    for preferred in ('one', 'two'):
        choice = world.chooser.choose_local(request, route, preferred, ())
        assert choice.upstream == preferred
    other = world.chooser.choose_local(request, route, 'one', ('one',))
    assert other.upstream == 'two'
    assert (
        world.chooser.choose_local(request, route, 'far', ('one', 'two'))
        is None
    )


def _record_calls(world, seconds):
    """Records calls of a duration at an idle upstream."""
    choice = _choose(world)
    for _ in range(30):
        world.chooser.record_call(
            attrs.evolve(choice, requests_ahead=0),
            seconds,
        )


def test_waiting_time_does_not_count_as_call_time():
    world = build_world()
    world.add(build_record('one'))
    _record_calls(world, 0.1)
    world.loads.state('one').direct.in_flight = 20
    queued = _choose(world)
    for _ in range(30):
        world.chooser.record_call(queued, queued.expected_s)

    assert _choose(world).expected_s == queued.expected_s


def test_a_typical_failure_rate_does_not_cause_cross_region_traffic():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('far', **_SOUTH))
    world.add(build_record('near'))
    near = world.loads.state('near')
    for number in range(30):
        world.loads.record_outcome(near, is_failure=number % 7 == 0)

    assert _choose(world).upstream == 'near'
