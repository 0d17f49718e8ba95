"""Load pattern: long plans and short questions at the same engines.

While an engine reads a long prompt its answers nearly stand still; questions
that wait long enough end at their deadline.
"""

import pytest

from masticstage.forwarding.places import Choice
from masticstage.forwarding.requests import Prompt, PromptPart
from tests.routed import (
    World,
    build_prompt,
    build_record,
    build_request,
    build_stream_route,
    build_world,
)

_ROUTE = build_stream_route()
_QUESTION = Prompt((PromptPart('b', 90), PromptPart('c', 290)), 380, 50)


def _region(count: int) -> World:
    world = build_world()
    for number in range(count):
        world.add(build_record(f'e{number}', service='model'))
    return world


def _choose(world: World, prompt: Prompt) -> Choice:
    request = build_request(prompt=prompt)
    choice = world.chooser.choose(request, _ROUTE, 'model')
    assert choice
    return choice


def _homes(world: World) -> set[str]:
    """Returns where plans about many subjects go while all are idle."""
    prompts = [build_prompt(f'{number:x}') for number in range(1, 200)]
    return {_choose(world, prompt).upstream for prompt in prompts}


@pytest.mark.parametrize('count', [8, 10, 15])
def test_questions_go_to_engines_that_read_no_plans(count):
    world = _region(count)
    reading = _homes(world)
    answering = {_choose(world, _QUESTION).upstream for _ in range(50)}

    assert 0 < len(reading) < count
    assert answering
    assert not reading & answering


def test_plans_spill_over_when_their_engines_are_full():
    world = _region(9)
    for name in _homes(world):
        state = world.loads.state(name)
        state.direct.in_flight = 60
        state.direct.pending_tokens[0] = 200_000

    assert _choose(world, build_prompt()).upstream not in _homes(_region(9))


@pytest.mark.parametrize('count', [1, 2, 3, 6])
def test_the_few_engines_of_a_small_region_serve_both(count):
    world = _region(count)

    assert len(_homes(world)) == count
    assert _choose(world, _QUESTION).cost < 0.06
