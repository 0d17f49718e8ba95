"""Tests of the limit on requests to a cold upstream."""

from masticstage.forwarding.choice import Chooser
from masticstage.forwarding.warmups import chosen_sender, cold_interval_s
from tests.forwarding_builders import (
    SECOND,
    build_member,
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
)


def _add_cold_upstream(instance):
    instance.add_upstream(build_record(service='model', cold_for=60 * SECOND))


def test_all_instances_that_agree_choose_the_same_sender():
    names = ['a', 'b', 'c']
    assert chosen_sender('u', names) == chosen_sender('u', reversed(names))


def test_two_senders_together_stay_within_the_limit():
    for rate in (0.5, 3.5, 20):
        in_a_second = 1 / cold_interval_s(rate) + 1
        assert 2 * in_a_second <= 1.5 * rate + 3


def test_a_cold_upstream_gets_no_more_than_its_rate():
    instance = build_simulated_instance()
    _add_cold_upstream(instance)
    sent = 0
    for _ in range(100):
        choice = instance.chooser.choose(
            build_request(),
            build_stream_route(),
            'model',
        )
        if choice is not None:
            instance.chooser.record_cold_dispatch(choice)
            sent += 1
        instance.advance(0.01)

    assert 1 <= sent <= 3.5


def test_only_one_of_two_instances_sends_to_a_cold_upstream():
    own, other = (
        _may_send(build_simulated_instance(build_member(name)), name)
        for name in ('peer-1', 'peer-2')
    )
    names = ['own', 'peer-1']
    assert own is (chosen_sender('u-1', names) == 'own')
    assert other is (chosen_sender('u-1', ['own', 'peer-2']) == 'own')


def _may_send(instance, _name):
    _add_cold_upstream(instance)
    chooser: Chooser = instance.chooser
    route = build_stream_route()
    return chooser.choose(build_request(), route, 'model') is not None
