"""Tests of which upstreams are paced."""

import pytest

from masticstage.forwarding.evidence import Evidence
from tests.forwarding_builders import (
    SECOND,
    build_member,
    build_record,
    build_request,
    build_route,
    build_simulated_instance,
    build_stream_route,
)

_NOW_MS = 100_000


def _build_instance(*records, age_s=11):
    instance = build_simulated_instance()
    instance.advance(age_s)
    for record in records:
        instance.add_upstream(record)
    return instance


def _choose(instance, tried=()):
    return instance.chooser.choose(
        build_request(), build_route(), 'shop', tried
    )


def _paced(instance):
    _choose(instance)
    return instance.chooser.pacer.count


@pytest.mark.parametrize(
    ('age_s', 'started_at_ms', 'count'),
    [(11, _NOW_MS, 1), (11, 1, 1), (9, _NOW_MS, 0), (11, 0, 0)],
)
def test_only_an_upstream_that_has_just_started_is_paced(
    age_s, started_at_ms, count
):
    """Guards against paces of all upstreams after a start of this instance.

    Nor does the time of day matter, which a clock step changes.
    """
    record = build_record(started_at_ms=started_at_ms)
    assert _paced(_build_instance(record, age_s=age_s)) == count


def test_an_upstream_that_was_only_removed_for_a_while_is_not_paced():
    """Guards against paces of upstreams whose records expired in an outage."""
    record = build_record(started_at_ms=1)
    instance = _build_instance(record, age_s=0)
    instance.view.remove('u/u-1', instance.clock.elapsed())
    instance.advance(20)
    instance.add_upstream(record)
    assert not _paced(instance)


def test_a_restarted_upstream_is_paced_once():
    instance = _build_instance(build_record(started_at_ms=1), age_s=0)
    assert not _paced(instance)
    restarted = build_record(started_at_ms=_NOW_MS)
    instance.add_upstream(restarted)
    assert _paced(instance) == 1
    instance.advance(11)
    assert len(instance.chooser.pacer.take_changes()) == 2
    instance.add_upstream(restarted)
    assert not _paced(instance)


def test_a_pace_begins_when_a_published_warm_up_has_ended():
    """Guards against a second limit below the published one."""
    instance = _build_instance(build_record(service='model', cold_for=SECOND))
    for _ in range(2):
        instance.chooser.choose(build_request(), build_stream_route(), 'model')
        assert not instance.chooser.pacer.count
    instance.advance(1.1)
    instance.chooser.choose(build_request(), build_stream_route(), 'model')
    assert instance.chooser.pacer.count == 1


def test_reports_of_one_warm_up_begin_one_pace():
    """Guards against a limit that each answer of a cold upstream resets."""
    record = build_record(started_at_ms=1, cold_for=SECOND)
    instance = _build_instance(record)
    for _ in range(4):
        _choose(instance)
        instance.add_upstream(record)
        instance.view.record_warm_up(record.name, SECOND)
        instance.advance(0.5)
    assert len(instance.chooser.pacer.take_changes()) == 1
    instance.advance(1)
    instance.view.record_warm_up(record.name, SECOND)
    _choose(instance)
    assert len(instance.chooser.pacer.take_changes()) == 1


def _build_one_new(old_count):
    """Returns an instance with busy upstreams and an idle one at its limit."""
    new = build_record('new', started_at_ms=_NOW_MS)
    names = [f'old-{number}' for number in range(old_count)]
    instance = _build_instance(new, *map(build_record, names))
    for name in names:
        instance.loads.state(name).direct.in_flight = 20
    assert _choose(instance).upstream == 'new'
    instance.loads.state('new').direct.in_flight = 2
    return instance, names


def test_an_upstream_at_its_limit_is_left_out():
    instance, names = _build_one_new(3)
    assert _choose(instance).upstream in names
    assert _choose(instance, names).upstream == 'new'


def test_an_upstream_at_its_limit_is_used_where_few_others_are():
    """Guards against a small region whose other upstreams become late."""
    instance, _ = _build_one_new(2)
    assert _choose(instance).upstream == 'new'


def test_no_request_leaves_its_region_because_of_a_limit():
    instance = build_simulated_instance(build_member('peer', 'south'))
    instance.advance(11)
    instance.add_upstream(build_record('new', started_at_ms=_NOW_MS))
    instance.add_upstream(
        build_record('far', data_centre='south-a', region='south')
    )
    _choose(instance)
    instance.loads.state('new').direct.in_flight = 2
    assert _choose(instance).upstream == 'new'


@pytest.mark.parametrize(
    ('evidence', 'took_s', 'limit'),
    [
        (Evidence.ANSWERED, 0.1, 3),
        (Evidence.ANSWERED, 2, 1.4),
        (Evidence.NOT_RUN, 0.1, 1),
        (Evidence.MAY_HAVE_RUN, 0.1, 1),
        (Evidence.FAILED, 0.1, 2),
    ],
)
def test_outcomes_change_the_limit(evidence, took_s, limit):
    instance = _build_instance(build_record(started_at_ms=_NOW_MS))
    choice, pacer = _choose(instance), instance.chooser.pacer
    pacer.record_outcome(choice, build_route(), evidence, took_s)
    instance.advance(11)
    started, ended = pacer.take_changes()
    assert (started.limit, started.has_ended) == (2, False)
    assert (ended.limit, ended.has_ended) == (pytest.approx(limit), True)


def test_an_instance_without_a_share_uses_an_idle_upstream_in_the_end():
    """Guards against an upstream that only an idle instance may use."""
    peers = [build_member(f'peer-{number}') for number in range(9)]
    sent = set()
    for number in range(10):
        instance = build_simulated_instance(*peers, name=f'own-{number}')
        instance.advance(11)
        instance.add_upstream(build_record('new', started_at_ms=_NOW_MS))
        for old in ('old-1', 'old-2', 'old-3'):
            instance.add_upstream(build_record(old))
            instance.loads.state(old).direct.in_flight = 20
        _choose(instance)
        instance.advance(1.6)
        sent.add(_choose(instance).upstream)
    assert sent == {'new'}
