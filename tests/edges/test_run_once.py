"""Tests of what callers are told about requests that may run only once."""

from contextlib import AsyncExitStack, asynccontextmanager

import attrs
import pytest
import trio

from masticstage.forwarding.requests import CallKind
from standins.faults import Fault
from tests.edges.deployment import (
    deploy_entry,
    deploy_two_regions,
    run_with_timeout,
)
from tests.forwarding_builders import (
    build_route,
    build_stream_route,
    build_table,
)

#: Statuses that tell a caller that its request has not run and never will.
_PROMISES = {408, 421, 429, 503}
_RAN = [
    Fault.RAN_TIMEOUT,
    Fault.RAN_MISDIRECTED,
    Fault.RAN_BUSY,
    Fault.RAN_UNAVAILABLE,
]
_PROMPT = (
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)


def _unsafe_table():
    return build_table(1, build_route(kind=CallKind.UNSAFE, max_attempts=3))


@asynccontextmanager
async def _deploy(replica_count, *, is_relayed):
    """Runs an instance whose route may run a call once."""
    if is_relayed:
        async with deploy_two_regions(_unsafe_table(), replica_count) as (
            deployment,
            _,
        ):
            yield deployment
    else:
        async with deploy_entry(_unsafe_table(), replica_count) as deployment:
            yield deployment


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('fault', _RAN)
def test_the_status_of_a_call_that_ran_is_no_promise(fault, is_relayed):
    """Guards against callers that are told `not run` of a call that ran."""

    @run_with_timeout
    async def check():
        async with _deploy(2, is_relayed=is_relayed) as deployment:
            deployment.inject_faults(fault)
            status, headers, _ = await deployment.request(b'/stock/1', b'order')

            assert status not in _PROMISES
            assert b'x-response-signature' not in headers
            assert deployment.executed_ids() == ['r-1']

    check()


@pytest.mark.parametrize('fault', _RAN)
def test_the_status_of_a_stream_that_ran_is_no_promise(fault):
    """Guards against callers that are told `not run` of a plan that ran."""

    @run_with_timeout
    async def check():
        route = build_stream_route(is_resumable=False, max_attempts=3)
        async with deploy_entry(build_table(1, route)) as deployment:
            deployment.inject_faults(fault)
            status, _, _ = await deployment.request(b'/ask/1', b'?', *_PROMPT)

            assert status not in _PROMISES
            assert deployment.executed_ids() == ['r-1']

    check()


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize(
    'refusal', [Fault.NOT_RUN_TWICE, Fault.UNNAMED_NOT_RUN_TWICE]
)
@pytest.mark.parametrize('replica_count', [1, 2])
def test_a_refusal_written_again_is_no_answer_to_the_next_attempt(
    refusal, is_relayed, replica_count
):
    """Guards against `not run` taken from the answer to an earlier attempt.

    The caller comes back with the same request id. The upstream runs the call
    and writes its earlier refusal once more, where the answer is expected.
    """

    @run_with_timeout
    async def check():
        async with _deploy(replica_count, is_relayed=is_relayed) as deployment:
            deployment.inject_faults(refusal)
            await deployment.request(b'/stock/1', b'order')
            deployment.last_id = 0
            status, _, _ = await deployment.request(b'/stock/1', b'order')

            assert deployment.executed_ids().count('r-1') <= 1
            has_run = 'r-1' in deployment.executed_ids()
            assert not (has_run and status in _PROMISES)

    check()


