"""Tests of collecting a body in blocks."""

from hypothesis import given
from hypothesis import strategies as st

from masticstage.edges.body_buffer import BodyBuffer


@given(parts=st.lists(st.binary(max_size=40_000), max_size=6))
def test_a_body_is_what_was_added(parts):
    body = BodyBuffer()
    for part in parts:
        body.append(part)

    assert len(body) == sum(map(len, parts))
    assert body.join() == b''.join(parts)
    assert body.take() == b''.join(parts)
    assert not len(body)


def test_a_body_of_single_bytes_takes_little_more_than_its_bytes():
    """Guards against a list entry for each small chunk."""
    body = BodyBuffer()
    for _ in range(100_000):
        body.append(b'x')

    assert body.allocated_bytes < 130_000
