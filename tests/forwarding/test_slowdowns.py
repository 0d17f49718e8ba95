"""Tests of the momentary slowdown that upstreams report."""

import attrs
import pytest

from masticstage.forwarding.loads import ReportedLoad
from masticstage.forwarding.prefix_homes import find_prefix_source
from tests.forwarding_builders import (
    build_prompt,
    build_record,
    build_request,
    build_route,
    build_simulated_instance,
    build_stream_route,
)


def _build_instance(*names, service='shop'):
    instance = build_simulated_instance()
    for name in names:
        instance.add_upstream(build_record(name, service=service))
    return instance


def _report(instance, name, slowdown):
    state = instance.loads.state(name)
    instance.loads.record_report(state, ReportedLoad(0, 0, 6, slowdown))
    return state


def _slowdown(instance, state):
    return state.slowdown.expected(instance.clock.elapsed().total_seconds())


def _choose(instance, request=None, route=None, service='shop'):
    request, route = request or build_request(), route or build_route()
    return instance.chooser.choose(request, route, service)


def test_a_slow_moment_enters_the_expected_time_and_loses_weight():
    """Guards against an upstream avoided for a moment that has passed."""
    instance = _build_instance('one')
    usual_s = _choose(instance).expected_s
    _report(instance, 'one', 2.5)
    assert _choose(instance).expected_s == pytest.approx(2.5 * usual_s)
    expected = []
    for _ in range(8):
        instance.advance(0.4)
        expected.append(_choose(instance).expected_s)
    assert expected == sorted(expected, reverse=True)
    assert expected[0] < 1.9 * usual_s
    assert expected[-1] < 1.02 * usual_s


def test_an_upstream_at_a_slow_moment_is_avoided():
    instance = _build_instance('one', 'two')
    for slow, other in (('one', 'two'), ('two', 'one')):
        _report(instance, slow, 2.5)
        _report(instance, other, 1)
        assert _choose(instance).upstream == other


def test_a_report_without_a_slowdown_keeps_the_last_one():
    instance = _build_instance('one')
    state = _report(instance, 'one', 2)
    _report(instance, 'one', None)
    assert _slowdown(instance, state) == 2


@pytest.mark.parametrize(('reported', 'used'), [(0.01, 0.5), (1e9, 10)])
def test_an_absurd_slowdown_is_bounded(reported, used):
    instance = _build_instance('one')
    state = _report(instance, 'one', reported)
    assert _slowdown(instance, state) == used


def test_a_slow_moment_is_not_learnt():
    """Guards against a slow moment taken for a slow service."""
    instance = _build_instance('one')
    usual = _choose(instance)
    state = _report(instance, 'one', 2.5)
    slow = _choose(instance)
    for choice in (usual, slow):
        took_s = choice.at_usual_speed(
            slow.expected_s, _slowdown(instance, state)
        )
        assert took_s == pytest.approx(usual.expected_s)
        assert choice.usual_s == pytest.approx(usual.expected_s)


def test_a_wait_for_a_slot_is_not_slowed_down():
    choice = attrs.evolve(
        _choose(_build_instance('one')), expected_s=1.25, service_s=0.25
    )
    assert choice.at_usual_speed(1.5, 2) == pytest.approx(1.25)
    assert choice.at_usual_speed(1.25, 1) == 1.25


def test_the_home_of_a_prompt_does_not_move_at_a_slow_moment():
    instance = _build_instance('e1', 'e2', 'e3', service='model')
    request, route = build_request(prompt=build_prompt()), build_stream_route()
    home = _choose(instance, request, route, 'model').upstream
    _report(instance, home, 2.5)
    finder = instance.chooser._finder
    candidates = list(finder.candidates(route, 'model'))
    assert find_prefix_source(request.prompt, candidates).name == home
