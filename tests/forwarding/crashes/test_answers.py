"""Tests of remembering complete answers."""

from math import inf

from masticstage.forwarding.crashes.answers import _CAPACITY, AnsweredCauses
from masticstage.forwarding.crashes.causes import Cause


def _cause(number):
    return Cause(is_part=True, digest=number)


def test_the_last_answer_counts():
    answers = AnsweredCauses()
    assert answers.last_s(_cause(1)) == -inf
    for answered_at_s in (1, 2, 3):
        answers.record(_cause(1), answered_at_s)
        assert answers.last_s(_cause(1)) == answered_at_s


def test_both_kinds_are_bounded_and_lose_the_oldest():
    """Guards against memory that grows with the number of prompts."""
    answers = AnsweredCauses()
    for number in range(_CAPACITY + 9):
        for _ in range(2):
            answers.record(_cause(number), number)
    for number in range(2 * _CAPACITY):
        answers.record(_cause(-number - 1), number)

    assert len(answers._once) == _CAPACITY
    assert len(answers._repeated) == _CAPACITY
    assert answers.last_s(_cause(_CAPACITY + 8)) == _CAPACITY + 8
    assert answers.last_s(_cause(0)) == -inf
    assert answers.last_s(_cause(-1)) == -inf


def test_an_answer_is_recent_for_a_moment():
    answers = AnsweredCauses()
    answers.record(_cause(1), 10)

    assert answers.is_recent(_cause(1), 11.9)
    assert not answers.is_recent(_cause(1), 12.1)
    assert not answers.is_recent(_cause(2), 0)
