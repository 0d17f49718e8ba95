"""Tests of encoding upstream requests and decoding answers."""

from datetime import timedelta

import pytest

from masticstage.clock import milliseconds
from masticstage.forwarding.loads import ReportedLoad
from masticstage.forwarding.wire import DispatchOptions
from masticstage.platform import upstreams
from tests.forwarding_builders import build_prompt, build_request

_OPTIONS = DispatchOptions('i-7', milliseconds(1234.9), 1)


def test_a_dispatch_has_its_target_and_the_remaining_time():
    headers = dict(upstreams.dispatch_headers(build_request(), _OPTIONS))
    assert headers[b'x-target-instance'] == b'i-7'
    assert headers[b'x-deadline-ms'] == b'1234'
    assert b'x-request-priority' not in headers


def test_a_request_with_a_prompt_has_a_priority():
    request = build_request(prompt=build_prompt())
    headers = dict(upstreams.dispatch_headers(request, _OPTIONS))
    assert headers[b'x-request-priority'] == b'1'


def test_a_resumed_stream_has_the_last_event_id():
    request = build_request(last_event_id='3')
    assert dict(upstreams.dispatch_headers(request, _OPTIONS))[
        b'last-event-id'
    ] == (b'3')
    resumption = DispatchOptions('i-7', timedelta(seconds=1), 1, '5')
    headers = upstreams.dispatch_headers(request, resumption)
    assert [text for name, text in headers if name == b'last-event-id'] == [
        b'5',
    ]


def test_the_head_of_an_answer_is_read():
    facts = upstreams.read_answer(
        200,
        (
            (b'x-request-id', b'r-1'),
            (b'x-response-signature', b's'),
            (b'x-server-load', b'3,0,8'),
        ),
        'r-1',
        'i-7',
    )
    assert facts.matches_request
    assert facts.is_signed
    assert not facts.is_not_run
    assert facts.load == ReportedLoad(3, 0, 8)


@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        (503, ((b'x-not-executed', b'1'),)),
        (421, ((b'x-not-executed', b'1'),)),
        (421, ((b'x-instance-id', b'i-8'),)),
    ],
)
def test_an_upstream_reports_that_it_did_not_run_the_request(status, headers):
    assert upstreams.read_answer(status, headers, 'r-1', 'i-7').is_not_run


@pytest.mark.parametrize(
    ('status', 'headers'),
    [
        (503, ()),
        (429, ()),
        (408, ()),
        (421, ()),
        (421, ((b'x-instance-id', b'i-7'),)),
        (503, ((b'x-instance-id', b'i-8'),)),
    ],
)
def test_a_status_alone_does_not_report_that_a_request_did_not_run(
    status, headers
):
    """Guards against `not run` taken from the status of a call that ran."""
    assert not upstreams.read_answer(status, headers, 'r-1', 'i-7').is_not_run


def test_an_answer_to_another_request_does_not_match():
    headers = ((b'x-request-id', b'r-2'),)
    assert not upstreams.read_answer(200, headers, 'r-1', 'i-7').matches_request


def test_a_content_encoding_is_reported():
    headers = ((b'content-encoding', b'gzip'),)
    assert upstreams.read_answer(200, headers, 'r-1', 'i-7').is_encoded


@pytest.mark.parametrize(
    ('text', 'slowdown'),
    [
        (b'3,0,8,250', 2.5),
        (b'3,0,8,100', 1),
        (b'3,0,8,', None),
        (b'3,0,8,x', None),
        (b'3,0,8,nan', None),
        (b'3,0,8,inf', None),
        (b'3,0,8,-100', None),
        (b'3,0,8,0', None),
    ],
)
def test_a_bad_slowdown_costs_only_itself(text, slowdown):
    """Guards against loads that are dropped because of a fourth figure."""
    headers = ((b'x-server-load', text),)
    load = upstreams.read_answer(200, headers, 'r', 'i-7').load
    assert load == ReportedLoad(3, 0, 8, slowdown)


@pytest.mark.parametrize(
    'text',
    [b'', b'1,2', b'a,b,c', b'a,0,8,100', b'3,0,8,100,1', b'3,0,8,100,'],
)
def test_a_malformed_load_is_ignored(text):
    headers = ((b'x-server-load', text),)
    assert upstreams.read_answer(200, headers, 'r', 'i-7').load is None


def test_a_warm_up_is_read():
    headers = ((b'x-warmup-ms', b'1500'),)
    facts = upstreams.read_answer(200, headers, '', 'i-7')
    assert facts.cold_for == milliseconds(1500)


def test_a_dispatch_has_the_address_to_fetch_the_prefix_from():
    options = DispatchOptions('i-7', timedelta(seconds=1), 1, '', '10.0.0.9:80')
    headers = upstreams.dispatch_headers(build_request(), options)
    assert (b'kv-fetch', b'10.0.0.9:80') in headers
    assert b'kv-fetch' not in dict(
        upstreams.dispatch_headers(build_request(), _OPTIONS),
    )
