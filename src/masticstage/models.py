"""Streamed model answers: start, resume, restart elsewhere, completeness."""

import json
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, Final, final
from uuid import uuid4

import attrs
import trio

from masticstage.admission import is_congested, is_too_late
from masticstage.audit import Event
from masticstage.clock import milliseconds
from masticstage.configuration_schema import Upstream
from masticstage.engines import EngineReader, EngineRun, start_reader
from masticstage.exceptions import (
    InvalidRequestError,
    MasticstageError,
    NoUpstreamError,
    OverloadedError,
    PeerUnreachableError,
    QuarantinedError,
    RejectedError,
    ResidencyError,
    TransferLimitError,
    UpstreamFailedError,
)
from masticstage.gossip import announce
from masticstage.instance import Instance
from masticstage.outcomes import Outcome
from masticstage.placement import (
    Placement,
    demand_of,
    may_serve_here,
    pick_member,
    place,
)
from masticstage.problems import problem_document
from masticstage.quarantine import fingerprint_request
from masticstage.relays import forward
from masticstage.requests import EVENT_STREAM_TYPE, Reply, Request
from masticstage.residency import allowed_data_centres, may_transfer
from masticstage.routing import Choice, Demand
from masticstage.streams import (
    KEEP_ALIVE,
    RESUME,
    AnswerMark,
    encode_failure,
)
from masticstage.tokens import Session

_KEEP_ALIVE_S: Final = 2.0
#: Longest time for which a suspected request waits to run apart.
_APART_S: Final = 5.0
_APART_POLL_S: Final = 0.05
#: Generations of one answer that are started at most.
_MAX_ANSWERS: Final = 4


async def answer_model(instance: Instance, request: Request) -> Reply:
    """Returns the reply that streams the answer to a model request."""
    fingerprint = fingerprint_request(
        request.team.name,
        request.service,
        request.body,
    )
    quarantine = instance.books.quarantine
    for upstream in request.session.struck if request.session else ():
        quarantine.strike(fingerprint, upstream)
    if quarantine.contains(fingerprint):
        raise QuarantinedError(fingerprint)
    if request.session is not None:
        return await _resume(instance, request, fingerprint)
    instance.books.budget.record_request()
    return await _start(instance, request, fingerprint)


def shared_prefix(body: bytes) -> str:
    """Returns the part of a chat request that other requests share.

    This is the content of the first message: a rulebook or a history.
    """
    document = parse_object(body)
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError('messages: a list that is not empty')
    first = messages[0]
    if not isinstance(first, dict):
        raise InvalidRequestError('messages: a list of objects')
    return str(first.get('content', ''))


