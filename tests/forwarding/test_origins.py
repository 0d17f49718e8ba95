"""Tests of what is known of the origins of streams."""

from datetime import timedelta

import attrs
import pytest

from masticstage.clock import ManualClock
from masticstage.forwarding.origins.history import SoftwareHistory
from masticstage.forwarding.origins.known import (
    Origins,
    Statement,
    conclude,
    stream_lifetime,
)
from masticstage.forwarding.origins.notes import OriginNote, OriginNotes
from masticstage.forwarding.origins.origin import Origin
from tests.forwarding_builders import (
    SECOND,
    build_record,
    build_request,
    build_simulated_instance,
    build_stream_route,
    build_table,
)

_LIFETIME = 8 * SECOND
_V1 = Origin('model', 'v1')


def _build_origins():
    clock = ManualClock()
    return clock, Origins(OriginNotes(clock), SoftwareHistory(clock))


def _origin(origins, service='model'):
    return conclude([origins.state('r-1', service, _LIFETIME)])


def _observe(origins, *versions):
    for version in versions:
        origins.history.observe(build_record(service='model', software=version))


@pytest.mark.parametrize(
    ('software', 'is_allowed'), [('v1', True), ('v2', False), (None, False)]
)
def test_only_the_version_that_began_a_stream_may_go_on(software, is_allowed):
    assert _V1.allows(software) is is_allowed
    assert not Origin('model', None).allows(software)


def test_the_only_version_of_a_lifetime_began_a_stream():
    clock, origins = _build_origins()
    clock.advance(_LIFETIME)
    _observe(origins, 'v1')
    assert _origin(origins) == _V1
    assert _origin(origins, 'other') is None


def test_two_versions_of_a_lifetime_leave_the_origin_open():
    clock, origins = _build_origins()
    clock.advance(_LIFETIME)
    _observe(origins, 'v1', 'v2')
    assert _origin(origins) is None


def test_a_version_that_has_left_counts_for_a_lifetime():
    """Guards against an old version that has just left (rejoined)."""
    clock, origins = _build_origins()
    clock.advance(_LIFETIME)
    _observe(origins, 'v1')
    clock.advance(_LIFETIME)
    _observe(origins, 'v2')
    assert _origin(origins) is None
    clock.advance(SECOND)
    _observe(origins, 'v2')
    assert _origin(origins) == Origin('model', 'v2')


def test_an_instance_that_has_just_started_proves_nothing():
    """Guards against joined streams after a loss of all instances."""
    clock, origins = _build_origins()
    clock.advance(_LIFETIME - SECOND)
    _observe(origins, 'v1')
    assert _origin(origins) is None


def test_after_a_gap_nothing_is_proved_for_a_lifetime():
    clock, origins = _build_origins()
    clock.advance(_LIFETIME)
    origins.history.restart()
    _observe(origins, 'v1')
    assert _origin(origins) is None


def test_a_note_goes_before_the_versions_in_service():
    clock, origins = _build_origins()
    clock.advance(_LIFETIME)
    _observe(origins, 'v2')
    origins.notes.record('r-1', _V1)
    assert _origin(origins) == _V1


def test_a_noted_origin_of_unknown_version_is_not_proved_otherwise():
    """Guards against a stream whose version became known too late."""
    clock, origins = _build_origins()
    clock.advance(_LIFETIME)
    _observe(origins, 'v1')
    origins.notes.record('r-1', Origin('model', None))
    assert _origin(origins) == Origin('model', None)


_V2 = Origin('model', 'v2')


@pytest.mark.parametrize(
    ('statements', 'expected'),
    [
        ([], None),
        ([Statement()], None),
        ([Statement(_V1), Statement()], _V1),
        ([Statement(_V1), Statement(_V1)], _V1),
        # An instance whose view is a moment behind, and one with a note.
        ([Statement(_V1), Statement(_V2, is_noted=True)], _V2),
        ([Statement(_V1), Statement(has_several=True)], None),
        ([Statement(_V1), Statement(_V2)], None),
        (
            [
                Statement(_V1, is_noted=True),
                Statement(_V2, is_noted=True),
            ],
            None,
        ),
        ([Statement(_V1, is_noted=True), Statement(has_several=True)], _V1),
    ],
)
def test_statements_of_several_instances_are_combined(statements, expected):
    assert conclude(statements) == expected


def test_a_take_up_replaces_no_note():
    _, origins = _build_origins()
    origins.notes.record('r-1', _V1)
    origins.notes.record_take_up('r-1', _V2)
    origins.notes.record_take_up('r-2', _V2)
    assert origins.notes.find('r-1') == _V1
    assert origins.notes.find('r-2') == _V2


