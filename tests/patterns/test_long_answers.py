"""Load pattern: answers of many events hold a slot for long, or for a moment.

The wait at a full engine depends on how long its answers take, which differs
between services and changes when the traffic shifts.
"""

from tests.forwarding_builders import (
    build_prompt,
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
)

_SLOTS = 64


def _wait_after_streams_of(seconds):
    """Returns the predicted wait at an engine that is full."""
    instance = build_simulated_instance()
    instance.add_upstream(build_record('e1', service='model'))
    route = build_stream_route()
    request = build_request(prompt=build_prompt())
    idle = instance.chooser.choose(request, route, 'model')
    for _ in range(60):
        instance.chooser.record_stream(idle, seconds)
    instance.loads.state('e1').direct.in_flight = 2 * _SLOTS
    full = instance.chooser.choose(request, route, 'model')
    return full.expected_s - idle.expected_s


def test_the_wait_at_a_full_engine_follows_the_length_of_its_answers():
    short, long = (_wait_after_streams_of(seconds) for seconds in (0.2, 4))

    assert short < 0.4
    assert 4 < long < 4.4
