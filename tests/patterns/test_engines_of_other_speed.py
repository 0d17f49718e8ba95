"""Load pattern: engines of a service prefill faster or slower than others'.

A prediction with a fixed speed takes prompts for late that are on time, or the
other way round, and refuses or moves the wrong ones.
"""

from random import Random

import pytest

from masticstage.forwarding.requests import Prompt, PromptPart
from tests.forwarding_builders import (
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
)

_SHARED = PromptPart('a1', 6000)


def _first_event_s(tokens, tokens_per_s, random):
    return 0.04 + tokens / tokens_per_s + random.uniform(0, 0.01)


def _build_request(own_tokens):
    parts = (_SHARED, PromptPart('ff', own_tokens))
    prompt = Prompt(parts, _SHARED.tokens + own_tokens, 100)
    return build_request(prompt=prompt)


def _expect_after_observations(tokens_per_s, own_tokens, count=150):
    """Returns the time expected for a prompt whose shared part is cached."""
    instance, random = build_simulated_instance(), Random(2)
    instance.add_upstream(build_record('e1', service='model'))
    state = instance.loads.state('e1', memory_tokens=360_000)
    state.cache.record_parts([_SHARED])
    route, chooser = build_stream_route(), instance.chooser
    for _ in range(count):
        request = _build_request(random.choice((300, 2900, 9000)))
        choice = chooser.choose(request, route, 'model')
        observed_s = _first_event_s(
            choice.uncached_tokens, tokens_per_s, random
        )
        chooser.record_first_event(choice, request.prompt, 0, observed_s)
    request = _build_request(own_tokens)
    return chooser.choose(request, route, 'model').expected_s


@pytest.mark.parametrize('tokens_per_s', [30_000, 93_000, 157_000])
@pytest.mark.parametrize('own_tokens', [300, 9000])
def test_the_speed_of_prefill_is_learnt(tokens_per_s, own_tokens):
    expected_s = 0.045 + own_tokens / tokens_per_s

    assert _expect_after_observations(
        tokens_per_s, own_tokens
    ) == pytest.approx(expected_s, rel=0.15)
