"""Tests of splitting streams into events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.exceptions import UpstreamFailedError
from masticstage.forwarding.events import EventFramer

_STREAM = b''.join(
    b'id: %d\ndata: x%d\n\n' % (number, number) for number in range(1, 9)
)


@given(st.lists(st.integers(1, len(_STREAM) - 1), max_size=9))
def test_chunk_boundaries_do_not_change_the_events(cuts):
    framer = EventFramer()
    points = [0, *sorted(cuts), len(_STREAM)]
    returned = [
        framer.feed(_STREAM[start:end])
        for start, end in zip(points, points[1:], strict=False)
    ]

    assert b''.join(returned) == _STREAM
    assert framer.last_id == '8'
    assert not framer.has_partial


@given(st.integers(1, len(_STREAM) - 1))
def test_a_resumed_stream_has_no_gap_and_no_duplicate(cut):
    framer = EventFramer()
    returned = framer.feed(_STREAM[:cut])
    framer.discard_partial()

    returned += framer.feed(_STREAM)

    assert returned == _STREAM


def test_an_incomplete_event_is_not_returned():
    framer = EventFramer()
    assert framer.feed(b'id: 1\ndata: a\n\nid: 2\nda') == b'id: 1\ndata: a\n\n'
    assert framer.has_partial
    assert framer.last_id == '1'


def test_an_event_that_is_too_large_is_refused():
    framer = EventFramer()
    with pytest.raises(UpstreamFailedError):
        framer.feed(b'x' * 300_000)


def test_comments_are_passed_on_but_do_not_count():
    framer = EventFramer()

    assert framer.feed(b': still here\n\n') == b': still here\n\n'
    assert not framer.event_count
    framer.feed(b'id: 1\ndata: x\n\ndata: y\n\n')
    assert framer.event_count == 2
