"""Tests that no work is begun or goes on for callers that have left."""

from contextlib import asynccontextmanager

import attrs
import pytest
import trio

from masticstage.forwarding.published import UpstreamRecord
from standins.faults import Fault
from tests.edges.deployment import (
    Deployment,
    deploy_entry,
    deploy_two_regions,
    free_addresses,
    run_with_timeout,
)
from tests.edges.leaving_callers import (
    call,
    connect_at_once,
    leave,
    read_answer,
    relay,
)

#: Time within which the work of an upstream has to end.
_END_S = 0.5
#: Ways of a request: from a caller to an upstream, from a caller through a
#: peer, and from a peer.
_WAYS = ('direct', 'relayed', 'from a peer')
_HOW = ('close', 'reset')
_LEFT_ID = 'r-left'


@attrs.define
class _Target:
    """Where requests of one way are sent to, and their bytes."""

    deployment: Deployment
    address: str
    way: str

    def request(self, request_id: str) -> bytes:
        if self.way == 'from a peer':
            return relay(request_id, 'shop-1')
        return call(request_id)

    def received_ids(self) -> list[str]:
        return [
            fields['x-request-id']
            for replica in self.deployment.replicas.values()
            for fields in replica.requests
        ]

    def open_requests(self) -> int:
        replicas = self.deployment.replicas.values()
        return sum(replica.open_requests for replica in replicas)


@asynccontextmanager
async def _deploy(way):
    if way == 'direct':
        async with deploy_entry() as deployment:
            yield _Target(
                deployment, deployment.gateway.settings.listen.callers, way
            )
        return
    async with deploy_two_regions() as (deployment, far):
        listen = {
            'relayed': deployment.gateway.settings.listen.callers,
            'from a peer': far.settings.listen.peers,
        }
        yield _Target(deployment, listen[way], way)


@pytest.mark.parametrize('how', _HOW)
@pytest.mark.parametrize('state', ['not accepted', 'accepted', 'kept'])
@pytest.mark.parametrize('way', _WAYS)
def test_a_request_whose_caller_has_left_reaches_no_upstream(way, state, how):
    """Guards against dispatches for callers whose end waits to be read."""

    @run_with_timeout
    async def check():
        async with _deploy(way) as target:
            sock = connect_at_once(target.address)
            if state == 'accepted':
                await trio.sleep(0.05)
            if state == 'kept':
                sock.sendall(target.request('r-1'))
                await read_answer(sock)
            sock.sendall(target.request(_LEFT_ID))
            leave(sock, how)
            await trio.sleep(_END_S)

            assert _LEFT_ID not in target.received_ids()

    check()


@pytest.mark.parametrize('how', _HOW)
@pytest.mark.parametrize(
    'followed_by',
    [b'\r\n', call('r-next'), b'x' * 150_000],
    ids=['line break', 'next request', 'more than is held'],
)
@pytest.mark.parametrize('way', _WAYS)
def test_work_ends_when_a_caller_leaves_that_has_sent_more(
    way, followed_by, how
):
    """Guards against ends that are hidden by bytes after the request."""

    @run_with_timeout
    async def check():
        async with _deploy(way) as target:
            target.deployment.inject_faults(Fault.SILENT)
            sock = connect_at_once(target.address)
            sock.sendall(target.request(_LEFT_ID))
            await trio.sleep(0.2)
            assert target.open_requests() == 1
            sock.sendall(followed_by)
            await trio.sleep(0.05)
            leave(sock, how)
            await trio.sleep(_END_S)

            assert target.open_requests() == 0
            assert target.received_ids() == [_LEFT_ID]

    check()


@pytest.mark.parametrize('how', _HOW)
def test_a_caller_that_has_left_gets_no_further_attempt(how):
    """Guards against retries for callers whose end waits to be read."""

    @run_with_timeout
    async def check():
        received = []
        sockets = []

        async def fail_as_the_caller_leaves(stream):
            received.append(await stream.receive_some())
            leave(sockets.pop(), how)
            stream.socket.close()

        async with deploy_entry(replica_count=0) as deployment:
            gateway = deployment.gateway
            for number, address in enumerate(free_addresses(2)):
                port = int(address.rpartition(':')[2])
                gateway.nursery.start_soon(
                    _serve_tcp, fail_as_the_caller_leaves, port
                )
                record = UpstreamRecord(
                    f'u-{number}', 'shop', address, 'north-a', 'north', 8
                )
                gateway.views.fleet.apply(f'u/{record.name}', record)
            await trio.sleep(0.05)
            for number in range(10):
                sock = connect_at_once(gateway.settings.listen.callers)
                sockets.append(sock)
                sock.sendall(call(f'r-{number}'))
                await trio.sleep(0.1)
                assert len(received) == number + 1

    check()


async def _serve_tcp(respond, port):
    await trio.serve_tcp(respond, port, host='127.0.0.1')


@pytest.mark.parametrize('way', ['direct', 'relayed'])
def test_requests_that_follow_each_other_are_answered_in_turn(way):
    @run_with_timeout
    async def check():
        async with _deploy(way) as target:
            sock = connect_at_once(target.address)
            sock.sendall(
                b''.join(target.request(f'r-{number}') for number in range(5))
            )
            answers = b''
            while answers.count(b'HTTP/1.1 200') < 5:
                answers += await read_answer(sock)
            assert sorted(target.received_ids()) == [
                f'r-{number}' for number in range(5)
            ]

    check()
