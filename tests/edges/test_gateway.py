"""An entry instance over real sockets, with replicas that inject faults."""

import pytest
import trio

from masticstage.clock import milliseconds
from masticstage.edges.http_client import OutgoingRequest
from masticstage.forwarding.requests import CallKind
from standins.faults import Fault
from tests.edges.deployment import deploy_entry, run_with_timeout
from tests.forwarding_builders import (
    build_route,
    build_stream_route,
    build_table,
)

_ID = b'x-request-id'

_PROMPT = (
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)
_EVENTS = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(1, 7)
)


@run_with_timeout
async def test_an_answer_comes_back_unchanged():
    async with deploy_entry() as deployment:
        status, headers, body = await deployment.request(b'/stock/1')
    assert status == 200
    assert body.startswith(b'answer of shop-')
    assert headers[b'x-response-signature'].endswith(b'r-1')


@run_with_timeout
async def test_a_stream_is_returned_complete():
    async with deploy_entry() as deployment:
        status, _, body = await deployment.request(
            b'/ask/1',
            b'question',
            *_PROMPT,
        )
    assert status == 200
    assert body == _EVENTS


@pytest.mark.parametrize(
    'fault',
    [
        Fault.OTHER_ID,
        Fault.OTHER_NOT_RUN,
        Fault.UNSIGNED,
        Fault.CUT,
        Fault.RESET,
        Fault.HALF_CLOSED,
        Fault.ERROR,
        Fault.NOT_RUN,
        Fault.MISDIRECTED,
    ],
)
def test_a_safe_request_is_answered_by_another_upstream(fault):
    @run_with_timeout
    async def check():
        async with deploy_entry() as deployment:
            deployment.inject_faults(fault, prefix='shop-1')
            for _ in range(4):
                status, headers, body = await deployment.request(b'/stock/1')
                assert status == 200
                signer = headers[b'x-response-signature'].split(b'.')[0]
                assert body == b'answer of ' + signer

    check()


@pytest.mark.parametrize(
    ('fault', 'status'),
    [
        (Fault.OTHER_ID, 502),
        (Fault.OTHER_NOT_RUN, 502),
        (Fault.UNSIGNED, 502),
        (Fault.CUT, 502),
        (Fault.RESET, 502),
        (Fault.HALF_CLOSED, 502),
        (Fault.ERROR, 500),
    ],
)
def test_an_unsafe_request_runs_only_once_after_any_fault(fault, status):
    @run_with_timeout
    async def check():
        unsafe_route = build_route(kind=CallKind.UNSAFE, max_attempts=3)
        async with deploy_entry(build_table(1, unsafe_route)) as deployment:
            deployment.inject_faults(fault)
            answered, _, _ = await deployment.request(b'/stock/1', b'order')
            assert answered == status
            assert deployment.executed_ids() == ['r-1']

    check()


@pytest.mark.parametrize('fault', [Fault.NOT_RUN, Fault.MISDIRECTED])
def test_an_unsafe_request_is_retried_if_it_did_not_run(fault):
    @run_with_timeout
    async def check():
        unsafe_route = build_route(kind=CallKind.UNSAFE)
        async with deploy_entry(build_table(1, unsafe_route)) as deployment:
            deployment.inject_faults(fault, prefix='shop-1')
            status, _, _ = await deployment.request(b'/stock/1', b'order')
            assert status == 200
            assert deployment.executed_ids() == ['r-1']

    check()


@run_with_timeout
async def test_a_request_that_ran_nowhere_is_refused_as_not_run():
    unsafe_route = build_route(kind=CallKind.UNSAFE)
    async with deploy_entry(build_table(1, unsafe_route)) as deployment:
        deployment.inject_faults(*[Fault.NOT_RUN] * 9)
        status, headers, _ = await deployment.request(b'/stock/1', b'order')
        assert status == 503
        assert b'retry-after' in headers
        assert not deployment.executed_ids()


@pytest.mark.parametrize('fault', [Fault.CUT, Fault.CUT_IN_EVENT])
def test_a_resumed_stream_is_complete(fault):
    @run_with_timeout
    async def check():
        async with deploy_entry() as deployment:
            deployment.inject_faults(fault, prefix='model-1')
            for _ in range(3):
                _, _, body = await deployment.request(
                    b'/ask/1',
                    b'question',
                    *_PROMPT,
                )
                assert body == _EVENTS

    check()


@pytest.mark.parametrize('fault', [Fault.CUT, Fault.CUT_IN_EVENT])
@pytest.mark.parametrize('is_resumable', [True, False])
def test_a_stream_that_cannot_be_resumed_is_cut_off(fault, is_resumable):
    @run_with_timeout
    async def check():
        stream_route = build_stream_route(is_resumable=is_resumable)
        async with deploy_entry(build_table(1, stream_route)) as deployment:
            deployment.inject_faults(fault, fault)
            _, _, body, is_complete = await deployment.request_partial(
                b'/ask/1',
                b'question',
                *_PROMPT,
            )
            assert not is_complete
            assert body
            assert _EVENTS.startswith(body)
            assert body.endswith(b'\n\n')
            assert len(deployment.executed_ids()) == 1 + is_resumable

    check()


