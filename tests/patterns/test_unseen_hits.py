"""Load pattern: histories that other instances have had read.

Each of many instances sees a history once; after a restart none is known to
anybody, though the engines still hold them.
"""

import attrs

from tests.routed import (
    World,
    build_prompt,
    build_record,
    build_request,
    build_stream_route,
    build_world,
)

_ROUTE = build_stream_route()
_OWN_S = 0.12
_ALL_S = 0.35


def _engines() -> World:
    world = build_world()
    for number in range(3):
        world.add(build_record(f'e{number}', service='model'))
    return world


def _ask(world: World, subject: int):
    request = build_request(prompt=build_prompt(f'{subject:x}'))
    return world.chooser.choose(request, _ROUTE, 'model')


def _see(world: World, first_event_s: float) -> None:
    for subject in range(1, 40):
        choice = _ask(world, subject)
        world.chooser.record_first_event(choice, build_prompt(), first_event_s)


def test_first_events_that_come_soon_make_homes_trusted():
    world = _engines()
    before = _ask(world, 99)
    _see(world, _OWN_S)
    after = _ask(world, 99)

    assert after.expected_s < before.expected_s
    assert after.uncached_tokens < 1000


def test_first_events_that_come_late_make_reading_expected():
    world = _engines()
    _see(world, _ALL_S)
    choice = _ask(world, 99)

    assert choice.uncached_tokens > 13_000
    assert choice.expected_s > 0.3


def test_busy_engines_and_short_parts_teach_nothing():
    world = _engines()
    choice = _ask(world, 99)
    for unclear in (
        attrs.evolve(choice, backlog_tokens=50_000),
        attrs.evolve(choice, requests_ahead=3),
        attrs.evolve(choice, unverified_tokens=300),
    ):
        for _ in range(20):
            world.chooser.record_first_event(unclear, build_prompt(), _OWN_S)

    assert _ask(world, 99).expected_s == choice.expected_s


def test_what_is_known_to_be_held_is_not_doubted():
    world = _engines()
    choice = _ask(world, 99)
    request = build_request(prompt=build_prompt(f'{99:x}'))
    choice.candidate.state.cache.record_prefill(request.prompt)
    _see(world, _ALL_S)
    known = _ask(world, 99)

    assert known.upstream == choice.upstream
    assert known.uncached_tokens == 500
    assert not known.unverified_tokens
