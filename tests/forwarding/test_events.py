"""Tests of cutting streams at event boundaries."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.exceptions import UpstreamFailedError
from masticstage.forwarding.events import EventFramer

_STREAM = b''.join(b'id: %d\ndata: x%d\n\n' % (one, one) for one in range(1, 9))


@given(st.lists(st.integers(1, len(_STREAM) - 1), max_size=9))
def test_any_cutting_gives_the_same_whole_events(cuts):
    framer = EventFramer()
    points = [0, *sorted(cuts), len(_STREAM)]
    passed = [
        framer.feed(_STREAM[start:end])
        for start, end in zip(points, points[1:], strict=False)
    ]

    assert b''.join(passed) == _STREAM
    assert framer.last_id == '8'
    assert not framer.has_partial


@given(st.integers(1, len(_STREAM) - 1))
def test_a_resumed_stream_has_no_gap_and_no_repetition(cut):
    framer = EventFramer()
    passed = framer.feed(_STREAM[:cut])
    framer.discard_partial()

    passed += framer.feed(_STREAM)

    assert passed == _STREAM


def test_a_cut_event_is_never_passed_on():
    framer = EventFramer()
    assert framer.feed(b'id: 1\ndata: a\n\nid: 2\nda') == b'id: 1\ndata: a\n\n'
    assert framer.has_partial
    assert framer.last_id == '1'


def test_an_event_without_end_is_refused():
    framer = EventFramer()
    with pytest.raises(UpstreamFailedError):
        framer.feed(b'x' * 300_000)
