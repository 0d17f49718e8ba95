"""Tests of reading the body of a request: cuts, ends, malformed chunks."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.edges.request_bodies import ChunkedBody, SizedBody
from masticstage.exceptions import MalformedBodyError

_CHUNKS = b'2\r\n\r\n\r\n4;name=x\r\n\r\n\r\n\r\n0\r\nTrailer: 1\r\n\r\n'
_NEXT = b'GET / HTTP/1.1\r\n\r\n'


def _feed(reader, payload, cuts):
    """Feeds pieces; returns what follows the body."""
    bounds = [0, *sorted(min(cut, len(payload)) for cut in cuts), len(payload)]
    for start, end in zip(bounds, bounds[1:], strict=False):
        rest = reader.feed(payload[start:end])
        if reader.is_complete:
            return rest + payload[end:]
    return None


@given(cuts=st.lists(st.integers(0, 70), max_size=8))
def test_a_chunked_body_ends_at_the_same_byte_however_it_is_cut(cuts):
    """Guards against bytes of the next request that are lost or taken."""
    reader = ChunkedBody()

    assert _feed(reader, _CHUNKS + _NEXT, cuts) == _NEXT
    assert reader.body.take() == b'\r\n\r\n\r\n'


@given(cuts=st.lists(st.integers(0, 30), max_size=4))
def test_a_sized_body_ends_at_the_same_byte_however_it_is_cut(cuts):
    http = h11.Connection(h11.SERVER)
    http.receive_data(
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n'
    )
    http.next_event()
    reader = SizedBody(http, 4)

    assert _feed(reader, b'body' + _NEXT, cuts) == _NEXT
    assert reader.body.take() == b'body'


@pytest.mark.parametrize(
    'payload',
    [
        b'zz\r\n',
        b'-1\r\n',
        b'0x1\r\nx\r\n',
        b'3\r\nabcd\r\n',
        b'1\nx\r\n',
        b'fffffffffffffffffff\r\n',
        b'\r\n',
    ],
)
def test_malformed_chunks_are_refused(payload):
    """Guards against framing that another parser could read differently."""
    with pytest.raises(MalformedBodyError):
        ChunkedBody().feed(payload)


@pytest.mark.parametrize('start', [b'1;', b'0\r\nX: '])
def test_a_chunk_size_or_trailer_without_end_is_refused(start):
    reader = ChunkedBody()
    reader.feed(start)

    with pytest.raises(MalformedBodyError):
        for _ in range(10):
            reader.feed(b'x' * 32_768)


def test_a_body_in_one_byte_chunks_costs_little_more_than_its_bytes():
    """Guards against small objects that take many times their bytes."""
    reader = ChunkedBody()
    reader.feed(b'1\r\nx\r\n' * 100_000)

    assert len(reader.body) == 100_000
    assert reader.body.allocated_bytes < 150_000
