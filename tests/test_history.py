"""Tests of the checks of the proofs: each must catch a broken history."""

import attrs
import pytest

from bench.checks import (
    check_cut_off,
    check_graceful_shutdown,
    check_leaving,
)
from bench.deployments import BALKON
from bench.faults import Interval, Ledger
from bench.history import CHECKS, History, Observation
from bench.monitor import Sighting, check_configuration
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
ANSWERED = Observation(
    CALL,
    outcome=Outcome.RAN,
    body=b'{"call": "call", "done": true}',
)
TOLD = Observation(
    QUESTION,
    text=expected_text(digest_request(QUESTION.encode()), 'stream', 3),
    stream_id='stream',
)


def find(name, *observations, records=(), audits=()):
    history = History(BALKON, observations, records, audits)
    return list(CHECKS[name](history))


def test_sound_history_passes_all_checks():
    records = (EXECUTED, STARTED)
    for name in CHECKS:
        assert not find(name, ANSWERED, TOLD, records=records)


def test_second_execution_is_caught():
    assert find('at_most_once', ANSWERED, records=(EXECUTED, EXECUTED))


def test_false_not_run_is_caught():
    told = attrs.evolve(ANSWERED, outcome=Outcome.NOT_RUN)
    assert find('not_run', told, records=(EXECUTED,))


@pytest.mark.parametrize(
    'text',
    [
        '',
        TOLD.text[:-1],
        TOLD.text + TOLD.text,
        expected_text(digest_request(b'other'), 'stream', 3),
        expected_text(digest_request(QUESTION.encode()), 'mixed', 3),
    ],
)
def test_answer_that_is_not_whole_is_caught(text):
    assert find('whole_answer', attrs.evolve(TOLD, text=text))


def test_answer_to_another_call_is_caught():
    crossed = attrs.evolve(ANSWERED, body=b'{"call": "b", "done": true}')
    assert find('call_answers', crossed)


def test_service_outside_the_home_region_is_caught():
    away = {**STARTED, 'upstream': 'split-a-engine-0'}
    assert find('residency', TOLD, records=(away,))


def test_second_transfer_is_caught():
    audit = {
        'message': 'request transferred',
        'subject': 'question',
        'detail': 'split-a-0 path zagreb-b',
    }
    assert find('no_loop', TOLD, audits=(audit,))


def test_third_crash_is_caught():
    records = [
        {'event': 'crashed', 'digest': 'd', 'upstream': f'engine-{number}'}
        for number in range(3)
    ]
    assert find('quarantine', records=tuple(records))
    assert not find('quarantine', records=tuple(records[:2]))


def test_work_at_a_leaving_upstream_is_caught():
    ledger = Ledger(leaving=[Interval('zagreb-b-engine-0', 100, 200)])
    late = {**STARTED, 'at_s': 106.0}
    early = {**STARTED, 'at_s': 104.0}
    assert list(check_leaving(History(BALKON, (), (late,)), ledger))
    assert not list(check_leaving(History(BALKON, (), (early,)), ledger))


def test_cut_off_request_in_a_drain_is_caught():
    ledger = Ledger(kinds=['drain_instance'])
    resumed = attrs.evolve(TOLD, resumes=1)
    assert list(
        check_graceful_shutdown(History(BALKON, (resumed,), ()), ledger)
    )
    assert not list(
        check_graceful_shutdown(History(BALKON, (TOLD,), ()), ledger)
    )


def test_unserved_request_of_a_cut_off_region_is_caught(monkeypatch):
    monkeypatch.setattr('bench.checks._skew_s', float)
    cut = Interval('zagreb-b', 100, 110)
    ledger = Ledger(kinds=['cut_region'], cut_off=[cut])
    served = attrs.evolve(TOLD, started_s=104, ended_s=105)
    failed = attrs.evolve(served, failure='no entry answered')
    late = attrs.evolve(served, ended_s=111)
    assert not list(check_cut_off(History(BALKON, (served,), ()), ledger))
    assert list(check_cut_off(History(BALKON, (failed,), ()), ledger))
    assert list(check_cut_off(History(BALKON, (late,), ()), ledger))


def test_version_that_goes_back_is_caught():
    sightings = [Sighting('x', 1, 2, 'd'), Sighting('x', 2, 1, 'd')]
    assert list(check_configuration(sightings, Ledger()))


def test_late_version_is_caught():
    ledger = Ledger(published=[Interval('2', 100)])
    late = [Sighting('x', 99, 1, 'd'), Sighting('x', 104, 1, 'd')]
    in_time = [Sighting('x', 99, 1, 'd'), Sighting('x', 102, 2, 'd')]
    assert list(check_configuration(late, ledger))
    assert not list(check_configuration(in_time, ledger))
