"""Tests that no work is begun or goes on for callers that have left."""

from contextlib import asynccontextmanager

import attrs
import pytest
import trio

from masticstage.edges.http_client import ConnectionPool
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


@pytest.mark.parametrize('way', ['direct', 'relayed'])
def test_nothing_is_sent_if_a_caller_leaves_while_a_connection_opens(
    way, monkeypatch
):
    """Guards against dispatches after a wait for a connection."""
    callers = []
    acquire = ConnectionPool.acquire

    async def acquire_as_the_caller_leaves(pool, address, *options):
        connection = await acquire(pool, address, *options)
        if _LEFT_ID in options and callers:
            leave(callers.pop(), 'close')
        return connection

    monkeypatch.setattr(ConnectionPool, 'acquire', acquire_as_the_caller_leaves)

    @run_with_timeout
    async def check():
        async with _deploy(way) as target:
            callers.append(connect_at_once(target.address))
            callers[0].sendall(target.request(_LEFT_ID))
            await trio.sleep(_END_S)

            assert not callers
            assert _LEFT_ID not in target.received_ids()

    check()


class _FailingUpstream:
    """Fails each request, at the moment at which its caller leaves.

    `callers` has the connections of callers; `received` counts requests.
    """

    def __init__(self, name, callers, how):
        self.name = name
        self.received = 0
        self._callers = callers
        self._how = how

    async def serve_connection(self, stream):
        request = await stream.receive_some()
        if request.startswith(b'GET /health'):
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\nX-Instance-Id: %b\r\n'
                b'Content-Length: 0\r\n\r\n' % self.name.encode()
            )
            return
        self.received += 1
        if self._callers:
            leave(self._callers.pop(), self._how)
        stream.socket.close()


@pytest.mark.parametrize('how', _HOW)
def test_a_caller_that_has_left_gets_no_further_attempt(how):
    """Guards against retries for callers whose end waits to be read."""

    @run_with_timeout
    async def check():
        callers = []
        upstreams = [
            _FailingUpstream(name, callers, how) for name in ('u-1', 'u-2')
        ]
        async with deploy_entry(replica_count=0) as deployment:
            gateway = deployment.gateway
            for upstream, address in zip(
                upstreams, free_addresses(2), strict=True
            ):
                gateway.nursery.start_soon(
                    _serve_tcp, upstream.serve_connection, address
                )
                record = UpstreamRecord(
                    upstream.name, 'shop', address, 'north-a', 'north', 8
                )
                gateway.views.fleet.apply(f'u/{record.name}', record)
            await trio.sleep(0.05)
            # Which of the two ends is read first is random.
            for number in range(10):
                sock = connect_at_once(gateway.settings.listen.callers)
                callers.append(sock)
                sock.sendall(call(f'r-{number}'))
                await trio.sleep(0.1)

        assert sum(upstream.received for upstream in upstreams) == 10

    check()


async def _serve_tcp(serve_connection, address):
    host, _, port = address.rpartition(':')
    await trio.serve_tcp(serve_connection, int(port), host=host)


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
