"""One entry instance over real sockets, with replicas that misbehave."""

import pytest
import trio

from masticstage.clock import milliseconds
from masticstage.edges.http_client import OutgoingRequest
from masticstage.forwarding.requests import CallKind
from standins.replica import Fault
from tests.edges.entry import entry, run_briefly
from tests.routed import build_route, build_stream_route, build_table

_ID = b'x-request-id'

_PROMPT = (
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)
_EVENTS = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (one, one) for one in range(1, 7)
)


@run_briefly
async def test_an_answer_comes_back_unchanged():
    async with entry() as one:
        status, headers, body = await one.ask(b'/stock/1')
    assert status == 200
    assert body.startswith(b'answer of shop-')
    assert headers[b'x-response-signature'].endswith(b'r-1')


@run_briefly
async def test_a_stream_comes_back_whole():
    async with entry() as one:
        status, _, body = await one.ask(b'/ask/1', b'question', *_PROMPT)
    assert status == 200
    assert body == _EVENTS


@pytest.mark.parametrize(
    'fault',
    [
        Fault.OTHER_ID,
        Fault.UNSIGNED,
        Fault.CUT,
        Fault.RESET,
        Fault.ERROR,
        Fault.NOT_RUN,
        Fault.MISDIRECTED,
    ],
)
def test_a_safe_request_is_answered_by_another_upstream(fault):
    @run_briefly
    async def ask():
        async with entry() as one:
            one.break_with(fault, name='shop-1')
            for _ in range(4):
                status, headers, body = await one.ask(b'/stock/1')
                assert status == 200
                signer = headers[b'x-response-signature'].split(b'.')[0]
                assert body == b'answer of ' + signer

    ask()


@pytest.mark.parametrize(
    ('fault', 'status'),
    [
        (Fault.OTHER_ID, 502),
        (Fault.UNSIGNED, 502),
        (Fault.CUT, 502),
        (Fault.RESET, 502),
        (Fault.ERROR, 500),
    ],
)
def test_an_unsafe_request_runs_once_whatever_breaks(fault, status):
    @run_briefly
    async def ask():
        order = build_route(kind=CallKind.UNSAFE, max_attempts=3)
        async with entry(build_table(1, order)) as one:
            one.break_with(fault)
            answered, _, _ = await one.ask(b'/stock/1', b'order')
            assert answered == status
            assert one.ran() == ['r-1']

    ask()


@pytest.mark.parametrize('fault', [Fault.NOT_RUN, Fault.MISDIRECTED])
def test_an_unsafe_request_goes_on_where_it_was_not_run(fault):
    @run_briefly
    async def ask():
        order = build_route(kind=CallKind.UNSAFE)
        async with entry(build_table(1, order)) as one:
            one.break_with(fault, name='shop-1')
            status, _, _ = await one.ask(b'/stock/1', b'order')
            assert status == 200
            assert one.ran() == ['r-1']

    ask()


@run_briefly
async def test_a_refusal_says_not_run_only_when_nothing_ran():
    order = build_route(kind=CallKind.UNSAFE)
    async with entry(build_table(1, order)) as one:
        one.break_with(*[Fault.NOT_RUN] * 9)
        status, headers, _ = await one.ask(b'/stock/1', b'order')
        assert status == 503
        assert b'retry-after' in headers
        assert not one.ran()


@pytest.mark.parametrize('fault', [Fault.CUT, Fault.CUT_IN_EVENT])
def test_a_resumed_stream_is_whole(fault):
    @run_briefly
    async def ask():
        async with entry() as one:
            one.break_with(fault, name='model-1')
            for _ in range(3):
                _, _, body = await one.ask(b'/ask/1', b'question', *_PROMPT)
                assert body == _EVENTS

    ask()


@pytest.mark.parametrize('fault', [Fault.CUT, Fault.CUT_IN_EVENT])
@pytest.mark.parametrize('is_resumable', [True, False])
def test_a_stream_that_cannot_go_on_is_visibly_incomplete(fault, is_resumable):
    @run_briefly
    async def ask():
        plan = build_stream_route(is_resumable=is_resumable)
        async with entry(build_table(1, plan)) as one:
            one.break_with(fault, fault)
            _, _, body, is_whole = await one.listen(
                b'/ask/1',
                b'question',
                *_PROMPT,
            )
            assert not is_whole
            assert body
            assert _EVENTS.startswith(body)
            assert body.endswith(b'\n\n')
            assert len(one.ran()) == 1 + is_resumable

    ask()


@run_briefly
async def test_extra_bytes_belong_to_no_request():
    async with entry() as one:
        one.break_with(*[Fault.EXTRA] * 4)
        for number in range(1, 9):
            status, headers, _ = await one.ask(b'/stock/1')
            assert status == 200
            assert headers[_ID] == b'r-%d' % number


@run_briefly
async def test_an_answer_without_length_is_whole_at_a_proper_end():
    async with entry() as one:
        one.break_with(Fault.UNFRAMED)
        status, headers, body = await one.ask(b'/stock/1')
        assert status == 200
        assert int(headers[b'content-length']) == len(body)


@run_briefly
async def test_a_caller_that_leaves_ends_the_work_of_its_upstream():
    async with entry() as one:
        one.break_with(Fault.SILENT, Fault.SILENT)
        connection = await one.open()
        headers = ((b'host', b'shop.example'), (_ID, b'r-1'))
        outgoing = OutgoingRequest(b'GET', b'/stock/1', headers)
        await connection.send(outgoing, one.gateway.spawn)
        await trio.sleep(0.1)
        assert sum(each.open_requests for each in one.replicas.values()) == 1

        connection.close()
        await trio.sleep(0.3)

        assert not any(each.open_requests for each in one.replicas.values())


@run_briefly
async def test_the_route_limit_ends_a_wait_in_time():
    order = build_route(kind=CallKind.UNSAFE, limit=milliseconds(400))
    async with entry(build_table(1, order)) as one:
        one.break_with(Fault.SILENT)
        started = trio.current_time()
        status, _, _ = await one.ask(b'/stock/1', b'order')
        assert status == 504
        assert trio.current_time() - started < 0.9


@run_briefly
async def test_an_unknown_route_is_not_found_and_no_table_is_not_ready():
    async with entry() as one:
        status, _, _ = await one.ask(b'/unknown/')
        assert status == 404
        one.gateway.views.fleet._table = None
        status, _, _ = await one.ask(b'/stock/1')
        assert status == 503


@run_briefly
async def test_a_long_body_arrives_unchanged():
    order = build_route(kind=CallKind.UNSAFE)
    body = bytes(range(256)) * 400
    async with entry(build_table(1, order)) as one:
        status, _, _ = await one.ask(b'/stock/1', body)
        assert status == 200
        received = [
            got for each in one.replicas.values() for got in each.bodies
        ]
        assert received == [body]


@run_briefly
async def test_a_dead_upstream_ends_the_wait_of_what_may_be_repeated():
    slow = build_route(limit=milliseconds(4000))
    async with entry(build_table(1, slow)) as one:
        one.break_with(Fault.SILENT, name='shop-1')
        one.replicas['shop-1'].is_mute = True
        started = trio.current_time()
        for _ in range(2):
            status, _, body = await one.ask(b'/stock/1')
            assert status == 200
            assert body == b'answer of shop-2'
        # A check fails after 0.6 s; half of the limit would be 1.5 s.
        assert trio.current_time() - started < 1.4
