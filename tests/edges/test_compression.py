"""Tests of compressing bodies between regions."""

import zlib
from random import Random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.edges.compression import compress, decompress
from masticstage.exceptions import InvalidRequestError
from tests.edges.deployment import deploy_two_regions, run_with_timeout

_TEXT = b'when should the tomatoes on the balcony be watered? ' * 300


@given(st.binary(max_size=5000))
def test_a_body_is_the_same_after_compression(body):
    compressed = compress(body)

    assert not compressed or decompress(compressed) == body


def test_text_takes_a_tenth():
    assert 0 < len(compress(_TEXT)) < len(_TEXT) / 10


def test_what_does_not_get_smaller_is_left_as_it_is():
    assert not compress(Random(1).randbytes(20_000))
    assert not compress(b'short')


@given(st.binary(max_size=200))
def test_bytes_that_are_no_body_are_refused(received):
    with pytest.raises(InvalidRequestError):
        decompress(received)


@pytest.mark.parametrize(
    'received',
    [zlib.compress(bytes(9_000_000)), zlib.compress(_TEXT)[:-3]],
)
def test_endless_and_broken_bodies_are_refused(received):
    with pytest.raises(InvalidRequestError):
        decompress(received)


@pytest.mark.parametrize('takes_compressed', [True, False])
def test_an_upstream_gets_the_body_that_its_caller_sent(takes_compressed):
    """Also through a peer with an older program."""

    @run_with_timeout
    async def check():
        async with deploy_two_regions() as (deployment, far):
            peer = attrs.evolve(
                far.views.members.own,
                takes_compressed=takes_compressed,
                heartbeat=9,
            )
            deployment.gateway.views.members.merge([peer])
            status, _, _ = await deployment.request(b'/stock/1', _TEXT)
            bodies = [
                body
                for replica in deployment.replicas.values()
                for body in replica.bodies
            ]
        assert status == 200
        assert bodies == [_TEXT]

    check()
