"""Tests that checks find violations and accept correct histories."""

import attrs
import pytest

from bench.checks import (
    check_cut_off,
    check_graceful_shutdown,
    check_leaving,
)
from bench.deployments import BALKON
from bench.faults import FaultLog, Interval
from bench.history import CHECKS, History, Observation
from bench.monitor import ConfigurationSample, check_configuration
from bench.workload import Operation
from masticstage.outcomes import Outcome
from standins.engine import digest_request, expected_text

CALL = Operation(0, 'call', 'zagreb', 'once', {'call': 'call'})
QUESTION = Operation(
    0,
    'question',
    'zagreb',
    'private',
    {'max_tokens': 3, 'messages': []},
)
EXECUTED = {'event': 'executed', 'call': 'call', 'upstream': 'zagreb-b-app-0'}
STARTED = {
    'event': 'started',
    'stream': 'question.1',
    'upstream': 'zagreb-b-engine-0',
}
CALL_RESULT = Observation(
    CALL,
    outcome=Outcome.RAN,
    body=b'{"call": "call", "done": true}',
)
MODEL_RESULT = Observation(
    QUESTION,
    text=expected_text(digest_request(QUESTION.encode()), 'stream', 3),
    stream_id='stream',
)


def find_violations(name, *observations, records=(), audits=()):
    history = History(BALKON, observations, records, audits)
    return list(CHECKS[name](history))


def test_correct_history_passes_all_checks():
    records = (EXECUTED, STARTED)
    for name in CHECKS:
        assert not find_violations(
            name, CALL_RESULT, MODEL_RESULT, records=records
        )


def test_second_execution_is_caught():
    assert find_violations(
        'at_most_once', CALL_RESULT, records=(EXECUTED, EXECUTED)
    )


def test_false_not_run_is_caught():
    reported = attrs.evolve(CALL_RESULT, outcome=Outcome.NOT_RUN)
    assert find_violations('not_run', reported, records=(EXECUTED,))


@pytest.mark.parametrize(
    'text',
    [
        '',
        MODEL_RESULT.text[:-1],
        MODEL_RESULT.text + MODEL_RESULT.text,
        expected_text(digest_request(b'other'), 'stream', 3),
        expected_text(digest_request(QUESTION.encode()), 'mixed', 3),
    ],
)
def test_incomplete_or_foreign_answer_is_caught(text):
    assert find_violations(
        'whole_answer', attrs.evolve(MODEL_RESULT, text=text)
    )


def test_answer_to_another_call_is_caught():
    foreign = attrs.evolve(CALL_RESULT, body=b'{"call": "b", "done": true}')
    assert find_violations('call_answers', foreign)


def test_answer_from_outside_the_home_region_is_caught():
    away = {**STARTED, 'upstream': 'split-a-engine-0'}
    assert find_violations('residency', MODEL_RESULT, records=(away,))


def test_second_transfer_is_caught():
    audit = {
        'message': 'request transferred',
        'subject': 'question',
        'detail': 'split-a-0 path zagreb-b',
    }
    assert find_violations('no_loop', MODEL_RESULT, audits=(audit,))


def test_third_crash_is_caught():
    records = [
        {'event': 'crashed', 'digest': 'd', 'upstream': f'engine-{number}'}
        for number in range(3)
    ]
    assert find_violations('quarantine', records=tuple(records))
    assert not find_violations('quarantine', records=tuple(records[:2]))


def test_work_at_a_leaving_upstream_is_caught():
    fault_log = FaultLog(leaving=[Interval('zagreb-b-engine-0', 100, 200)])
    late = {**STARTED, 'at_s': 106.0}
    early = {**STARTED, 'at_s': 104.0}
    assert list(check_leaving(History(BALKON, (), (late,)), fault_log))
    assert not list(check_leaving(History(BALKON, (), (early,)), fault_log))


def test_request_interrupted_by_a_drain_is_caught():
    fault_log = FaultLog(kinds=['drain_instance'])
    resumed = attrs.evolve(MODEL_RESULT, resumes=1)
    assert list(
        check_graceful_shutdown(History(BALKON, (resumed,), ()), fault_log)
    )
    assert not list(
        check_graceful_shutdown(History(BALKON, (MODEL_RESULT,), ()), fault_log)
    )


def test_unserved_request_of_a_cut_off_region_is_caught(monkeypatch):
    monkeypatch.setattr('bench.checks._wall_clock_offset_s', float)
    cut = Interval('zagreb-b', 100, 110)
    fault_log = FaultLog(kinds=['cut_region'], cut_off=[cut])
    served = attrs.evolve(MODEL_RESULT, started_s=104, ended_s=105)
    failed = attrs.evolve(served, failure='no entry answered')
    late = attrs.evolve(served, ended_s=111)
    assert not list(check_cut_off(History(BALKON, (served,), ()), fault_log))
    assert list(check_cut_off(History(BALKON, (failed,), ()), fault_log))
    assert list(check_cut_off(History(BALKON, (late,), ()), fault_log))


def test_rollback_of_a_version_is_caught():
    samples = [
        ConfigurationSample('x', 1, 2, 'd'),
        ConfigurationSample('x', 2, 1, 'd'),
    ]
    assert list(check_configuration(samples, FaultLog()))


def test_late_activation_of_a_version_is_caught():
    fault_log = FaultLog(published=[Interval('2', 100)])
    late = [
        ConfigurationSample('x', 99, 1, 'd'),
        ConfigurationSample('x', 104, 1, 'd'),
    ]
    in_time = [
        ConfigurationSample('x', 99, 1, 'd'),
        ConfigurationSample('x', 102, 2, 'd'),
    ]
    assert list(check_configuration(late, fault_log))
    assert not list(check_configuration(in_time, fault_log))
