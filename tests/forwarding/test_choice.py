"""Tests of the choice of an upstream."""

import attrs

from masticstage.forwarding.loads import SharedLoad
from tests.forwarding_builders import (
    build_member,
    build_prompt,
    build_record,
    build_request,
    build_route,
    build_simulated_instance,
    build_stream_route,
)

_SOUTH = {'data_centre': 'south-a', 'region': 'south'}


def _choose(instance, route=None, request=None, tried=()):
    route = route or build_route()
    request = request or build_request()
    service = route.service_for(request.request_id)
    return instance.chooser.choose(request, route, service, tried)


def test_an_idle_upstream_of_the_own_region_is_preferred():
    instance = build_simulated_instance(build_member('peer', 'south'))
    instance.add_upstream(build_record('far', **_SOUTH))
    instance.add_upstream(build_record('near'))

    choice = _choose(instance)

    assert choice is not None
    assert choice.upstream == 'near'
    assert choice.candidate.via is None


def test_a_busy_region_sends_to_another_through_a_peer():
    instance = build_simulated_instance(build_member('peer', 'south'))
    instance.add_upstream(build_record('far', **_SOUTH))
    instance.add_upstream(build_record('near'))
    _record_calls(instance, 0.2)
    instance.loads.state('near').direct.in_flight = 30

    choice = _choose(instance)

    assert choice is not None
    assert choice.upstream == 'far'
    assert choice.candidate.via is not None
    assert choice.candidate.via.identity.name == 'peer'


def test_a_region_without_a_live_peer_cannot_be_reached():
    instance = build_simulated_instance()
    instance.add_upstream(build_record('far', **_SOUTH))
    assert _choose(instance) is None


def test_a_request_never_leaves_its_homes():
    instance = build_simulated_instance(build_member('peer', 'south'))
    instance.add_upstream(build_record('far', **_SOUTH))
    instance.add_upstream(build_record('near'))

    south = build_route(homes=frozenset(('south',)))
    north = build_route(homes=frozenset(('north',)))
    instance.loads.state('near').direct.in_flight = 500

    assert _choose(instance, south).upstream == 'far'
    assert _choose(instance, north).upstream == 'near'


def test_a_failing_upstream_is_avoided_for_a_while():
    instance = build_simulated_instance()
    instance.add_upstream(build_record('healthy'))
    instance.add_upstream(build_record('failing'))
    failing = instance.loads.state('failing')
    for _ in range(8):
        instance.loads.record_outcome(failing, is_failure=True)
    instance.loads.state('healthy').direct.in_flight = 5
    assert _choose(instance).upstream == 'healthy'

    instance.advance(30)
    _record_calls(instance, 0.2)
    instance.loads.state('healthy').direct.in_flight = 12
    assert _choose(instance).upstream == 'failing'


def test_a_slow_upstream_is_avoided():
    instance = build_simulated_instance()
    instance.add_upstream(build_record('healthy'))
    instance.add_upstream(build_record('slow'))
    for _ in range(20):
        instance.loads.record_latency_ratio(instance.loads.state('slow'), 8)
    assert _choose(instance).upstream == 'healthy'


def test_an_upstream_is_tried_once():
    instance = build_simulated_instance()
    instance.add_upstream(build_record('one'))
    assert _choose(instance, tried=('one',)) is None


def test_a_suspected_upstream_is_not_used():
    instance = build_simulated_instance()
    instance.add_upstream(build_record('one'))
    instance.loads.state('one').health.suspect(100)
    assert _choose(instance) is None


def _add_engines(instance, count=3):
    for number in range(count):
        instance.add_upstream(build_record(f'e{number}', service='model'))


def _build_prompt_request(shared='a1'):
    return build_request(prompt=build_prompt(shared))


def test_a_cached_prefix_does_not_make_an_answer_later():
    instance = build_simulated_instance()
    _add_engines(instance)
    route = build_stream_route()
    first = _choose(instance, route, _build_prompt_request())
    holder = 'e0' if first.upstream != 'e0' else 'e1'
    state = instance.loads.state(holder)
    state.cache.record_prefill(_build_prompt_request().prompt)

    again = _choose(instance, route, _build_prompt_request())
    assert again.expected_s <= first.expected_s


def test_instances_choose_the_same_engine_for_a_prefix():
    instances = [build_simulated_instance(), build_simulated_instance()]
    for instance in instances:
        _add_engines(instance)
    route = build_stream_route()
    for number in range(20):
        request = _build_prompt_request(f'{number:x}')
        chosen = {
            _choose(instance, route, request).upstream for instance in instances
        }
        assert len(chosen) == 1


def test_pending_prompts_of_peers_count():
    instance = build_simulated_instance()
    _add_engines(instance, 2)
    route = build_stream_route(target=build_route().limit)
    home = _choose(instance, route, _build_prompt_request()).upstream
    instance.loads.replace_peer_loads(
        'peer',
        (SharedLoad(home, 9, ((0, 150_000),)),),
    )

    assert _choose(instance, route, _build_prompt_request()).upstream != home


def test_a_relay_follows_the_choice_of_the_sender_if_it_can():
    instance = build_simulated_instance(build_member('peer', 'south'))
    instance.add_upstream(build_record('one'))
    instance.add_upstream(build_record('two'))
    instance.add_upstream(build_record('far', **_SOUTH))
    request, route = build_request(), build_route()

    for preferred in ('one', 'two'):
        choice = instance.chooser.choose_local(request, route, preferred, ())
        assert choice.upstream == preferred
    other = instance.chooser.choose_local(request, route, 'one', ('one',))
    assert other.upstream == 'two'
    assert (
        instance.chooser.choose_local(request, route, 'far', ('one', 'two'))
        is None
    )


def _record_calls(instance, seconds):
    """Records calls of a duration at an idle upstream."""
    choice = _choose(instance)
    for _ in range(30):
        instance.chooser.record_call(
            attrs.evolve(choice, requests_ahead=0),
            seconds,
        )


def test_waiting_time_does_not_count_as_call_time():
    instance = build_simulated_instance()
    instance.add_upstream(build_record('one'))
    _record_calls(instance, 0.1)
    instance.loads.state('one').direct.in_flight = 20
    queued = _choose(instance)
    for _ in range(30):
        instance.chooser.record_call(queued, queued.expected_s)

    assert _choose(instance).expected_s == queued.expected_s


def test_a_typical_failure_rate_does_not_cause_cross_region_traffic():
    instance = build_simulated_instance(build_member('peer', 'south'))
    instance.add_upstream(build_record('far', **_SOUTH))
    instance.add_upstream(build_record('near'))
    near = instance.loads.state('near')
    for number in range(30):
        instance.loads.record_outcome(near, is_failure=number % 7 == 0)

    assert _choose(instance).upstream == 'near'
