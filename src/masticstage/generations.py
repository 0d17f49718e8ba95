"""The generations of one model answer at this instance, in order."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing
from typing import Final, final
from uuid import uuid4

import attrs
import trio

from masticstage.audit import Event
from masticstage.engines import EngineReader, EngineRun, start_reader
from masticstage.exceptions import (
    MasticstageError,
    NoUpstreamError,
    QuarantinedError,
    RejectedError,
    UpstreamFailedError,
)
from masticstage.gossip import announce_changes
from masticstage.instance import Instance
from masticstage.outcomes import Outcome
from masticstage.placement import may_serve_here, place, require_local
from masticstage.problems import problem_document
from masticstage.requests import Request
from masticstage.routing import Choice, Demand
from masticstage.streams import KEEP_ALIVE, AnswerEvent, encode_failure
from masticstage.tokens import Session

_KEEP_ALIVE_S: Final = 2.0
#: Longest time for which a suspected request waits to run apart.
_APART_S: Final = 5.0
_APART_POLL_S: Final = 0.05
#: Generations of one answer that are started at most.
_MAX_ANSWERS: Final = 4


@final
@attrs.define(eq=False)
class Generation:
    """The generations of one answer at this instance, in order."""

    _instance: Instance
    _request: Request
    _demand: Demand
    _fingerprint: str
    answer: int = 0
    _has_run: bool = False

    def next_run(self, choice: Choice | None = None) -> EngineRun:
        """Chooses the engine of the next generation of the answer."""
        if choice is None:
            placement = place(self._instance, self._request, self._demand)
            choice = require_local(placement, self._request)
        if not may_serve_here(self._instance, self._request, choice.upstream):
            raise NoUpstreamError(self._request.service)
        self.answer += 1
        self._instance.views.router.record_prefix(
            self._demand,
            choice.upstream.name,
        )
        self._instance.audit.record(
            Event.ROUTED if self.answer == 1 else Event.RESTARTED,
            self._request.request_id,
            f'{choice.upstream.name}: {choice.reason}, '
            f'wait {choice.wait_s:.3f} s, {choice.candidates} candidates',
        )
        return EngineRun(
            self._request,
            choice.upstream,
            f'{self._request.request_id}.{uuid4().hex}',
            self.answer,
        )

    async def events(self, run: EngineRun) -> AsyncGenerator[bytes]:
        """Yields the events of the answer until it is whole or has failed."""
        streams = self._instance.local_state.stream_admission
        streams.open(self._request.team.name)
        try:
            async with aclosing(self._all_runs(run)) as blocks:
                async for block in blocks:
                    yield block
        except MasticstageError as error:
            yield encode_failure(self._problem(error))
        finally:
            streams.close(self._request.team.name)

    async def _all_runs(self, run: EngineRun) -> AsyncGenerator[bytes]:
        while True:
            yield self._mark(run)
            reader, blocks = start_reader(self._instance, run)
            suspects = self._instance.local_state.suspect_runs
            with suspects.track(run.upstream.name, bool(self._struck())):
                async for block in _with_keep_alive(blocks):
                    yield block
            if reader.ended or reader.superseded:
                self._note_end(run, reader)
                return
            run = await self._run_after(run, reader)

    async def _run_after(
        self, run: EngineRun, reader: EngineReader
    ) -> EngineRun:
        """Decides what follows a generation that its engine broke off."""
        failure = reader.failure or UpstreamFailedError(run.upstream.name, '')
        self._instance.views.upstreams.avoid(run.upstream.name)
        self._demand = attrs.evolve(
            self._demand,
            avoided=self._demand.avoided | {run.upstream.name},
        )
        if not isinstance(failure, RejectedError):
            self._has_run = True
            await self._strike(run)
            if not self._instance.local_state.retry_budget.try_retry():
                raise failure
        if self.answer >= _MAX_ANSWERS:
            raise failure
        return await self._run_apart()

    async def _run_apart(self) -> EngineRun:
        """Waits until the next engine runs no other suspected request.

        Otherwise a second crash would condemn the innocent ones as well.
        """
        suspects = self._instance.local_state.suspect_runs
        run = self.next_run()
        with trio.move_on_after(_APART_S):
            while suspects.any_on(run.upstream.name):
                await trio.sleep(_APART_POLL_S)
        # The upstream may have begun to leave during the wait.
        if may_serve_here(self._instance, self._request, run.upstream):
            return run
        return self.next_run()

    async def _strike(self, run: EngineRun) -> None:
        """Notes a crash and tells the peers before anything runs again."""
        quarantine = self._instance.local_state.quarantine
        is_condemned = quarantine.record_crash(
            self._fingerprint, run.upstream.name
        )
        await announce_changes(self._instance)
        if is_condemned:
            self._instance.audit.record(
                Event.QUARANTINED,
                self._fingerprint,
                self._request.request_id,
            )
        if quarantine.contains(self._fingerprint):
            raise QuarantinedError(self._fingerprint)

    def _struck(self) -> frozenset[str]:
        return self._instance.local_state.quarantine.crashed_upstreams(
            self._fingerprint,
        )

    def _mark(self, run: EngineRun) -> bytes:
        session = Session(
            run.stream_id,
            run.upstream.name,
            run.upstream.data_centre,
            self._request.team.name,
            self._request.service,
            self._request.kind.name,
            run.answer,
            tuple(sorted(self._struck())),
        )
        token = self._instance.signer.sign_session(session)
        return AnswerEvent(run.answer, run.stream_id, token).encode()

    def _note_end(self, run: EngineRun, reader: EngineReader) -> None:
        self._instance.audit.record(
            Event.ENDED,
            self._request.request_id,
            f'{run.upstream.name}, {reader.last_index + 1} events',
        )

    def _problem(self, error: MasticstageError) -> dict[str, object]:
        document = problem_document(
            error,
            self._request.request_id,
            self._instance.configuration_version,
        )
        if self._has_run:
            document['outcome'] = Outcome.UNKNOWN.value
        return document


async def _with_keep_alive(
    blocks: trio.MemoryReceiveChannel[bytes],
) -> AsyncIterator[bytes]:
    with blocks:
        while True:
            block: bytes | None = KEEP_ALIVE
            with trio.move_on_after(_KEEP_ALIVE_S):
                block = await anext(blocks, None)
            if block is None:
                return
            yield block
