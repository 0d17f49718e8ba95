"""Tests of the descriptions of requests by masticstage-explain."""

import json

import pytest

from masticstage.explain import steps_of
from masticstage.explain_program import run


def _line(time, event, request='r-1', **fields):
    line = {
        'time': time,
        'instance': 'n-1',
        'event': event,
        'request': request,
        **fields,
    }
    return json.dumps(line, separators=(',', ':'))


_DISPATCHED = {
    'upstream': 'u-1',
    'via': None,
    'expected_ms': 20,
    'remaining_ms': 900,
    'in_flight': 3,
    'bound_ms': 400,
    'tried': [],
}


def test_steps_of_several_instances_are_ordered_by_time():
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

    descriptions = [step.describe() for step in steps_of('r-1', lines)]

    assert len(descriptions) == 3
    assert 'sent to u-1' in descriptions[0]
    assert 'did not run the request' in descriptions[1]
    assert descriptions[2].endswith('refused with status 503: no upstream')


def test_an_unknown_event_is_described_by_its_fields():
    text = steps_of('r-1', [_line('1', 'new_event', depth=4)])[0].describe()
    assert text.endswith('new_event: depth 4')


@pytest.mark.parametrize('files', [(), ('missing.log',)])
def test_missing_log_files_are_reported(files, capsys):
    with pytest.raises(SystemExit):
        run('r-1', *files)
    assert 'expected' in capsys.readouterr().err


def test_a_saved_log_is_read(tmp_path, capsys):
    path = tmp_path / 'node.log'
    path.write_text(_line('1', 'answered', took_ms=12))
    run('r-1', str(path))
    assert 'answered completely after 12 ms' in capsys.readouterr().out


def test_a_request_beyond_its_team_limit_is_explained():
    fields = {
        'team': 'red',
        'tokens': 900,
        'balance': 20,
        'region_level': 10,
        'answer_age_ms': 40,
        'retry_after_ms': 300,
    }
    steps = steps_of('r-1', [_line('t', 'quota_refused', **fields)])
    assert 'team red asked for 900 tokens and had 20 here' in (
        steps[0].describe()
    )
    assert '10 in its region 40 ms before' in steps[0].describe()
