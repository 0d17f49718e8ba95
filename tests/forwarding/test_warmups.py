"""Tests of the limit on requests to a cold upstream."""

from itertools import repeat

import attrs

from masticstage.forwarding.choice import Chooser
from masticstage.forwarding.warmups.senders import (
    chosen_sender,
    cold_interval_s,
)
from masticstage.membership import Liveness
from tests.forwarding_builders import (
    SECOND,
    build_member,
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
)

#: Age from which an instance knows its peers, in seconds.
_AGE_S = 5


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
    instance = build_simulated_instance(age_s=_AGE_S)
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
        _may_send(
            build_simulated_instance(build_member(name), age_s=_AGE_S), name
        )
        for name in ('peer-1', 'peer-2')
    )
    names = ['own', 'peer-1']
    assert own is (chosen_sender('u-1', names) == 'own')
    assert other is (chosen_sender('u-1', ['own', 'peer-2']) == 'own')


def test_a_record_from_before_a_start_does_not_end_its_warm_up():
    """Guards against old records that are applied after a health answer."""
    instance = build_simulated_instance(age_s=_AGE_S)
    record = build_record(service='model')
    instance.add_upstream(record)
    instance.view.record_warm_up('u-1', 3 * SECOND)

    instance.add_upstream(record)

    known = instance.view.find('u-1')
    assert known is not None
    assert instance.chooser.is_cold(known)


def test_a_copy_from_before_does_not_end_a_warm_up():
    """Guards against a restored platform that knows an older record."""
    instance = build_simulated_instance()
    record = build_record(service='model', started_at_ms=7)
    instance.add_upstream(attrs.evolve(record, cold_for=3 * SECOND))

    instance.view.apply_rolled_back('u/u-1', record, 5 * SECOND)

    known = instance.view.find('u-1')
    assert known is not None
    assert instance.chooser.is_cold(known)


def test_parts_of_a_region_that_are_cut_off_together_stay_within_the_limit():
    """Guards against a sender in each part, each at the full rate."""
    names = [f'peer-{number}' for number in range(12)]
    parts = [names[:1], names[1:2], names[2:3], names[3:]]
    most = sum(map(_most_in_a_second, map(_cut_off, parts, repeat(names))))
    assert most <= 1.5 * 3.5 + 3


def test_instances_that_have_just_started_send_nothing_to_cold_upstreams():
    """Guards against a sender for each instance that knows no other yet."""
    instance = build_simulated_instance(age_s=0.5)
    assert _count_sent(instance, 1) == 0


def _cut_off(part, names):
    """Returns the instances of a part, to which all others are gone."""
    instances = []
    for name in part:
        peers = [
            attrs.evolve(
                build_member(peer),
                liveness=Liveness.LIVE if peer in part else Liveness.GONE,
            )
            for peer in names
            if peer != name
        ]
        instances.append(
            build_simulated_instance(*peers, name=name, age_s=_AGE_S)
        )
    return instances


def _most_in_a_second(instances):
    return sum(_count_sent(instance, 1) for instance in instances)


def _count_sent(instance, seconds):
    """Counts requests to a cold upstream; there is one to send each 10 ms."""
    _add_cold_upstream(instance)
    sent = 0
    for _ in range(round(100 * seconds)):
        choice = instance.chooser.choose(
            build_request(), build_stream_route(), 'model'
        )
        if choice is not None:
            instance.chooser.record_cold_dispatch(choice)
            sent += 1
        instance.advance(0.01)
    return sent


def _may_send(instance, _name):
    _add_cold_upstream(instance)
    chooser: Chooser = instance.chooser
    route = build_stream_route()
    return chooser.choose(build_request(), route, 'model') is not None
