"""Tests of telling a request's life from logs."""

import json

import pytest

from masticstage.explain import life_of
from masticstage.explain_program import run


def _line(time, event, request='r-1', **inputs):
    fields = {
        'time': time,
        'instance': 'n-1',
        'event': event,
        'request': request,
        **inputs,
    }
    return json.dumps(fields, separators=(',', ':'))


_DISPATCHED = {
    'upstream': 'u-1',
    'via': None,
    'expected_ms': 20,
    'remaining_ms': 900,
    'in_flight': 3,
    'bound_ms': 400,
    'tried': [],
}


def test_steps_of_several_instances_are_told_in_order():
    lines = [
        '  1.2 n-2 ' + _line('03', 'refused', status=503, reason='no upstream'),
        _line('01', 'dispatched', **_DISPATCHED),
        _line('02', 'dispatched', request='r-2', **_DISPATCHED),
        'not JSON',
        '{"time":"04","event":"cut off',
        _line(
            '02',
            'dispatch_ended',
            upstream='u-1',
            evidence='not-run',
            reason='',
            took_ms=3,
        ),
    ]

    told = [step.sentence() for step in life_of('r-1', lines)]

    assert len(told) == 3
    assert 'sent to u-1' in told[0]
    assert 'did not run the request' in told[1]
    assert told[2].endswith('answered 503 itself: no upstream')


def test_an_unknown_event_is_told_with_its_inputs():
    told = life_of('r-1', [_line('1', 'new_event', depth=4)])[0].sentence()
    assert told.endswith('new_event: depth 4')


@pytest.mark.parametrize('files', [(), ('missing.log',)])
def test_wrong_input_is_explained(files, capsys):
    with pytest.raises(SystemExit):
        run('r-1', *files)
    assert 'expected' in capsys.readouterr().err


def test_a_saved_log_is_read(tmp_path, capsys):
    path = tmp_path / 'node.log'
    path.write_text(_line('1', 'answered', took_ms=12))
    run('r-1', str(path))
    assert 'answered whole after 12 ms' in capsys.readouterr().out
