"""Reads one generation of an answer, and reconnects when it is cut off.

The reader runs as a task of its own and sends blocks of complete events
through a bounded channel.  After the caller has disconnected it continues to
read for `abandon_ms`, so that the caller can resume the answer at any
instance.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from typing import Final, final

import attrs
import trio

from masticstage.admission import queue_rank
from masticstage.audit import Event
from masticstage.clock import milliseconds
from masticstage.configuration_schema import Upstream
from masticstage.exceptions import (
    MasticstageError,
    UpstreamFailedError,
    UpstreamRefusedError,
)
from masticstage.instance import Instance
from masticstage.requests import Request
from masticstage.streams import AnswerFramer

#: Blocks buffered for a slow caller before reading from the engine pauses.
_MAX_BUFFERED_BLOCKS: Final = 64
#: Consecutive failed connections without a new event that end the run.
_MAX_RECONNECTS: Final = 3
_RECONNECT_DELAY_S: Final = 0.1


@attrs.frozen
class EngineRun:
    """One generation of an answer at one engine.

    `resume_after` is the index of the last event that the caller has
    received, None for a new generation.
    """

    request: Request
    upstream: Upstream
    stream_id: str
    number: int
    resume_after: int | None = None


@final
@attrs.define(eq=False)
class EngineReader:
    """Task that reads an engine's events into a channel."""

    _instance: Instance
    _run: EngineRun
    _framer: AnswerFramer
    _send: trio.MemorySendChannel[bytes]
    _failure: MasticstageError | None = None
    _abandoned_at: timedelta | None = None
    _cancelled: bool = False
    _first_block_at: timedelta | None = None

    @property
    def failure(self) -> MasticstageError | None:
        """Failure that ended the answer early, None without any."""
        return self._failure

    @property
    def ended(self) -> bool:
        """Whether the complete answer was read."""
        return self._framer.ended

    @property
    def last_index(self) -> int:
        """Index of the last complete event read, -1 before the first."""
        return self._framer.last_index

    @property
    def superseded(self) -> bool:
        """Whether another instance has taken over the stream."""
        return self._framer.superseded

    async def read(self) -> None:
        """Reads until the end marker, a final failure or abandonment."""
        upstreams = self._instance.views.upstreams
        upstreams.begin_request(self._run.upstream.name)
        with self._send:
            await self._read_and_store_failure()
        duration = None
        if self.ended and self._first_block_at is not None:
            duration = self._instance.clock.elapsed() - self._first_block_at
        upstreams.end_request(self._run.upstream.name, duration)

    async def _read_and_store_failure(self) -> None:
        try:
            await self._read_connections()
        except MasticstageError as error:
            self._failure = error

    async def _read_connections(self) -> None:
        """Reads one connection after another until the run is finished."""
        is_new = self._run.resume_after is None
        reconnects = 0
        while not self._is_finished():
            previous_index = self.last_index
            failure = await self._try_connection(is_new=is_new)
            is_new = False
            if failure is None:
                continue
            reconnects = (
                0 if self.last_index > previous_index else reconnects + 1
            )
            if reconnects >= _MAX_RECONNECTS or self._abandoned_at:
                raise failure
            await trio.sleep(_RECONNECT_DELAY_S)

    async def _try_connection(
        self,
        *,
        is_new: bool,
    ) -> UpstreamFailedError | None:
        """Reads one connection; returns the failure that ended it early.

        Raises `UpstreamRefusedError` only when the engine cannot have seen
        the request.
        """
        try:
            await self._read_connection(is_new=is_new)
        except UpstreamRefusedError as error:
            if is_new:
                raise
            return UpstreamFailedError(error.upstream, 'gone')
        except UpstreamFailedError as failure:
            return failure
        return None

    def _is_finished(self) -> bool:
        return self.ended or self.superseded or self._cancelled

    async def _read_connection(self, *, is_new: bool) -> None:
        self._framer.reopen(self.last_index)
        async with self._open(is_new=is_new) as body:
            async for chunk in body:
                await self._send_block(self._framer.feed(chunk))
                await self._cancel_if_abandoned()
                if self._is_finished():
                    return
        raise UpstreamFailedError(self._run.upstream.name, 'answer cut off')

    def _open(
        self,
        *,
        is_new: bool,
    ) -> AbstractAsyncContextManager[AsyncIterator[bytes]]:
        client = self._instance.connections.upstreams
        run = self._run
        if is_new:
            now = self._instance.clock.now()
            rank = queue_rank(run.request.kind, now)
            return client.start_stream(
                run.upstream,
                run.request,
                run.stream_id,
                rank,
            )
        return client.resume_stream(
            run.upstream,
            run.stream_id,
            self.last_index,
        )

    async def _send_block(self, block: bytes) -> None:
        if block and self._first_block_at is None:
            self._first_block_at = self._instance.clock.elapsed()
        if not block or self.superseded or self._abandoned_at:
            return
        try:
            await self._send.send(block)
        except trio.BrokenResourceError:
            self._abandoned_at = self._instance.clock.elapsed()

    async def _cancel_if_abandoned(self) -> None:
        """Stops the engine if the caller has not resumed in `abandon_ms`."""
        if self._abandoned_at is None or self._is_finished():
            return
        since_abandoned = self._instance.clock.elapsed() - self._abandoned_at
        abandon_after = milliseconds(self._instance.settings.timing.abandon_ms)
        if since_abandoned < abandon_after:
            return
        self._cancelled = True
        self._instance.audit.record(
            Event.CANCELLED,
            self._run.request.request_id,
            self._run.upstream.name,
        )
        await self._instance.connections.upstreams.cancel_stream(
            self._run.upstream,
            self._run.stream_id,
        )


def start_reader(
    instance: Instance,
    run: EngineRun,
) -> tuple[EngineReader, trio.MemoryReceiveChannel[bytes]]:
    """Starts a reader; returns it and the channel that receives its blocks."""
    send, receive = trio.open_memory_channel[bytes](_MAX_BUFFERED_BLOCKS)
    framer = AnswerFramer(run.upstream.name)
    if run.resume_after is not None:
        framer.reopen(run.resume_after)
    reader = EngineReader(instance, run, framer, send)
    instance.nursery.start_soon(reader.read)
    return reader, receive