def test_long_ids_are_not_noted():
    _, origins = _build_origins()
    origins.notes.record('r' * 65, _V1)
    assert origins.notes.find('r' * 65) is None


def test_notes_are_sent_once_and_only_if_they_are_needed():
    _, origins = _build_origins()
    notes = origins.notes
    for number in range(3):
        notes.record(f'r-{number}', _V1)
    notes.learn(OriginNote('theirs', _V1))
    assert not notes.take_unsent(set(), 5)
    assert not notes.take_unsent({'other'}, 5)
    assert notes.take_unsent({'model'}, 2) == [
        OriginNote('r-0', _V1),
        OriginNote('r-1', _V1),
    ]
    assert notes.take_unsent({'model'}, 2) == [OriginNote('r-2', _V1)]
    assert not notes.take_unsent({'model'}, 2)


def test_a_note_of_another_instance_replaces_none():
    _, origins = _build_origins()
    origins.notes.record('r-1', _V1)
    origins.notes.learn(OriginNote('r-1', Origin('model', 'v2')))
    assert origins.notes.find('r-1') == _V1


def test_old_notes_are_dropped():
    clock, origins = _build_origins()
    origins.notes.record('r-1', _V1)
    clock.advance(5 * SECOND)
    origins.notes.record('r-2', _V1)
    origins.notes.drop_older(2 * SECOND)
    assert origins.notes.find('r-1') is None
    assert origins.notes.find('r-2') == _V1
    assert origins.notes.take_unsent({'model'}, 5) == [OriginNote('r-2', _V1)]


def test_notes_are_bounded():
    _, origins = _build_origins()
    for number in range(16_400):
        origins.notes.record(f'r-{number}', _V1)
    assert origins.notes.find('r-15') is None
    assert origins.notes.find('r-16') == _V1
    assert len(origins.notes.take_unsent({'model'}, 20_000)) == 16_384


def test_streams_last_as_long_as_the_longest_route_that_is_resumed():
    plain = build_stream_route(is_resumable=False, limit=60 * SECOND)
    table = build_table(1, build_stream_route(), plain)
    assert stream_lifetime(table) == 10 * SECOND
    assert stream_lifetime(None) == timedelta()


@pytest.mark.parametrize(
    ('told_cold', 'record_cold', 'expected'),
    [(False, False, 'v1'), (True, True, 'v1'), (True, False, None)],
)
def test_an_upstream_that_may_have_started_anew_has_no_known_version(
    told_cold, record_cold, expected
):
    """Guards against a restart under the old name with other software."""
    instance = build_simulated_instance()
    record = build_record(service='model', software='v1')
    if record_cold:
        record = attrs.evolve(record, cold_for=3 * SECOND)
    instance.add_upstream(record)
    if told_cold:
        instance.view.record_warm_up('u-1', 3 * SECOND)
    known = instance.view.find('u-1')
    assert known is not None
    assert instance.chooser.software_of(known) == expected


def test_a_late_record_makes_the_version_known_again():
    instance = build_simulated_instance()
    record = build_record(service='model', software='v1', started_at_ms=7)
    instance.add_upstream(record)
    instance.view.record_warm_up('u-1', SECOND)
    instance.advance(2)
    # Written before the start.
    instance.add_upstream(record)
    known = instance.view.find('u-1')
    assert known is not None
    assert instance.chooser.software_of(known) is None

    instance.add_upstream(attrs.evolve(record, software='v2', started_at_ms=9))

    known = instance.view.find('u-1')
    assert known is not None
    assert instance.chooser.software_of(known) == 'v2'


def test_a_relayed_stream_goes_on_only_at_its_version():
    """Guards against the choice that a peer makes again."""
    instance = build_simulated_instance()
    for name, version in (('u-1', 'v1'), ('u-2', 'v2')):
        record = build_record(name, service='model', software=version)
        instance.add_upstream(record)
    choice = instance.chooser.choose_local(
        build_request(), build_stream_route(), 'u-2', (), _V1
    )
    assert choice is not None
    assert choice.upstream == 'u-1'


def test_a_stream_goes_on_only_at_its_version():
    instance = build_simulated_instance()
    for name, version in (('u-1', 'v1'), ('u-2', 'v2')):
        record = build_record(name, service='model', software=version)
        instance.add_upstream(record)
    for version, name in (('v1', 'u-1'), ('v2', 'u-2')):
        for _ in range(5):
            choice = instance.chooser.choose(
                build_request(),
                build_stream_route(),
                'model',
                (),
                Origin('model', version),
            )
            assert choice is not None
            assert choice.upstream == name
