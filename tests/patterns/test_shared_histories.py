"""Ninety long histories that callers of several instances share."""

from random import Random

from tests.routed import (
    build_prompt,
    build_record,
    build_request,
    build_route,
    build_stream_route,
    build_world,
)

_HISTORIES = 90
_PLANS = 900


def _read_again(is_shared):
    """Plays plans over three instances; returns parts read twice or more."""
    random = Random(5)
    worlds = [build_world() for _ in range(3)]
    names = [f'e{number}' for number in range(6)]
    for world in worlds:
        for name in names:
            world.add(build_record(name, service='model'))
    route = build_stream_route()
    held = {name: set() for name in names}
    for number in range(_PLANS):
        world = random.choice(worlds)
        history = f'{random.randrange(_HISTORIES) + 1:x}'
        request = build_request(prompt=build_prompt(history, 6000))
        choice = world.chooser.choose(request, route, 'model')
        name = choice.upstream if is_shared else names[number % len(names)]
        held[name].add(history)
        world.loads.state(name).cache.record_prefill(request.prompt)
    return sum(map(len, held.values())) - _HISTORIES


def test_a_history_is_read_at_one_upstream_whoever_asks():
    assert _read_again(is_shared=True) <= 0.05 * _HISTORIES


def test_taking_turns_would_read_most_of_them_everywhere():
    assert _read_again(is_shared=False) > _HISTORIES


def test_a_busy_fleet_does_not_spread_histories_for_a_little_time():
    world = build_world()
    for number in range(3):
        world.add(build_record(f'e{number}', service='model'))
    route = build_stream_route(target=build_route().target * 4)
    plan = build_request(prompt=build_prompt('7'))
    home = world.chooser.choose(plan, route, 'model').upstream
    for number in range(3):
        # Each engine has over half a second of prompts to read; the home more.
        occupation = world.loads.state(f'e{number}').direct
        occupation.pending_tokens[0] = 36_000
    world.loads.state(home).direct.pending_tokens[0] = 54_000

    assert world.chooser.choose(plan, route, 'model').upstream == home


def test_an_idle_engine_takes_a_history_from_a_home_that_would_be_late():
    world = build_world()
    for number in range(3):
        world.add(build_record(f'e{number}', service='model'))
    route = build_stream_route(target=build_route().target * 4)
    plan = build_request(prompt=build_prompt('7'))
    home = world.chooser.choose(plan, route, 'model').upstream
    world.loads.state(home).direct.pending_tokens[0] = 80_000

    assert world.chooser.choose(plan, route, 'model').upstream != home


def test_an_idle_engine_copies_a_history_rather_than_read_it_again():
    world = build_world()
    for number in range(3):
        world.add(
            build_record(f'e{number}', service='model', address=f'{number}:1')
        )
    route = build_stream_route(target=build_route().target * 4)
    plan = build_request(prompt=build_prompt('7'))
    home = world.chooser.choose(plan, route, 'model')
    assert not home.fetch_from
    state = home.candidate.state
    state.cache.record_prefill(plan.prompt)
    state.direct.pending_tokens[0] = 80_000

    away = world.chooser.choose(plan, route, 'model')

    assert away.upstream != home.upstream
    record = home.candidate.known.record
    assert away.fetch_from == record.address
    assert away.uncached_tokens == plan.prompt.own_tokens