@pytest.mark.parametrize('is_relayed', [False, True])
def test_a_refusal_without_an_id_written_again_reaches_no_other_call(
    is_relayed,
):
    """Guards against `not run` taken from the answer to another caller."""

    @run_with_timeout
    async def check():
        async with _deploy(2, is_relayed=is_relayed) as deployment:
            deployment.inject_faults(Fault.UNNAMED_NOT_RUN_TWICE)
            await deployment.request(b'/stock/1', b'order')
            status, _, _ = await deployment.request(b'/stock/1', b'order')

            assert deployment.executed_ids().count('r-2') <= 1
            has_run = 'r-2' in deployment.executed_ids()
            assert not (has_run and status in _PROMISES)

    check()


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize(
    'fault', [Fault.ANSWER_TWICE, Fault.UNNAMED_ANSWER_TWICE]
)
def test_an_answer_written_again_reaches_no_other_caller(fault, is_relayed):
    """Guards against callers that get the answer to another request."""

    @run_with_timeout
    async def check():
        async with _deploy(1, is_relayed=is_relayed) as deployment:
            deployment.inject_faults(fault)
            await deployment.request(b'/stock/1', b'order')
            status, headers, _ = await deployment.request(b'/stock/1', b'order')

            signature = headers.get(b'x-response-signature', b'')
            assert status == 502 or signature.endswith(b'r-2')

    check()


@asynccontextmanager
async def _peer_that_answers(deployment, far, answer):
    """Replaces a peer by one that answers every relay with these bytes."""

    async def respond(stream):
        await stream.receive_some()
        await stream.send_all(answer)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, respond, 0)
        port = listeners[0].socket.getsockname()[1]
        own = far.views.members.own
        replaced = attrs.evolve(
            own,
            peer_address=f'127.0.0.1:{port}',
            heartbeat=own.heartbeat + 1000,
        )
        deployment.gateway.views.members.merge([replaced])
        yield
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'fields',
    [
        # A program before 75d08c3 took the refusal of another request.
        b'x-not-executed: 1\r\nx-request-id: other\r\n'
        b'masticstage-evidence: not-run\r\n',
        b'x-not-executed: 1\r\nmasticstage-evidence: not-run\r\n',
        # A later program may know more kinds of evidence.
        b'masticstage-evidence: not-known-here\r\n',
        b'x-request-id: other\r\nmasticstage-evidence: not-sent\r\n',
    ],
    ids=['refusal of another', 'unnamed refusal', 'unknown', 'another relay'],
)
def test_a_peer_of_another_version_does_not_prove_that_a_call_did_not_run(
    fields,
):
    """Guards against `not run` that a peer took from another answer."""

    @run_with_timeout
    async def check():
        answer = (
            b'HTTP/1.1 503 \r\n%bmasticstage-upstream: shop-1\r\n'
            b'content-length: 0\r\n\r\n' % fields
        )
        async with deploy_two_regions(_unsafe_table(), 1) as (deployment, far):
            async with _peer_that_answers(deployment, far, answer):
                status, _, _ = await deployment.request(b'/stock/1', b'order')
                assert status == 502

    check()


@run_with_timeout
async def test_a_relay_that_is_never_answered_may_have_run():
    """Guards against `not run` of a call that a frozen peer runs later."""
    async with deploy_two_regions(_unsafe_table(), 1) as (deployment, far):
        async with _peer_that_answers(deployment, far, b''):
            status, _, _ = await deployment.request(b'/stock/1', b'order')
            assert status == 504


@pytest.mark.parametrize('is_relayed', [False, True])
def test_a_stream_goes_on_elsewhere_only_after_its_first_upstream_has_stopped(
    is_relayed,
):
    """Guards against two upstreams that work on one request."""
    order = [Fault.SILENT]
    run_times_s = []

    def draw_fault():
        return order.pop() if order else Fault.NONE

    def record_run(_):
        run_times_s.append(trio.current_time())

    @run_with_timeout
    async def check():
        async with AsyncExitStack() as stack:
            if is_relayed:
                deployment, _ = await stack.enter_async_context(
                    deploy_two_regions()
                )
            else:
                deployment = await stack.enter_async_context(deploy_entry())
            for replica in deployment.replicas.values():
                replica.draw_fault = draw_fault
                replica.on_run = record_run
            await deployment.request(b'/ask/1', b'question', *_PROMPT)
            assert len(run_times_s) == 2
            await trio.sleep(run_times_s[1] + 0.4 - trio.current_time())
            assert not any(
                replica.open_requests
                for replica in deployment.replicas.values()
            )

    check()
