"""Tests of decoding callers' requests and encoding answers to them."""

import json
from datetime import timedelta

import pytest

from masticstage.exceptions import InvalidRequestError
from masticstage.forwarding.requests import NO_PROMPT, PromptPart
from masticstage.forwarding.wire import EntryQuery, RawRequest
from masticstage.platform import callers, keys

_HEADERS = (
    (b'host', b'Ficu95.example:8144'),
    (b'x-request-id', b'9c41d07be2a35f68'),
    (b'x-model', b'm'),
    (b'x-token-counts', b'1460,80'),
    (b'x-prompt-prefix', b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
    (b'x-deadline-ms', b'8000'),
)


def _read(*headers, target=b'/lohu930/2f?a=b%2Fc'):
    raw = RawRequest(b'POST', target, headers, b'body', timedelta(seconds=3))
    return callers.read_request(raw)


_PART_IDS = ['5c1e07a2', '91bd3f06']


def test_a_request_is_read_with_its_prompt_and_allowance():
    request = _read(*_HEADERS)

    assert request.request_id == '9c41d07be2a35f68'
    assert request.host == 'ficu95.example'
    assert request.path == '/lohu930/2f'
    assert request.target == b'/lohu930/2f?a=b%2Fc'
    assert request.allowance == timedelta(seconds=8)
    assert request.prompt.tokens_in == 1460
    assert request.prompt.shared_prefix[-1] == PromptPart('91bd3f06', 410)


@pytest.mark.parametrize(
    'name',
    [b'x-hold', b'x-pin-ms', b'x-kv-backup', b'kv-from', b'x-target-instance'],
)
def test_headers_set_by_the_gateway_are_not_forwarded(name):
    request = _read(*_HEADERS, (name, b'forged'))
    assert name not in dict(request.headers)


def test_hop_by_hop_headers_are_not_forwarded():
    connection = (b'connection', b'close, X-Secret')
    request = _read(*_HEADERS, connection, (b'x-secret', b'1'), (b'te', b'x'))
    assert {b'connection', b'x-secret', b'te'}.isdisjoint(dict(request.headers))
    assert dict(request.headers)[b'x-model'] == b'm'


def test_a_request_without_id_is_invalid():
    with pytest.raises(InvalidRequestError):
        _read((b'host', b'x'))


@pytest.mark.parametrize('text', [b'soon', b'', b'1e400'])
def test_a_malformed_deadline_is_invalid(text):
    with pytest.raises(InvalidRequestError):
        _read((b'x-request-id', b'1'), (b'x-deadline-ms', text))


@pytest.mark.parametrize('counts', [b'many', b'1', b'1,2,3'])
def test_invalid_token_counts_are_forwarded_but_not_used(counts):
    request = _read((b'x-request-id', b'1'), (b'x-token-counts', counts))
    assert request.prompt == NO_PROMPT
    assert dict(request.headers)[b'x-token-counts'] == counts


def test_a_refusal_has_retry_after_in_fractions_of_a_second():
    headers = dict(callers.refusal_headers('1', timedelta(milliseconds=250)))
    assert headers[b'retry-after'] == b'0.250'
    assert headers[b'x-request-id'] == b'1'


def test_a_query_for_entries_is_decoded():
    target = b'/-/resolve?Name=a.example&Region=dalmacija&Zone=split-a'
    query = callers.read_entry_query(target)
    assert query == EntryQuery('dalmacija', 'split-a', 'a.example')
    assert callers.read_entry_query(b'/-/other') is None


def test_a_list_of_entries_is_encoded():
    answer = callers.write_entries(('10.1.0.35:8144',))
    assert json.loads(answer.body)['Addresses'] == ['10.1.0.35:8144']


@pytest.mark.parametrize(
    'header',
    [
        (b'x-token-counts', b'-1,80'),
        (b'x-token-counts', b'1460,-80'),
        (b'x-token-counts', b'99999999999,80'),
        (b'x-prompt-prefix', b'5c1e07a2:-800,91bd3f06:410'),
        (b'x-prompt-prefix', b'5c1e07a2:99999999999,91bd3f06:410'),
    ],
)
def test_counts_that_make_no_sense_leave_only_the_ids_of_parts(header):
    """Guards against parts that escape a quarantine by false counts."""
    prompt = _read(*_HEADERS, header).prompt

    assert (prompt.tokens_in, prompt.tokens_out) == (0, 0)
    assert not any(part.tokens for part in prompt.parts)
    assert [part.part_id for part in prompt.parts][:2] == _PART_IDS


def test_parts_with_an_unreadable_id_leave_the_prompt_out():
    header = (b'x-prompt-prefix', b'no-hex:800,91bd3f06:410')

    assert _read(*_HEADERS, header).prompt == NO_PROMPT


@pytest.mark.parametrize(
    ('credentials', 'key'),
    [
        ((b'Bearer k-1',), 'k-1'),
        ((b'bearer  k-1 ',), 'k-1'),
        ((), ''),
        ((b'Basic k-1',), ''),
        ((b'k-1',), ''),
        ((b'Bearer k-1', b'Bearer k-1'), ''),
        ((b'Bearer \xff',), '\xff'),
    ],
)
def test_only_a_single_bearer_key_is_read(credentials, key):
    headers = [(b'authorization', text) for text in credentials]
    request = _read(*_HEADERS, *headers)

    assert request.key == key
    assert 'k-1' not in repr(request)


def test_a_team_replaces_the_key_and_the_callers_own_name():
    headers = (
        (b'authorization', b'Bearer k'),
        (b'x-tenant', b'forged'),
        (b'x-model', b'm'),
    )

    named = keys.name_team(headers, 'red')
    assert named == ((b'x-model', b'm'), (b'x-tenant', b'red'))
    assert keys.name_team(headers, '') == ((b'x-model', b'm'),)


@pytest.mark.parametrize(
    ('counts', 'total'),
    [
        (b'1460,80', 1540),
        (b' 1460 , 80 ', 1540),
        (b'0,0', 0),
        (b'1000000000,1', 1_000_000_001),
        (b'1000000001,1', None),
        (b'-1,80', None),
        (b'1_0,80', None),
        (b'x,80', None),
        (b'80', None),
        (b'1,2,3', None),
        (b'', None),
        (b'9' * 5000 + b',1', None),
    ],
)
def test_a_request_counts_for_a_limit_what_its_header_states(counts, total):
    """Also if its prompt parts are unusable."""
    parts = (b'x-prompt-prefix', b'no-hex:1')
    request = _read(*_HEADERS, (b'x-token-counts', counts), parts)
    assert request.counted_tokens == total
