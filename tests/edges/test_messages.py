"""Tests of converting what peers tell each other to and from messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage import peer_pb2 as pb
from masticstage.edges.messages import (
    decode_cause,
    decode_load,
    decode_prefixes,
    encode_cause,
    encode_load,
    encode_prefix,
    hash_name,
    pack_loads,
    unpack_loads,
)
from masticstage.forwarding.crashes.causes import Cause
from masticstage.forwarding.crashes.crash_causes import CauseReport
from masticstage.forwarding.health import Outcomes
from masticstage.forwarding.loads import SharedLoad
from masticstage.forwarding.prefix_reports import PrefixReport
from masticstage.forwarding.requests import PromptPart

_COUNTS = st.integers(0, 100_000)
_LOADS = st.lists(
    st.builds(
        SharedLoad,
        st.text('abc', min_size=1),
        _COUNTS,
        st.dictionaries(st.integers(-9, 9), _COUNTS).map(
            lambda by: tuple(sorted(by.items())),
        ),
        st.builds(Outcomes, st.integers(0, 99), st.integers(0, 99)),
    ),
    unique_by=lambda load: load.upstream,
)


def _names(loads):
    return {hash_name(load.upstream): load.upstream for load in loads}


def _without_zeros(load):
    pending = {by: tokens for by, tokens in load.pending_tokens if tokens}
    return (load.upstream, load.in_flight, pending, load.outcomes)


@given(_LOADS)
def test_packed_loads_are_read_as_they_were(loads):
    packed = pb.PackedLoads.FromString(pack_loads(loads).SerializeToString())

    unpacked = unpack_loads(packed, _names(loads))

    assert list(map(_without_zeros, unpacked)) == list(
        map(_without_zeros, loads),
    )


@given(_LOADS)
def test_single_loads_are_read_as_they_were(loads):
    assert [decode_load(encode_load(load)) for load in loads] == loads


@given(st.integers(max_value=2**40), st.integers(max_value=2**40))
def test_counts_out_of_range_are_sent_as_the_nearest_ones(in_flight, tokens):
    load = SharedLoad('a', in_flight, ((0, tokens),))

    unpacked = unpack_loads(pack_loads([load]), _names([load]))

    assert unpacked[0].in_flight == min(max(in_flight, 0), 2**32 - 1)
    assert unpacked[0].pending_tokens[0][1] == min(max(tokens, 0), 2**32 - 1)


def test_packed_loads_take_a_third_of_the_bytes():
    loads = [
        SharedLoad(
            f'i-{number:08x}', 3, ((0, 400), (1, 9000)), Outcomes(0.1, 5)
        )
        for number in range(28)
    ]
    single = sum(len(encode_load(load).SerializeToString()) for load in loads)

    assert len(pack_loads(loads).SerializeToString()) < single / 3


def test_prefixes_are_read_as_they_were():
    known = PrefixReport('e-1', (PromptPart('a1', 700), PromptPart('ff', 9)))
    unknown = PrefixReport('e-2', (PromptPart('a1', 700),))
    messages = [encode_prefix(known), encode_prefix(unknown)]

    names = {hash_name('e-1'): 'e-1'}

    assert list(decode_prefixes(messages, names)) == [known]
    assert not list(decode_prefixes([pb.PrefixReport(upstream=1)], {1: 'e'}))


def test_upstreams_that_are_not_known_are_left_out():
    loads = [SharedLoad('a', 1, ()), SharedLoad('b', 2, ())]

    unpacked = unpack_loads(pack_loads(loads), _names(loads[1:]))

    assert unpacked == (loads[1],)


@pytest.mark.parametrize(
    'packed',
    [
        pb.PackedLoads(upstreams=[1, 2], in_flight=[1]),
        pb.PackedLoads(upstreams=[1], in_flight=[1], tokens=[5]),
        pb.PackedLoads(upstreams=[1], priorities=[0, 1], tokens=[5]),
    ],
)
def test_lists_that_do_not_fit_together_are_refused(packed):
    with pytest.raises(ValueError):
        unpack_loads(packed, {1: 'a', 2: 'b'})


@pytest.mark.parametrize('answered_age_s', [None, 0, 12.5])
def test_a_cause_of_crashes_is_the_same_after_its_way(answered_age_s):
    report = CauseReport(
        Cause(is_part=True, digest=7, depth=2),
        frozenset((1, 2)),
        frozenset((3,)),
        4.5,
        answered_age_s,
    )

    decoded = decode_cause(encode_cause(report))
    assert decoded == report
    assert decoded.cause.depth == 2
