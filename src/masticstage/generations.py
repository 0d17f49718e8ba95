"""Generations of a model answer: the first one, and restarts after failures."""

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
from masticstage.placement import (
    choose_placement,
    may_serve_here,
    require_local,
)
from masticstage.problems import problem_document
from masticstage.requests import Request
from masticstage.routing import Choice, Demand
from masticstage.streams import KEEP_ALIVE, AnswerEvent, encode_failure
from masticstage.tokens import Session

_KEEP_ALIVE_INTERVAL_S: Final = 2.0
#: Longest wait of a suspected request until its engine runs no other one.
_ISOLATION_WAIT_S: Final = 5.0
_ISOLATION_POLL_INTERVAL_S: Final = 0.05
#: Generations of one answer, including the first.
_MAX_GENERATIONS: Final = 4


@final
@attrs.define(eq=False)
class AnswerGenerations:
    """Runs the generations of one answer at this instance, in order.

    `number` is the number of the current generation, 0 before the first.
    """

    _instance: Instance
    _request: Request
    _demand: Demand
    _fingerprint: str
    number: int = 0
    _may_have_run: bool = False

    def next_run(self, choice: Choice | None = None) -> EngineRun:
        """Returns the next generation, on the engine of `choice` if given.

        Raises `NoUpstreamError` when no engine can be used.
        """
        if choice is None:
            placement = choose_placement(
                self._instance, self._request, self._demand
            )
            choice = require_local(placement, self._request)
        if not may_serve_here(self._instance, self._request, choice.upstream):
            raise NoUpstreamError(self._request.service)
        self.number += 1
        self._instance.views.router.record_prefix(
            self._demand,
            choice.upstream.name,
        )
        self._instance.audit.record(
            Event.ROUTED if self.number == 1 else Event.RESTARTED,
            self._request.request_id,
            f'{choice.upstream.name}: {choice.reason}, '
            f'wait {choice.wait_s:.3f} s, {choice.candidate_count} candidates',
        )
        return EngineRun(
            self._request,
            choice.upstream,
            f'{self._request.request_id}.{uuid4().hex}',
            self.number,
        )

    async def events(self, run: EngineRun) -> AsyncGenerator[bytes]:
        """Yields the events of the answer; a failure is the last event."""
        streams = self._instance.local_state.stream_admission
        streams.open(self._request.team.name)
        try:
            async with aclosing(self._blocks_of_runs(run)) as blocks:
                async for block in blocks:
                    yield block
        except MasticstageError as error:
            yield encode_failure(self._build_problem(error))
        finally:
            streams.close(self._request.team.name)

    async def _blocks_of_runs(self, run: EngineRun) -> AsyncGenerator[bytes]:
        """Yields the blocks of a run and of all runs that replace it."""
        while True:
            yield self._encode_answer_event(run)
            reader, blocks = start_reader(self._instance, run)
            suspects = self._instance.local_state.suspect_runs
            with suspects.track(
                run.upstream.name, bool(self._crashed_upstreams())
            ):
                async for block in _with_keep_alive(blocks):
                    yield block
            if reader.ended or reader.superseded:
                self._record_end(run, reader)
                return
            run = await self._next_run_after(run, reader)

    async def _next_run_after(
        self, run: EngineRun, reader: EngineReader
    ) -> EngineRun:
        """Returns the run that replaces one that has failed.

        Raises the failure when the answer may not be restarted.
        """
        failure = reader.failure or UpstreamFailedError(run.upstream.name, '')
        self._instance.views.upstreams.avoid(run.upstream.name)
        self._demand = attrs.evolve(
            self._demand,
            avoided=self._demand.avoided | {run.upstream.name},
        )
        if not isinstance(failure, RejectedError):
            self._may_have_run = True
            await self._record_crash(run)
            if not self._instance.local_state.retry_budget.try_retry():
                raise failure
        if self.number >= _MAX_GENERATIONS:
            raise failure
        return await self._next_isolated_run()

    async def _next_isolated_run(self) -> EngineRun:
        """Waits until the next engine runs no other suspected request.

        Otherwise a second crash would quarantine requests that have not caused
        it.  The wait is bounded; after it the run is returned in any case.
        """
        suspects = self._instance.local_state.suspect_runs
        run = self.next_run()
        with trio.move_on_after(_ISOLATION_WAIT_S):
            while suspects.any_on(run.upstream.name):
                await trio.sleep(_ISOLATION_POLL_INTERVAL_S)
        # The upstream may have started to leave during the wait.
        if may_serve_here(self._instance, self._request, run.upstream):
            return run
        return self.next_run()

    async def _record_crash(self, run: EngineRun) -> None:
        """Records a crash and announces it to peers, before the next run.

        Raises `QuarantinedError` when the request must not run again.
        """
        quarantine = self._instance.local_state.quarantine
        is_quarantined = quarantine.record_crash(
            self._fingerprint, run.upstream.name
        )
        await announce_changes(self._instance)
        if is_quarantined:
            self._instance.audit.record(
                Event.QUARANTINED,
                self._fingerprint,
                self._request.request_id,
            )
        if quarantine.contains(self._fingerprint):
            raise QuarantinedError(self._fingerprint)

    def _crashed_upstreams(self) -> frozenset[str]:
        return self._instance.local_state.quarantine.crashed_upstreams(
            self._fingerprint,
        )

    def _encode_answer_event(self, run: EngineRun) -> bytes:
        session = Session(
            run.stream_id,
            run.upstream.name,
            run.upstream.data_centre,
            self._request.team.name,
            self._request.service,
            self._request.kind.name,
            run.number,
            tuple(sorted(self._crashed_upstreams())),
        )
        token = self._instance.signer.sign_session(session)
        return AnswerEvent(run.number, run.stream_id, token).encode()

    def _record_end(self, run: EngineRun, reader: EngineReader) -> None:
        self._instance.audit.record(
            Event.ENDED,
            self._request.request_id,
            f'{run.upstream.name}, {reader.last_index + 1} events',
        )

    def _build_problem(self, error: MasticstageError) -> dict[str, object]:
        document = problem_document(
            error,
            self._request.request_id,
            self._instance.configuration_version,
        )
        if self._may_have_run:
            document['outcome'] = Outcome.UNKNOWN.value
        return document


async def _with_keep_alive(
    blocks: trio.MemoryReceiveChannel[bytes],
) -> AsyncIterator[bytes]:
    """Yields blocks, and a comment after each interval without a block."""
    with blocks:
        while True:
            block: bytes | None = KEEP_ALIVE
            with trio.move_on_after(_KEEP_ALIVE_INTERVAL_S):
                block = await anext(blocks, None)
            if block is None:
                return
            yield block