@pytest.mark.parametrize(
    'fault',
    [
        Fault.ERROR,
        Fault.TEXT,
        Fault.NOT_RUN,
        Fault.CUT_IN_HEAD,
        Fault.OTHER_ID,
        Fault.UNSIGNED,
    ],
)
@pytest.mark.parametrize('cut', [Fault.CUT, Fault.CUT_IN_EVENT])
def test_no_error_appears_in_a_stream_that_has_begun(fault, cut):
    """Guards against errors of an upstream that should resume a stream."""

    @run_with_timeout
    async def check():
        async with deploy_entry() as deployment:
            order = [cut, fault]

            def draw_fault():
                return order.pop(0) if order else fault

            for replica in deployment.replicas.values():
                replica.draw_fault = draw_fault
            _, _, body, is_complete = await deployment.request_partial(
                b'/ask/1',
                b'question',
                *_PROMPT,
            )
            assert not is_complete
            assert body
            assert _EVENTS.startswith(body)

    check()


@pytest.mark.parametrize('path', [b'/stock/1', b'/ask/1'])
def test_an_answer_that_breaks_off_within_its_head_is_no_success(path):
    """Guards against a head that is cut and passed on as a whole answer."""

    @run_with_timeout
    async def check():
        async with deploy_entry() as deployment:
            deployment.inject_faults(*[Fault.CUT_IN_HEAD] * 9)
            prompt = _PROMPT if path == b'/ask/1' else ()
            status, _, _ = await deployment.request(path, b'', *prompt)
            assert status == 502

    check()


@run_with_timeout
async def test_a_stream_without_length_is_complete_at_a_proper_end():
    async with deploy_entry() as deployment:
        deployment.inject_faults(Fault.UNFRAMED)
        _, _, body = await deployment.request(b'/ask/1', b'?', *_PROMPT)
        assert body == _EVENTS


@pytest.mark.parametrize(
    'fault', [Fault.UNFRAMED_CUT_IN_EVENT, Fault.UNFRAMED_RESET]
)
def test_a_stream_without_length_that_breaks_off_is_not_complete(fault):
    """Guards against a break that is taken for the end of a stream."""

    @run_with_timeout
    async def check():
        stream_route = build_stream_route(is_resumable=False)
        async with deploy_entry(build_table(1, stream_route)) as deployment:
            deployment.inject_faults(fault)
            status, _, body, is_complete = await deployment.request_partial(
                b'/ask/1',
                b'question',
                *_PROMPT,
            )
            assert status == 502 or not is_complete
            assert status == 502 or _EVENTS.startswith(body)

    check()


@run_with_timeout
async def test_extra_bytes_after_an_answer_reach_no_request():
    async with deploy_entry() as deployment:
        deployment.inject_faults(*[Fault.EXTRA] * 4)
        for number in range(1, 9):
            status, headers, _ = await deployment.request(b'/stock/1')
            assert status == 200
            assert headers[_ID] == b'r-%d' % number


@run_with_timeout
async def test_an_answer_without_length_is_complete_at_a_proper_end():
    async with deploy_entry() as deployment:
        deployment.inject_faults(Fault.UNFRAMED)
        status, headers, body = await deployment.request(b'/stock/1')
        assert status == 200
        assert int(headers[b'content-length']) == len(body)


@run_with_timeout
async def test_a_caller_that_disconnects_cancels_its_upstream_request():
    async with deploy_entry() as deployment:
        deployment.inject_faults(Fault.SILENT, Fault.SILENT)
        connection = await deployment.open()
        headers = ((b'host', b'shop.example'), (_ID, b'r-1'))
        outgoing = OutgoingRequest(b'GET', b'/stock/1', headers)
        await connection.send(outgoing, deployment.gateway.spawn)
        await trio.sleep(0.1)
        assert (
            sum(
                replica.open_requests
                for replica in deployment.replicas.values()
            )
            == 1
        )

        connection.close()
        await trio.sleep(0.3)

        assert not any(
            replica.open_requests for replica in deployment.replicas.values()
        )


@run_with_timeout
async def test_a_wait_ends_at_the_route_limit():
    unsafe_route = build_route(kind=CallKind.UNSAFE, limit=milliseconds(400))
    async with deploy_entry(build_table(1, unsafe_route)) as deployment:
        deployment.inject_faults(Fault.SILENT)
        started = trio.current_time()
        status, _, _ = await deployment.request(b'/stock/1', b'order')
        assert status == 504
        assert trio.current_time() - started < 0.9


@run_with_timeout
async def test_an_unknown_route_is_not_found_and_a_missing_table_not_ready():
    async with deploy_entry() as deployment:
        status, _, _ = await deployment.request(b'/unknown/')
        assert status == 404
        deployment.gateway.views.fleet._table = None
        status, _, _ = await deployment.request(b'/stock/1')
        assert status == 503


@run_with_timeout
async def test_a_long_body_arrives_unchanged():
    unsafe_route = build_route(kind=CallKind.UNSAFE)
    body = bytes(range(256)) * 400
    async with deploy_entry(build_table(1, unsafe_route)) as deployment:
        status, _, _ = await deployment.request(b'/stock/1', body)
        assert status == 200
        received = [
            received_body
            for replica in deployment.replicas.values()
            for received_body in replica.bodies
        ]
        assert received == [body]


@run_with_timeout
async def test_a_dead_upstream_cancels_requests_that_may_be_retried():
    slow = build_route(limit=milliseconds(4000))
    async with deploy_entry(build_table(1, slow)) as deployment:
        deployment.inject_faults(Fault.SILENT, prefix='shop-1')
        deployment.replicas['shop-1'].ignores_health_checks = True
        started = trio.current_time()
        for _ in range(2):
            status, _, body = await deployment.request(b'/stock/1')
            assert status == 200
            assert body == b'answer of shop-2'
        # The health check fails after 0.6 s. Without it the first attempt would
        # time out after half of the remaining time, which is 1.5 s.
        assert trio.current_time() - started < 1.4
