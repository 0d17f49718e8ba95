"""Tests of where a dispatch goes."""

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


def test_an_idle_upstream_of_the_own_region_comes_first():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('far', **_SOUTH))
    world.add(build_record('near'))

    choice = _choose(world)

    assert choice is not None
    assert choice.upstream == 'near'
    assert choice.candidate.via is None


def test_a_crowded_region_sends_to_another_through_a_peer():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('far', **_SOUTH))
    world.add(build_record('near'))
    _teach_call(world, 0.2)
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


def test_an_upstream_that_fails_is_avoided_but_not_for_ever():
    world = build_world()
    world.add(build_record('sound'))
    world.add(build_record('grey'))
    grey = world.loads.state('grey')
    for _ in range(8):
        world.loads.record_outcome(grey, is_failure=True)
    world.loads.state('sound').direct.in_flight = 5
    assert _choose(world).upstream == 'sound'

    world.advance(30)
    _teach_call(world, 0.2)
    world.loads.state('sound').direct.in_flight = 12
    assert _choose(world).upstream == 'grey'


def test_a_slow_upstream_is_avoided():
    world = build_world()
    world.add(build_record('sound'))
    world.add(build_record('slow'))
    for _ in range(20):
        world.loads.record_latency_ratio(world.loads.state('slow'), 8)
    assert _choose(world).upstream == 'sound'


def test_what_was_tried_is_not_tried_again():
    world = build_world()
    world.add(build_record('one'))
    assert _choose(world, tried=('one',)) is None


def test_a_doubtful_upstream_is_not_used():
    world = build_world()
    world.add(build_record('one'))
    world.loads.state('one').health.suspect(100)
    assert _choose(world) is None


def _engines(world, count=3):
    for number in range(count):
        world.add(build_record(f'e{number}', service='model'))


def _plan(shared='a1'):
    return build_request(prompt=build_prompt(shared))


def test_a_prompt_goes_where_its_shared_parts_were_read():
    world = build_world()
    _engines(world)
    route = build_stream_route()
    first = _choose(world, route, _plan())
    holder = 'e0' if first.upstream != 'e0' else 'e1'
    state = world.loads.state(holder)
    state.cache.record_prefill(_plan().prompt)

    again = _choose(world, route, _plan())
    assert again.expected_s <= first.expected_s


def test_instances_agree_where_shared_parts_are_kept():
    worlds = [build_world(), build_world()]
    for world in worlds:
        _engines(world)
    route = build_stream_route()
    for number in range(20):
        plan = _plan(f'{number:x}')
        chosen = {_choose(world, route, plan).upstream for world in worlds}
        assert len(chosen) == 1


def test_unread_prompts_of_peers_count():
    world = build_world()
    _engines(world, 2)
    route = build_stream_route(target=build_route().limit)
    home = _choose(world, route, _plan()).upstream
    world.loads.replace_peer_loads(
        'peer', (SharedLoad(home, 9, ((0, 150_000),)),)
    )

    assert _choose(world, route, _plan()).upstream != home


def test_a_relay_uses_the_senders_choice_if_it_can():
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


def _teach_call(world, seconds):
    """Lets the chooser see calls of a length at an idle upstream."""
    choice = _choose(world)
    for _ in range(30):
        world.chooser.record_call(
            attrs.evolve(choice, requests_ahead=0), seconds
        )


def test_a_queue_does_not_make_calls_look_longer_than_they_are():
    world = build_world()
    world.add(build_record('one'))
    _teach_call(world, 0.1)
    world.loads.state('one').direct.in_flight = 20
    crowded = _choose(world)
    for _ in range(30):
        world.chooser.record_call(crowded, crowded.expected_s)

    assert _choose(world).expected_s == crowded.expected_s


def test_a_usual_failure_now_and_then_sends_nobody_to_another_region():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('far', **_SOUTH))
    world.add(build_record('near'))
    near = world.loads.state('near')
    for number in range(30):
        world.loads.record_outcome(near, is_failure=number % 7 == 0)

    assert _choose(world).upstream == 'near'
