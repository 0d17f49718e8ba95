"""Half of the upstreams evacuated, the rest reached through peers."""

from masticstage.forwarding.loads import SharedLoad
from masticstage.forwarding.published import Evacuation
from tests.routed import (
    build_member,
    build_prompt,
    build_record,
    build_request,
    build_stream_route,
    build_world,
)


def test_relayed_plans_do_not_make_an_idle_region_look_full():
    world = build_world(build_member('peer', 'south'))
    world.add(build_record('near', service='model'))
    south = {'data_centre': 'south-a', 'region': 'south'}
    for name in ('far-1', 'far-2'):
        world.add(build_record(name, service='model', **south))
    world.view.apply('e', Evacuation('north-a'))
    route = build_stream_route(priority=1)
    question = build_request(prompt=build_prompt('c4', 60))

    plans = 6
    for number in range(plans):
        plan = build_request(prompt=build_prompt(f'{number + 1:x}'))
        choice = world.chooser.choose(plan, route, 'model')
        occupation = choice.candidate.counters
        occupation.in_flight += 1
        occupation.pending_tokens[1] += choice.uncached_tokens
        told = tuple(
            SharedLoad(
                name,
                world.loads.state(name).relayed.in_flight,
                tuple(world.loads.state(name).relayed.pending_tokens.items()),
            )
            for name in ('far-1', 'far-2')
        )
        world.loads.replace_peer_loads('peer', told)

    chosen = world.chooser.choose(question, route, 'model')
    # Three plans of 13,500 tokens each are ahead at 60 tokens a millisecond.
    assert chosen.expected_s < 1.1

    urgent = build_stream_route(priority=0)
    chosen = world.chooser.choose(question, urgent, 'model')
    assert chosen.expected_s < 0.6
