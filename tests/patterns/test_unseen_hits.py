"""Load pattern: histories cached because of requests to other instances.

Each of many instances receives each history only once. After a restart, no
instance has a record of any, but the engines still have them cached.
"""

import attrs

from tests.forwarding_builders import (
    SimulatedInstance,
    build_prompt,
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
)

_ROUTE = build_stream_route()
_HIT_S = 0.12
_MISS_S = 0.35


def _build_engines() -> SimulatedInstance:
    instance = build_simulated_instance()
    for number in range(3):
        instance.add_upstream(build_record(f'e{number}', service='model'))
    return instance


def _choose(instance: SimulatedInstance, history: int):
    request = build_request(prompt=build_prompt(f'{history:x}'))
    return instance.chooser.choose(request, _ROUTE, 'model')


def _record_first_events(
    instance: SimulatedInstance, first_event_s: float
) -> None:
    for history in range(1, 40):
        choice = _choose(instance, history)
        instance.chooser.record_first_event(
            choice, build_prompt(), 0, first_event_s
        )


def test_early_first_events_raise_the_hit_rate():
    instance = _build_engines()
    before = _choose(instance, 99)
    _record_first_events(instance, _HIT_S)
    after = _choose(instance, 99)

    assert after.expected_s < before.expected_s
    assert after.uncached_tokens < 1000


def test_late_first_events_lower_the_hit_rate():
    instance = _build_engines()
    _record_first_events(instance, _MISS_S)
    choice = _choose(instance, 99)

    assert choice.uncached_tokens > 13_000
    assert choice.expected_s > 0.3


def test_busy_engines_and_short_prefixes_do_not_change_the_hit_rate():
    instance = _build_engines()
    choice = _choose(instance, 99)
    for ambiguous in (
        attrs.evolve(choice, backlog_tokens=50_000),
        attrs.evolve(choice, requests_ahead=3),
        attrs.evolve(choice, unverified_tokens=300),
    ):
        for _ in range(20):
            instance.chooser.record_first_event(
                ambiguous, build_prompt(), 0, _HIT_S
            )

    assert _choose(instance, 99).expected_s == choice.expected_s


def test_a_prefix_known_to_be_cached_counts_as_cached():
    instance = _build_engines()
    choice = _choose(instance, 99)
    request = build_request(prompt=build_prompt(f'{99:x}'))
    choice.candidate.state.cache.record_prefill(request.prompt)
    _record_first_events(instance, _MISS_S)
    cached = _choose(instance, 99)

    assert cached.upstream == choice.upstream
    assert cached.uncached_tokens == 500
    assert not cached.unverified_tokens
