"""Load pattern: engines are emptied, in a release or an evacuation.

The prefixes that they hold are needed elsewhere at once. Reading one again
takes an engine forty times as long as copying it.
"""

import attrs
import pytest

from masticstage.forwarding.published import Evacuation
from tests.forwarding_builders import (
    build_prompt,
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
)

_PROMPT = build_prompt('7')
_REQUEST = build_request(prompt=_PROMPT)


def _build_instance():
    """Returns an instance and the upstream that holds the prefix."""
    instance = build_simulated_instance()
    for number in range(6):
        place = {'data_centre': f'north-{"ab"[number % 2]}'}
        instance.add_upstream(
            build_record(
                f'e{number}', service='model', address=f'{number}:1', **place
            ),
        )
    holder = _choose(instance).candidate
    holder.state.cache.record_prefill(_PROMPT)
    return instance, holder.known_upstream.record


def _choose(instance, **route_changes):
    route = build_stream_route(**route_changes)
    return instance.chooser.choose(_REQUEST, route, 'model')


def _leave(instance, record):
    instance.add_upstream(attrs.evolve(record, is_leaving=True))


def _evacuate(instance, record):
    instance.view.apply('e', Evacuation(record.data_centre))


@pytest.mark.parametrize('empty', [_leave, _evacuate])
def test_a_prefix_is_copied_from_an_engine_that_is_emptied(empty):
    instance, holder = _build_instance()
    empty(instance, holder)

    for _ in range(20):
        choice = _choose(instance)
        assert choice.upstream != holder.name
        assert choice.fetch_from == holder.address
        assert choice.uncached_tokens == _PROMPT.own_tokens


def test_an_engine_that_still_serves_is_preferred_as_source():
    instance, holder = _build_instance()
    _leave(instance, holder)
    second = _choose(instance)
    second.candidate.state.cache.record_prefill(_PROMPT)

    choice = _choose(instance)
    assert choice.upstream == second.upstream
    assert not choice.fetch_from


def test_no_prefix_is_copied_from_an_engine_that_is_gone():
    instance, holder = _build_instance()
    instance.view.remove(f'u/{holder.name}', instance.clock.elapsed())

    assert _choose(instance).fetch_from != holder.address


def test_no_prefix_leaves_the_homes_of_its_route():
    instance, holder = _build_instance()
    elsewhere = attrs.evolve(holder, region='south', is_leaving=True)
    instance.add_upstream(elsewhere)

    bound = _choose(instance, homes=frozenset(('north',)))
    assert bound.fetch_from != holder.address
    assert _choose(instance).fetch_from == holder.address
