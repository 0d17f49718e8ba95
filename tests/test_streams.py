"""Tests of the framing of model answers."""

from itertools import pairwise

import pytest
from hypothesis import given, settings, strategies

from masticstage.exceptions import UpstreamFailedError
from masticstage.streams import MAX_EVENT_BYTES, AnswerFramer
from tests.builders import build_end, build_event

ANSWER = b''.join(build_event(index) for index in range(5)) + build_end(5)


@settings(derandomize=True, deadline=None)
@given(strategies.lists(strategies.integers(0, len(ANSWER)), max_size=8))
def test_returned_events_do_not_depend_on_the_chunks(cuts):
    framer = AnswerFramer('engine')
    bounds = [0, *sorted(cuts), len(ANSWER)]
    chunks = [ANSWER[start:end] for start, end in pairwise(bounds)]
    blocks = [framer.feed(chunk) for chunk in chunks]
    assert b''.join(blocks) == ANSWER
    assert framer.ended


@settings(derandomize=True, deadline=None)
@given(strategies.integers(0, 200))
def test_only_complete_events_are_returned(cut):
    block = AnswerFramer('engine').feed(ANSWER[:cut])
    assert not block or block.endswith(b'\n\n')


def test_partial_event_is_not_returned():
    framer = AnswerFramer('engine')
    partial = build_event(1)[:9]
    assert framer.feed(build_event(0) + partial) == build_event(0)
    assert framer.last_index == 0
    framer.reopen(0)
    assert framer.feed(build_event(1)) == build_event(1)


def test_too_long_event_is_refused():
    framer = AnswerFramer('engine')
    with pytest.raises(UpstreamFailedError):
        framer.feed(b'x' * (MAX_EVENT_BYTES + 1))


def test_event_without_id_is_refused():
    with pytest.raises(UpstreamFailedError):
        AnswerFramer('engine').feed(b'data: rubbish\n\n')