def parse_object(body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a request body."""
    try:
        document = json.loads(body)
    except ValueError as error:
        raise InvalidRequestError('a JSON object') from error
    if not isinstance(document, dict):
        raise InvalidRequestError('a JSON object')
    return document


async def _start(
    instance: Instance,
    request: Request,
    fingerprint: str,
) -> Reply:
    demand = _avoiding_struck(instance, request, fingerprint)
    placement = place(instance, request, demand)
    reply = await _try_transfer(instance, request, placement)
    if reply is not None:
        return reply
    choice = _require_local(placement, request)
    _check_load(instance, request, choice)
    return _reply(Generation(instance, request, demand, fingerprint), choice)


async def _try_transfer(
    instance: Instance,
    request: Request,
    placement: Placement,
) -> Reply | None:
    """Forwards a request; None when it has to be served here instead."""
    if placement.transfer is None:
        return None
    member = pick_member(instance, placement.transfer.data_centre)
    if member is None:
        return None
    instance.views.summaries.note_transfer(
        placement.transfer.data_centre,
        request.service,
    )
    try:
        reply = await forward(instance, request, member)
    except PeerUnreachableError:
        if placement.local is None:
            raise
        return None
    if reply.status >= HTTPStatus.BAD_REQUEST and placement.local is not None:
        return None
    return _resumable(reply)


async def _resume(
    instance: Instance,
    request: Request,
    fingerprint: str,
) -> Reply:
    session = request.session
    if session is None:
        raise InvalidRequestError('a session')
    _check_session_place(instance, request, session)
    if session.data_centre != instance.data_centre:
        return await _resume_elsewhere(instance, request, session, fingerprint)
    demand = _avoiding_struck(instance, request, fingerprint)
    generation = Generation(instance, request, demand, fingerprint)
    generation.answer = session.answer
    upstream = instance.catalogue().upstreams.get(session.upstream)
    instance.audit.record(
        Event.RESUMED,
        request.request_id,
        f'{session.upstream} after {request.last_index}',
    )
    if upstream is None or not _is_in_place(instance, request, upstream):
        return await _start_again(instance, request, fingerprint)
    run = EngineRun(
        request,
        upstream,
        session.stream_id,
        session.answer,
        request.last_index,
    )
    return _stream_reply(generation.events(run))


async def _resume_elsewhere(
    instance: Instance,
    request: Request,
    session: Session,
    fingerprint: str,
) -> Reply:
    """Resumes where the engine is, or starts again when it is cut off."""
    if not may_transfer(request.path, session.data_centre):
        raise TransferLimitError(request.path)
    member = pick_member(instance, session.data_centre)
    if member is not None:
        try:
            return _resumable(await forward(instance, request, member))
        except PeerUnreachableError:
            instance.metrics.count('resume_unreachable')
    return await _start_again(instance, request, fingerprint)


async def _start_again(
    instance: Instance,
    request: Request,
    fingerprint: str,
) -> Reply:
    """Starts a new answer because the old one cannot be continued."""
    again = attrs.evolve(
        request,
        session=None,
        session_token='',
        last_index=-1,
    )
    instance.audit.record(Event.RESTARTED, request.request_id, 'engine lost')
    return await _start(instance, again, fingerprint)


def _resumable(reply: Reply) -> Reply:
    """Asks the caller to resume when the other instance falls silent."""
    if reply.chunks is None:
        return reply
    return attrs.evolve(reply, chunks=_ending_with_resume(reply.chunks))


async def _ending_with_resume(
    chunks: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    try:
        async for chunk in chunks:
            yield chunk
    except PeerUnreachableError:
        yield RESUME


def _check_session_place(
    instance: Instance,
    request: Request,
    session: Session,
) -> None:
    catalogue = instance.catalogue()
    allowed = allowed_data_centres(catalogue, request.team, request.kind)
    if session.data_centre not in allowed:
        raise ResidencyError(tuple(sorted(allowed)))


def _is_in_place(
    instance: Instance,
    request: Request,
    upstream: Upstream,
) -> bool:
    """Tells whether an answer may be continued; a leaving engine may."""
    allowed = allowed_data_centres(
        instance.catalogue(),
        request.team,
        request.kind,
    )
    return upstream.data_centre in allowed


def _avoiding_struck(
    instance: Instance,
    request: Request,
    fingerprint: str,
) -> Demand:
    demand = demand_of(request, shared_prefix(request.body))
    struck = instance.books.quarantine.struck_upstreams(fingerprint)
    return attrs.evolve(demand, avoided=struck)


def _require_local(placement: Placement, request: Request) -> Choice:
    if placement.local is None:
        raise NoUpstreamError(request.service)
    return placement.local


def _check_load(instance: Instance, request: Request, choice: Choice) -> None:
    wait = milliseconds(choice.wait_s * 1000)
    timeout = milliseconds(request.kind.timeout_ms)
    if is_too_late(timeout, wait):
        raise OverloadedError(request.service)
    refusal = instance.books.streams.refusal(
        instance.catalogue(),
        request.team,
        is_congested=is_congested(request.kind, wait),
    )
    if refusal is not None:
        raise refusal


def _reply(generation: 'Generation', choice: Choice | None) -> Reply:
    return _stream_reply(generation.events(generation.next_run(choice)))


def _stream_reply(chunks: AsyncIterator[bytes]) -> Reply:
    return Reply(HTTPStatus.OK, EVENT_STREAM_TYPE, chunks=chunks)


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
            choice = _require_local(placement, self._request)
        if not may_serve_here(self._instance, self._request, choice.upstream):
            raise NoUpstreamError(self._request.service)
        self.answer += 1
        self._instance.views.router.note_prefix(
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

    async def events(self, run: EngineRun) -> AsyncIterator[bytes]:
        """Yields the events of the answer until it is whole or has failed."""
        streams = self._instance.books.streams
        streams.open(self._request.team.name)
        try:
            async for block in self._all_runs(run):
                yield block
        except MasticstageError as error:
            yield encode_failure(self._problem(error))
        finally:
            streams.close(self._request.team.name)

    async def _all_runs(self, run: EngineRun) -> AsyncIterator[bytes]:
        while True:
            yield self._mark(run)
            reader, blocks = start_reader(self._instance, run)
            suspects = self._instance.books.suspects
            with suspects.running(run.upstream.name, bool(self._struck())):
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
            if not self._instance.books.budget.try_retry():
                raise failure
        if self.answer >= _MAX_ANSWERS:
            raise failure
        return await self._run_apart()

    async def _run_apart(self) -> EngineRun:
        """Waits until the next engine runs no other suspected request.

        Otherwise a second crash would condemn the innocent ones as well.
        """
        suspects = self._instance.books.suspects
        run = self.next_run()
        with trio.move_on_after(_APART_S):
            while suspects.are_at(run.upstream.name):
                await trio.sleep(_APART_POLL_S)
        return run

    async def _strike(self, run: EngineRun) -> None:
        """Notes a crash and tells the peers before anything runs again."""
        quarantine = self._instance.books.quarantine
        is_condemned = quarantine.strike(self._fingerprint, run.upstream.name)
        await announce(self._instance)
        if is_condemned:
            self._instance.audit.record(
                Event.QUARANTINED,
                self._fingerprint,
                self._request.request_id,
            )
        if quarantine.contains(self._fingerprint):
            raise QuarantinedError(self._fingerprint)

    def _struck(self) -> frozenset[str]:
        return self._instance.books.quarantine.struck_upstreams(
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
        return AnswerMark(run.answer, run.stream_id, token).encode()

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
            self._instance.version,
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
