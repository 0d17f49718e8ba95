"""Tests of which requests may be retried, given the evidence."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.evidence import (
    MAX_REJECTIONS,
    AttemptHistory,
    Evidence,
    classify_answer,
)
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.wire import AnswerFacts, NamedRequest
from tests.forwarding_builders import build_route, build_stream_route

_UNSAFE = build_route(kind=CallKind.UNSAFE, max_attempts=3)
_NOT_RESUMABLE = build_stream_route(is_resumable=False, max_attempts=3)
_POSSIBLE_RUNS = st.sampled_from([Evidence.MAY_HAVE_RUN, Evidence.FAILED])


@pytest.mark.parametrize('route', [_UNSAFE, _NOT_RESUMABLE])
@given(evidence=_POSSIBLE_RUNS)
def test_a_request_that_may_have_run_is_not_retried_unless_idempotent(
    route,
    evidence,
):
    history = AttemptHistory(route)
    history.record('u-1', Evidence.NOT_RUN)
    assert history.may_dispatch()

    history.record('u-2', evidence)

    assert not history.may_dispatch()


@given(st.lists(st.sampled_from(list(Evidence)), max_size=12))
def test_a_safe_request_runs_at_most_max_attempts_times(outcomes):
    history = AttemptHistory(build_route(max_attempts=2))
    runs = 0
    for number, evidence in enumerate(outcomes):
        if not history.may_dispatch():
            break
        history.record(f'u-{number}', evidence)
        runs += evidence not in {Evidence.NOT_SENT, Evidence.NOT_RUN}

    assert runs <= 2


def test_dispatches_end_after_a_number_of_rejections():
    history = AttemptHistory(_UNSAFE)
    for number in range(MAX_REJECTIONS):
        assert history.may_dispatch()
        history.record(f'u-{number}', Evidence.NOT_RUN)

    assert not history.may_dispatch()
    assert not history.may_have_run


def test_a_refused_connection_does_not_count_against_the_budget():
    history = AttemptHistory(_UNSAFE)
    history.record('u-1', Evidence.NOT_SENT)
    assert not history.has_reached_upstream

    history.record('u-2', Evidence.NOT_RUN)
    assert history.has_reached_upstream


_VALID_ANSWER = AnswerFacts(
    200,
    named_request=NamedRequest.THIS,
    is_not_run=False,
    is_signed=True,
    is_encoded=False,
)


@pytest.mark.parametrize(
    ('changes', 'evidence'),
    [
        ({}, Evidence.ANSWERED),
        ({'is_signed': False}, Evidence.MAY_HAVE_RUN),
        ({'named_request': NamedRequest.ANOTHER}, Evidence.MAY_HAVE_RUN),
        ({'is_encoded': True}, Evidence.MAY_HAVE_RUN),
        ({'status': 302}, Evidence.MAY_HAVE_RUN),
        ({'status': 500}, Evidence.FAILED),
        ({'status': 503, 'is_not_run': True}, Evidence.NOT_RUN),
        ({'status': 503}, Evidence.FAILED),
        (
            {
                'status': 503,
                'is_not_run': True,
                'named_request': NamedRequest.ANOTHER,
            },
            Evidence.MAY_HAVE_RUN,
        ),
        (
            {
                'status': 503,
                'is_not_run': True,
                'named_request': NamedRequest.NONE,
            },
            Evidence.MAY_HAVE_RUN,
        ),
        ({'status': 200, 'is_not_run': True}, Evidence.MAY_HAVE_RUN),
    ],
)
def test_only_a_signed_answer_to_this_request_counts_as_answered(
    changes,
    evidence,
):
    assert classify_answer(attrs.evolve(_VALID_ANSWER, **changes)) is evidence


@given(
    facts=st.builds(
        AnswerFacts,
        st.integers(200, 599),
        named_request=st.sampled_from(NamedRequest),
        is_not_run=st.booleans(),
        is_signed=st.booleans(),
        is_encoded=st.booleans(),
    )
)
def test_a_caller_is_told_not_run_only_by_a_statement_about_its_request(facts):
    """Guards against a promise that rests on a status or on another answer."""
    is_stated = (
        facts.is_not_run
        and facts.named_request is NamedRequest.THIS
        and facts.status >= 400
    )
    history = AttemptHistory(_UNSAFE)
    history.record('u-1', classify_answer(facts))

    assert history.may_have_run is not is_stated
    assert history.may_dispatch() is is_stated
    if facts.status in {408, 421, 429, 503}:
        assert not history.may_return(facts.status)
