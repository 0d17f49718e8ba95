"""Tests of gRPC calls between instances over loopback connections."""

import socket
from datetime import timedelta

import grpc
import pytest
import trio
import trio_asyncio
import trustme

from masticstage import peer_pb2 as pb
from masticstage.bridge import from_trio
from masticstage.exceptions import PeerUnreachableError
from masticstage.peer_client import PeerClient
from masticstage.peer_pb2_grpc import (
    PeerServicer,
    add_PeerServicer_to_server,
)
from masticstage.peer_tls import channel_credentials, server_credentials
from masticstage.settings_schema import PeerTlsSettings

TIMEOUT = timedelta(seconds=3)


class Witness(PeerServicer):
    """Acknowledges every intent."""

    async def Intend(self, request, context):
        return pb.WitnessReply(verdict=pb.WitnessReply.ACKNOWLEDGED)


def find_free_address():
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


def write_tls(folder, authority):
    """Writes the files of one instance and returns their settings."""
    issued = authority.issue_cert('masticstage')
    certificate = folder / 'certificate.pem'
    key = folder / 'key.pem'
    authority_file = folder / 'authority.pem'
    chain = b''.join(pem.bytes() for pem in issued.cert_chain_pems)
    certificate.write_bytes(chain)
    issued.private_key_pem.write_to_path(key)
    authority.cert_pem.write_to_path(authority_file)
    return PeerTlsSettings(str(certificate), str(key), str(authority_file))


async def serve_with_tls(
    address,
    tls,
    task_status=trio.TASK_STATUS_IGNORED,
):
    server = grpc.aio.server()
    add_PeerServicer_to_server(Witness(), server)
    server.add_secure_port(address, server_credentials(tls))
    await from_trio(server.start)
    task_status.started()
    try:
        await trio.sleep_forever()
    finally:
        with trio.CancelScope(shield=True):
            await from_trio(lambda: server.stop(0))


@pytest.mark.parametrize(
    ('client_authority', 'is_accepted'),
    [('same authority', True), ('other authority', False), ('none', False)],
)
def test_only_clients_with_a_certificate_of_the_same_authority_are_served(
    tmp_path,
    client_authority,
    is_accepted,
):
    trusted_authority = trustme.CA()
    trusted = write_tls(tmp_path, trusted_authority)

    async def check(nursery, _):
        address = find_free_address()
        await nursery.start(serve_with_tls, address, trusted)
        client = PeerClient(TIMEOUT, nursery, {}, credentials())
        if is_accepted:
            reply = await client.intend(address, 'ticket')
            assert reply.verdict == pb.WitnessReply.ACKNOWLEDGED
        else:
            with pytest.raises(PeerUnreachableError):
                await client.intend(address, 'ticket')

    def credentials():
        if client_authority == 'none':
            return None
        if client_authority == 'same authority':
            return channel_credentials(trusted)
        other = tmp_path / 'other'
        other.mkdir()
        return channel_credentials(write_tls(other, trustme.CA()))

    run_with_client(check)


def test_intent_waits_for_a_witness_that_is_starting():
    async def check(nursery, client):
        address = find_free_address()
        with pytest.raises(PeerUnreachableError):
            await client.exchange(address, pb.Gossip())
        nursery.start_soon(serve_later, address)
        reply = await client.intend(address, 'ticket')
        assert reply.verdict == pb.WitnessReply.ACKNOWLEDGED

    run_with_client(check)
