"""gRPC server for the calls of other instances."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, final

import grpc
from trio_asyncio import aio_as_trio

from masticstage import peer_pb2 as pb
from masticstage.bridge import from_asyncio, from_trio
from masticstage.exceptions import MasticstageError, NotReadyError
from masticstage.gossip import (
    apply_gossip,
    compose_gossip,
    pull_configuration,
)
from masticstage.instance import Instance
from masticstage.owners import answer_as_witness
from masticstage.peer_client import MAX_MESSAGE_BYTES
from masticstage.peer_messages import (
    decode_outcome,
    encode_witness_answer,
)
from masticstage.peer_pb2_grpc import (
    PeerServicer,
    add_PeerServicer_to_server,
)
from masticstage.peer_tls import server_credentials
from masticstage.relays import decode_request, write_reply
from masticstage.results import unwrap_or_raise
from masticstage.serving import refuse, serve
from masticstage.tickets import Verdict, WitnessAnswer

if TYPE_CHECKING:
    _Context = grpc.aio.ServicerContext[object, object]

#: Shortest interval at which peers may send HTTP/2 pings.
_MIN_PING_MS: Final = 500
SERVER_OPTIONS: Final = (
    ('grpc.http2.min_recv_ping_interval_without_data_ms', _MIN_PING_MS),
    ('grpc.http2.min_ping_interval_without_data_ms', _MIN_PING_MS),
    ('grpc.http2.max_ping_strikes', 0),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
)


@final
class PeerService(PeerServicer):
    """Implementation of the `Peer` service."""

    def __init__(self, instance: Instance) -> None:
        """Serves calls from the state of an instance."""
        self._instance = instance

    async def Exchange(
        self,
        request: pb.Gossip,
        context: '_Context',
    ) -> pb.Gossip:
        """Merges another instance's gossip and returns that of this one."""
        apply_gossip(self._instance, request)
        members = self._instance.views.members
        return compose_gossip(
            self._instance,
            members.find(request.sender.name),
            is_full=request.is_joining,
        )

    async def FetchConfiguration(
        self,
        request: pb.ConfigurationRequest,
        context: '_Context',
    ) -> pb.ConfigurationReply:
        """Returns the configuration in force if it is above a version.

        The reply is empty otherwise.
        """
        catalogue = self._instance.views.rollout.catalogue
        if catalogue is None or catalogue.version <= request.above_version:
            return pb.ConfigurationReply()
        return pb.ConfigurationReply(
            version=catalogue.version,
            value_json=catalogue.encoded,
        )

    async def Intend(
        self,
        request: pb.WitnessRequest,
        context: '_Context',
    ) -> pb.WitnessReply:
        """Records the intent of a ticket's owner, as its witness."""
        signer = self._instance.signer
        ticket = unwrap_or_raise(signer.verify_ticket(request.ticket))
        verdict = self._instance.local_state.witnessed_tickets.record_intent(
            ticket
        )
        return encode_witness_answer(WitnessAnswer(verdict))

    async def Ask(
        self,
        request: pb.WitnessRequest,
        context: '_Context',
    ) -> pb.WitnessReply:
        """Returns this witness's record of a ticket; seals it without one."""
        signer = self._instance.signer
        ticket = unwrap_or_raise(signer.verify_ticket(request.ticket))
        return encode_witness_answer(answer_as_witness(self._instance, ticket))

    async def CopyOutcome(
        self,
        request: pb.WitnessRequest,
        context: '_Context',
    ) -> pb.WitnessReply:
        """Stores the outcome of a ticket, as its witness."""
        signer = self._instance.signer
        ticket = unwrap_or_raise(signer.verify_ticket(request.ticket))
        verdict: Verdict = (
            self._instance.local_state.witnessed_tickets.copy_outcome(
                ticket,
                decode_outcome(request.outcome),
            )
        )
        return encode_witness_answer(WitnessAnswer(verdict))

    async def Relay(  # type: ignore[override]
        self,
        request: pb.RelayRequest,
        context: '_Context',
    ) -> None:
        """Serves a request that another instance has forwarded."""
        write = aio_as_trio(context.write)
        await from_asyncio(lambda: self.relay(request, write))

    async def relay(
        self,
        message: pb.RelayRequest,
        write: Callable[[pb.RelayChunk], Awaitable[None]],
    ) -> None:
        """Serves a forwarded request and writes the chunks of the reply."""
        try:
            await self._ensure_configuration(message)
            request = decode_request(self._instance, message)
        except MasticstageError as error:
            reply = refuse(
                self._instance,
                error,
                message.request_id,
                message.ticket,
            )
        else:
            reply = await serve(self._instance, request)
        await write_reply(reply, write)

    async def _ensure_configuration(self, message: pb.RelayRequest) -> None:
        """Fetches the configuration under which a request was accepted.

        An instance of the data centre that forwarded the request is asked.
        Raises `NotReadyError` when the version in force is still lower then.
        """
        if (
            message.configuration_version
            <= self._instance.configuration_version
        ):
            return
        for member in self._instance.views.members.others():
            if member.data_centre == message.path[-1]:
                await pull_configuration(self._instance, member)
                break
        if message.configuration_version > self._instance.configuration_version:
            raise NotReadyError


async def start_peer_server(instance: Instance) -> grpc.aio.Server:
    """Starts serving other instances at the address in the settings."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    add_PeerServicer_to_server(PeerService(instance), server)
    address = instance.settings.instance.peer_address
    credentials = server_credentials(instance.settings.peer_tls)
    if credentials is None:
        server.add_insecure_port(address)
    else:
        server.add_secure_port(address, credentials)
    await from_trio(server.start)
    return server


async def stop_peer_server(server: grpc.aio.Server, grace_s: float) -> None:
    """Stops accepting calls and ends the open ones after a grace period."""
    await from_trio(lambda: server.stop(grace_s))
