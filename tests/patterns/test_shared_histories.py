"""Load pattern: callers of several instances share ninety long histories."""

from random import Random

from tests.forwarding_builders import (
    build_prompt,
    build_record,
    build_request,
    build_route,
    build_simulated_instance,
    build_stream_route,
)

_HISTORIES = 90
_REQUESTS = 900


def _count_repeated_prefills(uses_chooser):
    """Sends prompts through three instances; counts repeated prefills."""
    random = Random(5)
    instances = [build_simulated_instance() for _ in range(3)]
    names = [f'e{number}' for number in range(6)]
    for instance in instances:
        for name in names:
            instance.add_upstream(build_record(name, service='model'))
    route = build_stream_route()
    cached = {name: set() for name in names}
    for number in range(_REQUESTS):
        instance = random.choice(instances)
        history = f'{random.randrange(_HISTORIES) + 1:x}'
        request = build_request(prompt=build_prompt(history, 6000))
        choice = instance.chooser.choose(request, route, 'model')
        name = choice.upstream if uses_chooser else names[number % len(names)]
        cached[name].add(history)
        instance.loads.state(name).cache.record_prefill(request.prompt)
    return sum(map(len, cached.values())) - _HISTORIES


def test_a_history_is_prefilled_at_one_upstream():
    assert _count_repeated_prefills(uses_chooser=True) <= 0.05 * _HISTORIES


def test_round_robin_would_prefill_most_histories_at_all_upstreams():
    assert _count_repeated_prefills(uses_chooser=False) > _HISTORIES


def test_a_busy_fleet_does_not_move_a_history_to_save_a_little_time():
    instance = build_simulated_instance()
    for number in range(3):
        instance.add_upstream(build_record(f'e{number}', service='model'))
    route = build_stream_route(target=build_route().target * 4)
    request = build_request(prompt=build_prompt('7'))
    home = instance.chooser.choose(request, route, 'model').upstream
    for number in range(3):
        # Each engine has over half a second of prefill ahead, the home more.
        counters = instance.loads.state(f'e{number}').direct
        counters.pending_tokens[0] = 36_000
    instance.loads.state(home).direct.pending_tokens[0] = 54_000

    assert instance.chooser.choose(request, route, 'model').upstream == home


def test_an_idle_engine_is_preferred_to_a_home_that_would_be_late():
    instance = build_simulated_instance()
    for number in range(3):
        instance.add_upstream(build_record(f'e{number}', service='model'))
    route = build_stream_route(target=build_route().target * 4)
    request = build_request(prompt=build_prompt('7'))
    home = instance.chooser.choose(request, route, 'model').upstream
    instance.loads.state(home).direct.pending_tokens[0] = 80_000

    assert instance.chooser.choose(request, route, 'model').upstream != home


def test_an_idle_engine_copies_a_history_instead_of_a_new_prefill():
    instance = build_simulated_instance()
    for number in range(3):
        instance.add_upstream(
            build_record(f'e{number}', service='model', address=f'{number}:1'),
        )
    route = build_stream_route(target=build_route().target * 4)
    request = build_request(prompt=build_prompt('7'))
    home = instance.chooser.choose(request, route, 'model')
    assert not home.fetch_from
    state = home.candidate.state
    state.cache.record_prefill(request.prompt)
    state.direct.pending_tokens[0] = 80_000

    other = instance.chooser.choose(request, route, 'model')

    assert other.upstream != home.upstream
    record = home.candidate.known_upstream.record
    assert other.fetch_from == record.address
    assert other.uncached_tokens == request.prompt.own_tokens
