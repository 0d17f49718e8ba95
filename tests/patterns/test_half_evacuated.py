"""Load pattern: an evacuated region, with the rest reached through peers."""

from masticstage.forwarding.loads import SharedLoad
from masticstage.forwarding.published import Evacuation
from tests.forwarding_builders import (
    build_member,
    build_prompt,
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
)


def test_relayed_requests_do_not_make_an_idle_region_look_busy():
    instance = build_simulated_instance(build_member('peer', 'south'))
    instance.add_upstream(build_record('near', service='model'))
    south = {'data_centre': 'south-a', 'region': 'south'}
    for name in ('far-1', 'far-2'):
        instance.add_upstream(build_record(name, service='model', **south))
    instance.view.apply('e', Evacuation('north-a'))
    route = build_stream_route(priority=1)
    short_request = build_request(prompt=build_prompt('c4', 60))

    count = 6
    for number in range(count):
        long_request = build_request(prompt=build_prompt(f'{number + 1:x}'))
        choice = instance.chooser.choose(long_request, route, 'model')
        counters = choice.candidate.counters
        counters.in_flight += 1
        counters.pending_tokens[1] += choice.uncached_tokens
        loads = tuple(
            SharedLoad(
                name,
                instance.loads.state(name).relayed.in_flight,
                tuple(
                    instance.loads.state(name).relayed.pending_tokens.items()
                ),
            )
            for name in ('far-1', 'far-2')
        )
        instance.loads.replace_peer_loads('peer', loads)

    chosen = instance.chooser.choose(short_request, route, 'model')
    # Three prompts of 13,500 tokens are ahead, at 60 tokens a millisecond.
    assert chosen.expected_s < 1.1

    urgent = build_stream_route(priority=0)
    chosen = instance.chooser.choose(short_request, urgent, 'model')
    assert chosen.expected_s < 0.6
