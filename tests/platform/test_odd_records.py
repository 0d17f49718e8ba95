"""Tests of records that another writer left, and of all that uses them."""

import json
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.edges.messages import pack_loads
from masticstage.forwarding.published import Unreadable, UpstreamRecord
from masticstage.forwarding.wire import DispatchOptions
from masticstage.platform.records import build_record_decoder
from masticstage.platform.upstreams import dispatch_headers, read_answer
from tests.forwarding_builders import (
    build_request,
    build_route,
    build_simulated_instance,
)

_DECODE = build_record_decoder({'north-a': 'north'})
_UPSTREAM = {
    'Service': 'shop',
    'Address': '10.128.0.9:8080',
    'Zone': 'north-a',
    'Version': 'v1',
    'Slots': 64,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Sequence': 4,
    'born': 1,
}
_NUMBERS = (
    st.integers(-(10**6), 10**6)
    | st.floats()
    | st.sampled_from((10**400, -(10**400), 86_399_999_913_600_000, 65_536))
)
_ADDRESSES = st.sampled_from(
    (
        '127.0.0.1:99999',
        '127.0.0.1:0',
        '127.0.0.1:-1',
        '127.0.0.1:\u0663',
        '127.0.0.1:\u00b2',
        'host:80',
        '1.2.3:80',
        '[::1]:80',
        ':80',
        '10.0.0.1',
        '10.0.0.1:80:90',
        '10.0.0.1:80\n',
    )
)
_ODD = (
    st.none()
    | st.booleans()
    | _NUMBERS
    | _ADDRESSES
    | st.text()
    | st.text(st.characters(categories=('Cs',)), min_size=1)
    | st.lists(st.none(), max_size=2)
    | st.dictionaries(st.text(), st.none(), max_size=2)
)


def _decode(name, **changes):
    body = json.dumps({**_UPSTREAM, **changes}).encode()
    return _DECODE(f'servers/{name}', body)


@pytest.mark.parametrize(
    'address',
    ['127.0.0.1:99999', '127.0.0.1:0', 'host:80', ':80', '10.0.0.1:\u0663'],
)
def test_an_address_that_is_none_makes_a_record_unreadable(address):
    """Guards against answers that are cut by an odd entry (review/1)."""
    assert isinstance(_decode('i-1', Address=address), Unreadable)


@pytest.mark.parametrize('depth', [200, 900, 5_000, 100_000])
def test_a_nested_field_costs_only_its_record(depth):
    nested = '[' * depth + ']' * depth
    body = json.dumps({**_UPSTREAM, 'Address': 'x'}).replace('"x"', nested)
    assert isinstance(_DECODE('servers/i-1', body.encode()), Unreadable)


def test_the_reason_for_an_unreadable_record_is_short():
    assert len(_decode('i-1', State='x' * 100_000).reason) <= 200


@given(
    name=st.text(min_size=1) | st.just('i-1'),
    changes=st.dictionaries(
        st.sampled_from(sorted(_UPSTREAM)), _ODD, min_size=1, max_size=3
    ),
)
def test_whatever_is_decoded_can_be_used(name, changes):
    """Guards against records that fail behind the decoder."""
    record = _decode(name, **changes)
    if isinstance(record, Unreadable):
        return
    assert isinstance(record, UpstreamRecord)
    instance = build_simulated_instance()
    instance.add_upstream(record)
    chosen = instance.chooser.choose(
        build_request(), build_route(), record.service, set()
    )
    if chosen is not None:
        assert chosen.expected_s >= 0
        instance.chooser.is_cold(chosen.candidate.known_upstream)
    options = DispatchOptions(record.name, timedelta(seconds=1), 0)
    dispatch_headers(build_request(), options)
    pack_loads(instance.loads.own_loads())
    json.dumps(record.name, default=str)
    host, _, port = record.address.rpartition(':')
    assert host.count('.') == 3
    assert 0 < int(port) < 65_536


@given(
    load=st.lists(_NUMBERS, min_size=3, max_size=3),
    warmup=_NUMBERS,
)
def test_numbers_of_an_answer_are_bounded(load, warmup):
    """Guards against requests that fail because of an answer's header."""
    fields = (
        (b'x-server-load', ','.join(map(str, load)).encode()),
        (b'x-warmup-ms', str(warmup).encode()),
    )
    facts = read_answer(200, fields, 'r-1', 'i-7')

    assert timedelta() <= facts.cold_for < timedelta(days=200)
    if facts.load is not None:
        assert 0 <= facts.load.running / max(1, facts.load.slots) < 1e16
