"""Tests of the calls between instances, over real loopback connections."""

import socket
from datetime import timedelta

import grpc
import pytest
import trio
import trio_asyncio

from masticstage import peer_pb2 as pb
from masticstage.bridge import from_trio
from masticstage.exceptions import PeerUnreachableError
from masticstage.peer_client import PeerClient
from masticstage.peer_pb2_grpc import (
    PeerServicer,
    add_PeerServicer_to_server,
)

TIMEOUT = timedelta(seconds=3)


class Witness(PeerServicer):
    """Acknowledges every intent."""

    async def Intend(self, request, context):
        return pb.WitnessReply(verdict=pb.WitnessReply.ACKNOWLEDGED)


def find_address():
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{bound.getsockname()[1]}'


def run_with_client(test):
    async def run():
        with trio.fail_after(20):
            async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
                await test(nursery, PeerClient(TIMEOUT, nursery))
                nursery.cancel_scope.cancel()

    trio.run(run)


async def serve_later(address):
    await trio.sleep(0.5)
    server = grpc.aio.server()
    add_PeerServicer_to_server(Witness(), server)
    server.add_insecure_port(address)
    await from_trio(server.start)
    try:
        await trio.sleep_forever()
    finally:
        with trio.CancelScope(shield=True):
            await from_trio(lambda: server.stop(0))


def test_intent_waits_for_a_witness_that_is_starting():
    async def check(nursery, client):
        address = find_address()
        with pytest.raises(PeerUnreachableError):
            await client.exchange(address, pb.Gossip())
        nursery.start_soon(serve_later, address)
        reply = await client.intend(address, 'ticket')
        assert reply.verdict == pb.WitnessReply.ACKNOWLEDGED

    run_with_client(check)
