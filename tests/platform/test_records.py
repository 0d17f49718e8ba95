"""Tests of decoding the records of the platform's store."""

import json
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticstage.forwarding.published import (
    Evacuation,
    Unreadable,
    Unrelated,
    UpstreamRecord,
)
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.routes import RouteTable
from masticstage.platform.records import build_record_decoder

_DECODE = build_record_decoder({'split-a': 'dalmacija'})
_UPSTREAM = {
    'Service': 'huvo11a',
    'Address': '10.128.0.9:8080',
    'Zone': 'split-a',
    'Version': 'v1',
    'Slots': 64,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Sequence': 4,
}
_CONFIGURATION = {
    'Version': 7,
    'Routes': [
        {
            'Name': 'r-1',
            'Host': 'Ficu95.example',
            'PathPrefix': '/pufi791/',
            'Kind': 'streaming',
            'TimeoutMs': 5000,
            'TargetLatencyMs': 800,
            'Priority': 0,
            'Service': 'huvo11a',
            'MaxAttempts': 2,
            'SessionAffinity': True,
            'Resumable': True,
            'GapTargetMs': 400,
            'AllowedRegions': ['dalmacija'],
        },
        {
            'Name': 'r-2',
            'Host': 'ficu95.example',
            'PathPrefix': '/lohu930/',
            'Kind': 'unsafe',
            'TimeoutMs': 1500,
            'TrafficSplit': [
                {'Service': 'huvo11a', 'Weight': 90},
                {'Service': 'wuno96b', 'Weight': 10},
            ],
        },
    ],
    'Services': [
        {
            'Name': 'huvo11a',
            'HealthPath': '/health',
            'MaxConnections': 370,
            'WarmupPerS': 3.5,
            'Engine': {'Slots': 64, 'KvCapacity': 360066},
        },
        {'Name': 'wuno96b', 'HealthPath': '/health', 'MaxConnections': 110},
    ],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 4194304,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 15000,
    },
}


def _decode(key, fields):
    return _DECODE(key, json.dumps(fields).encode())


def test_a_configuration_becomes_routes_services_and_limits():
    table = _decode('op/config', _CONFIGURATION)

    assert isinstance(table, RouteTable)
    assert table.version == 7
    route = table.find('ficu95.example', '/pufi791/x')
    assert route is not None
    assert route.kind is CallKind.STREAMING
    assert route.is_idempotent
    assert route.limit == timedelta(seconds=5)
    assert route.homes == {'dalmacija'}
    split = table.find('ficu95.example', '/lohu930/x')
    assert split is not None
    assert [share.weight for share in split.shares] == [90, 10]
    engine = table.services['huvo11a'].engine
    assert engine is not None
    assert engine.memory_tokens == 360066
    assert table.services['wuno96b'].engine is None


def test_an_upstream_is_decoded_with_its_region_and_warm_up():
    record = _decode('servers/i-1', _UPSTREAM | {'WarmupLeftMs': 1200})

    assert isinstance(record, UpstreamRecord)
    assert record.name == 'i-1'
    assert record.region == 'dalmacija'
    assert record.cold_for == timedelta(milliseconds=1200)
    assert not record.is_leaving


def test_a_draining_upstream_is_leaving():
    record = _decode('servers/i-1', _UPSTREAM | {'State': 'draining'})
    assert isinstance(record, UpstreamRecord)
    assert record.is_leaving


def test_an_evacuation_names_its_data_centre():
    assert _decode('op/evacuate/split-a', {}) == Evacuation('split-a')


def test_records_under_other_keys_are_unrelated():
    assert _decode('op/other', {}) == Unrelated()


@pytest.mark.parametrize(
    'changes',
    [
        {'State': 'unknown'},
        {'Zone': 'elsewhere'},
        {'Address': 'no port'},
        {'Address': 5},
        {'Slots': 'many'},
        {'Service': None},
        {'WarmupLeftMs': 'soon'},
    ],
)
def test_a_record_with_a_wrong_field_is_unreadable(changes):
    assert isinstance(_decode('servers/i-1', _UPSTREAM | changes), Unreadable)


@pytest.mark.parametrize('missing', ['Service', 'Address', 'Zone', 'State'])
def test_a_record_with_a_missing_field_is_unreadable(missing):
    fields = {key: field for key, field in _UPSTREAM.items() if key != missing}
    assert isinstance(_decode('servers/i-1', fields), Unreadable)


@given(st.binary(max_size=40), st.sampled_from(['op/config', 'servers/i-1']))
def test_arbitrary_bytes_are_unreadable(body, key):
    assert isinstance(_DECODE(key, body), Unreadable)


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=6,
    ),
    st.sampled_from(sorted(_CONFIGURATION)),
)
def test_arbitrary_fields_do_not_raise(field, key):
    decoded = _decode('op/config', _CONFIGURATION | {key: field})
    assert isinstance(decoded, (RouteTable, Unreadable))


@pytest.mark.parametrize(
    'number', ['1e400', '-1e400', 'NaN', '1e30', '-1', '9' * 401]
)
@pytest.mark.parametrize('field', ['Slots', 'WarmupLeftMs', 'born'])
def test_a_number_out_of_range_makes_a_record_unreadable(field, number):
    body = json.dumps({**_UPSTREAM, field: 'x'}).replace('"x"', number)

    assert isinstance(_DECODE('servers/i-1', body.encode()), Unreadable)


_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


@given(
    field=st.sampled_from(sorted(_UPSTREAM)),
    replaced=_JSON,
)
def test_any_field_of_an_upstream_gives_a_record_or_a_reason(field, replaced):
    body = json.dumps({**_UPSTREAM, field: replaced}).encode()

    decoded = _DECODE('servers/i-1', body)

    assert isinstance(decoded, (UpstreamRecord, Unreadable))


@given(
    section=st.sampled_from(('Routes', 'Services', 'Limits', 'Version')),
    replaced=_JSON,
)
def test_any_section_of_a_configuration_gives_a_table_or_a_reason(
    section, replaced
):
    body = json.dumps({**_CONFIGURATION, section: replaced}).encode()

    decoded = _DECODE('op/config', body)

    assert isinstance(decoded, (RouteTable, Unreadable))


@given(
    place=st.sampled_from(('Routes', 'Services')),
    field=st.sampled_from(
        sorted({*_CONFIGURATION['Routes'][0], *_CONFIGURATION['Services'][0]}),
    ),
    replaced=_JSON,
)
def test_any_field_of_a_configuration_gives_a_table_or_a_reason(
    place, field, replaced
):
    first, *others = _CONFIGURATION[place]
    entries = [{**first, field: replaced}, *others]
    body = json.dumps({**_CONFIGURATION, place: entries}).encode()

    decoded = _DECODE('op/config', body)

    assert isinstance(decoded, (RouteTable, Unreadable))


@given(
    key=st.sampled_from(('op/config', 'servers/i-1', 'op/x')), body=st.binary()
)
def test_any_bytes_give_a_typed_result(key, body):
    assert isinstance(_DECODE(key, body), (Unreadable, Unrelated))


def test_a_record_nested_too_deeply_is_unreadable():
    body = b'[' * 100_000 + b']' * 100_000

    assert isinstance(_DECODE('servers/i-1', body), Unreadable)
