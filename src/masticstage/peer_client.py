"""gRPC client for calls to other instances."""

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
from masticstage.peer_tls import TARGET_NAME_OPTION

if TYPE_CHECKING:
    from masticstage.peer_pb2_grpc import PeerAsyncStub

#: Largest message between instances; it must hold the largest configuration.
MAX_MESSAGE_BYTES: Final = 8388608
#: Interval of HTTP/2 pings, and time for their acknowledgement.
_KEEPALIVE_MS: Final = 10000
_KEEPALIVE_TIMEOUT_MS: Final = 2000
#: Longest time between two chunks of a forwarded answer.
RELAY_IDLE_TIMEOUT: Final = timedelta(seconds=5)
#: Time for which open calls may finish on a replaced channel.
_RETIRE_GRACE_S: Final = 60.0
#: Pause between attempts to connect.
_BACKOFF_MS: Final = 500
_MS_PER_S: Final = 1000
#: Retries by the library are off: a call must not be retried silently.
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
    """Channels to other instances, one for each address.

    `translations` maps addresses of instances to those to connect to, where
    the network translates addresses.  Methods raise `PeerUnreachableError` when
    the call fails or is not answered within the timeout.
    """

    _timeout: timedelta
    _nursery: trio.Nursery
    _translations: Mapping[str, str] = attrs.field(factory=dict)
    _credentials: grpc.ChannelCredentials | None = None
    _channels: dict[str, grpc.aio.Channel] = attrs.field(factory=dict)

    async def exchange(self, address: str, gossip: pb.Gossip) -> pb.Gossip:
        """Sends gossip to an instance and returns its own."""
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
        """Returns the configuration of an instance if it is above a version.

        The reply is empty otherwise.
        """
        stub = self._stub(address)
        message = pb.ConfigurationRequest(above_version=above_version)
        return await self._call(
            address,
            lambda timeout: stub.FetchConfiguration(message, timeout=timeout),
        )

    async def intend(self, address: str, ticket: str) -> pb.WitnessReply:
        """Announces to the witness of a ticket that its call is about to run.

        Waits for a connection to be ready, since a refusal seals the ticket.
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
        """Returns the record that the witness of a ticket holds.

        The witness seals a ticket whose intent it has not recorded.
        """
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
        """Stores a copy of the outcome of a ticket at its witness."""
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
        """Forwards a request; yields the head and then the body of the reply.

        The caller must close the iterator (`aclosing`).
        """
        call = self._stub(address).Relay(
            request,
            timeout=request.timeout_ms / _MS_PER_S,
        )
        chunks = aiter(aio_as_trio(call))
        chunk_timeout_s = request.timeout_ms / _MS_PER_S
        try:
            while True:
                chunk = await self._next_chunk(address, chunks, chunk_timeout_s)
                if chunk is None:
                    return
                yield chunk
                chunk_timeout_s = RELAY_IDLE_TIMEOUT.total_seconds()
        except grpc.aio.AioRpcError as error:
            self._retire_after_timeout(address, error)
            raise PeerUnreachableError(address) from error
        finally:
            call.cancel()

    async def close(self) -> None:
        """Closes all channels at once, without waiting for open calls."""
        for channel in self._channels.values():
            await from_trio(partial(channel.close, None))

    async def _next_chunk(
        self,
        address: str,
        chunks: AsyncIterator[pb.RelayChunk],
        chunk_timeout_s: float,
    ) -> pb.RelayChunk | None:
        """Returns the next chunk, None at the end of the answer.

        Raises `PeerUnreachableError` after `chunk_timeout_s` without a chunk.
        """
        with trio.move_on_after(chunk_timeout_s):
            return await anext(chunks, None)
        self._retire(address)
        raise PeerUnreachableError(address)

    def _stub(self, address: str) -> 'PeerAsyncStub':
        """Returns a stub on the channel to an address, opened on first use."""
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open_channel(
                self._translations.get(address, address)
            )
            self._channels[address] = channel
        return PeerStub(channel)

    def _open_channel(self, address: str) -> grpc.aio.Channel:
        if self._credentials is None:
            return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        return grpc.aio.secure_channel(
            address,
            self._credentials,
            options=(*CHANNEL_OPTIONS, TARGET_NAME_OPTION),
        )

    async def _call(
        self,
        address: str,
        start: Callable[[float], Awaitable[_Response]],
    ) -> _Response:
        """Runs the call that `start` makes for a timeout in seconds."""
        timeout = self._timeout.total_seconds()
        try:
            return await from_trio(lambda: start(timeout))
        except grpc.aio.AioRpcError as error:
            self._retire_after_timeout(address, error)
            raise PeerUnreachableError(address) from error

    def _retire_after_timeout(
        self,
        address: str,
        error: grpc.aio.AioRpcError,
    ) -> None:
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._retire(address)

    def _retire(self, address: str) -> None:
        """Replaces a channel whose connection may be dead.

        Open calls may still finish on the replaced channel.
        """
        channel = self._channels.pop(address, None)
        if channel is not None:
            close = partial(channel.close, _RETIRE_GRACE_S)
            self._nursery.start_soon(from_trio, close)
