"""Calls to other instances over gRPC."""

from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
)
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Final, TypeVar, final

import attrs
import grpc
import trio
from trio_asyncio import aio_as_trio

from masticstage import peer_pb2 as pb
from masticstage.bridge import from_trio
from masticstage.exceptions import PeerUnreachableError
from masticstage.peer_pb2_grpc import PeerStub
from masticstage.peer_tls import NAME_OPTION

if TYPE_CHECKING:
    from masticstage.peer_pb2_grpc import PeerAsyncStub

#: Largest message between instances, above the largest configuration.
MAX_MESSAGE_BYTES: Final = 8388608
_KEEPALIVE_MS: Final = 10000
_KEEPALIVE_TIMEOUT_MS: Final = 2000
#: Longest silence between two chunks of a forwarded answer.
RELAY_SILENCE: Final = timedelta(seconds=5)
#: Time for which a replaced connection may finish its open calls.
_RETIRE_GRACE_S: Final = 60.0
_BACKOFF_MS: Final = 500
_MS_PER_S: Final = 1000
#: Retries by the library stay off: a call may not be repeated silently.
CHANNEL_OPTIONS: Final = (
    ('grpc.enable_retries', 0),
    ('grpc.keepalive_time_ms', _KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', _KEEPALIVE_TIMEOUT_MS),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.initial_reconnect_backoff_ms', _BACKOFF_MS),
    ('grpc.max_reconnect_backoff_ms', _BACKOFF_MS),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
)
_Response = TypeVar('_Response')


@final
@attrs.define
class PeerClient:
    """Connections to other instances, one for each address.

    `translations` gives the addresses to use in place of the known ones,
    where the network translates addresses.
    """

    _timeout: timedelta
    _nursery: trio.Nursery
    _translations: Mapping[str, str] = attrs.field(factory=dict)
    _credentials: grpc.ChannelCredentials | None = None
    _channels: dict[str, grpc.aio.Channel] = attrs.field(factory=dict)

    async def exchange(self, address: str, gossip: pb.Gossip) -> pb.Gossip:
        """Exchanges gossip with an instance."""
        stub = self._stub(address)
        return await self._call(
            address,
            lambda timeout: stub.Exchange(gossip, timeout=timeout),
        )

    async def fetch_configuration(
        self,
        address: str,
        above_version: int,
    ) -> pb.ConfigurationReply:
        """Asks an instance for a configuration above a version."""
        stub = self._stub(address)
        message = pb.ConfigurationRequest(above_version=above_version)
        return await self._call(
            address,
            lambda timeout: stub.FetchConfiguration(message, timeout=timeout),
        )

    async def intend(self, address: str, ticket: str) -> pb.WitnessReply:
        """Asks the witness of a ticket to acknowledge its intent.

        Waits for a connection, since a refusal seals the ticket.
        """
        stub = self._stub(address)
        message = pb.WitnessRequest(ticket=ticket)
        return await self._call(
            address,
            lambda timeout: stub.Intend(
                message,
                timeout=timeout,
                wait_for_ready=True,
            ),
        )

    async def ask(self, address: str, ticket: str) -> pb.WitnessReply:
        """Asks the witness what it holds, sealing a ticket not begun."""
        stub = self._stub(address)
        message = pb.WitnessRequest(ticket=ticket)
        return await self._call(
            address,
            lambda timeout: stub.Ask(message, timeout=timeout),
        )

    async def copy_outcome(
        self,
        address: str,
        ticket: str,
        outcome: pb.Outcome,
    ) -> pb.WitnessReply:
        """Gives the witness the outcome of a ticket."""
        stub = self._stub(address)
        message = pb.WitnessRequest(ticket=ticket, outcome=outcome)
        return await self._call(
            address,
            lambda timeout: stub.CopyOutcome(
                message,
                timeout=timeout,
                wait_for_ready=True,
            ),
        )

    async def relay(
        self,
        address: str,
        request: pb.RelayRequest,
    ) -> AsyncGenerator[pb.RelayChunk]:
        """Forwards a request; yields its head and then its body.

        The iterator must be closed (`aclosing`) by whoever opened it.
        """
        call = self._stub(address).Relay(
            request,
            timeout=request.timeout_ms / _MS_PER_S,
        )
        chunks = aiter(aio_as_trio(call))
        silence_s = request.timeout_ms / _MS_PER_S
        try:
            while True:
                chunk = await self._next_chunk(address, chunks, silence_s)
                if chunk is None:
                    return
                yield chunk
                silence_s = RELAY_SILENCE.total_seconds()
        except grpc.aio.AioRpcError as error:
            self._retire_if_silent(address, error)
            raise PeerUnreachableError(address) from error
        finally:
            call.cancel()

    async def close(self) -> None:
        """Closes all connections."""
        for channel in self._channels.values():
            await from_trio(partial(channel.close, None))

    async def _next_chunk(
        self,
        address: str,
        chunks: AsyncIterator[pb.RelayChunk],
        silence_s: float,
    ) -> pb.RelayChunk | None:
        """Returns the next chunk, None at the end of the answer."""
        with trio.move_on_after(silence_s):
            return await anext(chunks, None)
        self._retire(address)
        raise PeerUnreachableError(address)

    def _stub(self, address: str) -> 'PeerAsyncStub':
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open(self._translations.get(address, address))
            self._channels[address] = channel
        return PeerStub(channel)

    def _open(self, address: str) -> grpc.aio.Channel:
        if self._credentials is None:
            return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        return grpc.aio.secure_channel(
            address,
            self._credentials,
            options=(*CHANNEL_OPTIONS, NAME_OPTION),
        )

    async def _call(
        self,
        address: str,
        start: Callable[[float], Awaitable[_Response]],
    ) -> _Response:
        timeout = self._timeout.total_seconds()
        try:
            return await from_trio(lambda: start(timeout))
        except grpc.aio.AioRpcError as error:
            self._retire_if_silent(address, error)
            raise PeerUnreachableError(address) from error

    def _retire_if_silent(
        self,
        address: str,
        error: grpc.aio.AioRpcError,
    ) -> None:
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._retire(address)

    def _retire(self, address: str) -> None:
        """Replaces a connection that may have gone silent for good.

        Open calls may still finish on the old one.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            close = partial(channel.close, _RETIRE_GRACE_S)
            self._nursery.start_soon(from_trio, close)
