"""Reference caller: follows all rules of the interface for callers.

A caller asks the system which instances to use and turns to the next one
when an instance fails.  It resumes broken answers, and repeats a call that
may not run twice only under the ticket that it already holds.
"""

import json
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from random import Random
from time import monotonic
from typing import Any, Final, TypeVar, final

import attrs
import httpx
import trio
from httpx_sse import EventSource, ServerSentEvent, SSEError
from returns.result import Failure, Result, Success

from masticstage.exceptions import MasticstageError
from masticstage.outcomes import (
    NOT_RUN,
    UNKNOWN,
    Answer,
    CallOutcome,
    Outcome,
)
from masticstage.requests import (
    JSON_TYPE,
    KIND_HEADER,
    REQUEST_ID_HEADER,
    SESSION_HEADER,
    TICKET_HEADER,
    TICKET_TARGET,
)

_CONNECT_TIMEOUT_S: Final = 1.0
_SILENCE_S: Final = 6.0
_PAUSE_S: Final = 0.2
_REST_S: Final = 2.0
_MAX_TICKETS: Final = 5
#: Weight of an entry that is not listed any more.
_UNLISTED_WEIGHT: Final = 0.01
#: The only problem that proves that a ticketed call did not run.
_SEALED: Final = 'urn:masticstage:sealed'
_DONE: Final = '[DONE]'
_Received = TypeVar('_Received')


@attrs.define(eq=False)
class AnswerIncompleteError(MasticstageError):
    """No whole answer was received before the deadline."""

    code = 'answer-incomplete'
    request_id: str
    reason: str


@attrs.define(eq=False)
class CallRefusedError(MasticstageError):
    """The system refused a request; `problem` is its explanation."""

    code = 'call-refused'
    status_code: int
    problem: Mapping[str, Any]


@attrs.define(eq=False)
class NoEntryError(MasticstageError):
    """No entry instance was tried before the deadline."""

    code = 'no-entry'


@attrs.define(eq=False)
class EntryFailedError(MasticstageError):
    """The connection to an entry instance failed."""

    code = 'entry-failed'
    address: str
    reason: str


@attrs.define
class ModelAnswer:
    """One whole model answer and how it was received."""

    request_id: str
    text: str = ''
    stream_id: str = ''
    number: int = 0
    last_index: int = -1
    session: str = ''
    resumes: int = 0
    restarts: int = 0
    discarded: int = 0
    is_whole: bool = False
    arrivals_s: list[float] = attrs.field(factory=list)


@attrs.define
class CalledOnce:
    """What is known of a call, and how many of its tickets were sealed."""

    outcome: CallOutcome = NOT_RUN
    sealed_tickets: int = 0


@attrs.define
class _Entry:
    """An instance that may be used, avoided for a while after a failure."""

    address: str
    weight: float
    avoid_until_s: float = 0


@final
class Caller:
    """Sends requests of one team through the entry instances."""

    def __init__(
        self,
        entries: tuple[str, ...],
        key: str,
        random: Random,
    ) -> None:
        """Starts with addresses of instances that may be asked first."""
        self._random = random
        self._entries = [_Entry(address, 1) for address in entries]
        self._refresh_at_s = float(0)
        self._client = httpx.AsyncClient(
            headers={'Authorization': f'Bearer {key}'},
            timeout=httpx.Timeout(_SILENCE_S, connect=_CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_connections=None),
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def ask(
        self,
        body: Mapping[str, Any],
        kind: str,
        request_id: str,
        timeout_s: float,
    ) -> ModelAnswer:
        """Returns the whole answer to a chat request.

        Raises `AnswerIncompleteError` after the timeout and
        `CallRefusedError` when the request cannot succeed.
        """
        answer = ModelAnswer(request_id)
        failure: MasticstageError = NoEntryError()

        async def read(entry: _Entry) -> None:
            await self._read_answer(entry, body, kind, answer)

        with trio.move_on_after(timeout_s):
            while not answer.is_whole:
                tried = await self._try_entry(read)
                failure = tried.swap().value_or(failure)
        if not answer.is_whole:
            raise AnswerIncompleteError(request_id, str(failure))
        return answer

    async def look_up(
        self,
        service: str,
        path: str,
        request_id: str,
        timeout_s: float,
    ) -> Answer:
        """Returns the answer to a call that may be repeated freely."""
        failure: MasticstageError = NoEntryError()

        async def get(entry: _Entry) -> Answer:
            return await self._get(entry, service, path, request_id)

        found: Answer | None = None
        with trio.move_on_after(timeout_s):
            while found is None:
                tried = await self._try_entry(get)
                found = tried.value_or(None)
                failure = tried.swap().value_or(failure)
        if found is None:
            raise AnswerIncompleteError(request_id, str(failure))
        return found

    async def run_once(
        self,
        service: str,
        path: str,
        body: bytes,
        request_id: str,
        timeout_s: float,
    ) -> CalledOnce:
        """Runs a call at most once and returns what is known of it.

        A new ticket is taken only after the last one was sealed.
        """
        called = CalledOnce()
        with trio.move_on_after(timeout_s):
            for _ in range(_MAX_TICKETS):
                ticket = await self._take_ticket(service, request_id)
                called.outcome = UNKNOWN
                called.outcome = await self._repeat(
                    f'/v1/services/{service}{path}',
                    body,
                    {TICKET_HEADER: ticket, REQUEST_ID_HEADER: request_id},
                )
                if called.outcome.outcome is Outcome.RAN:
                    break
                called.sealed_tickets += 1
                await trio.sleep(_PAUSE_S * 2**called.sealed_tickets)
        return called

    async def _repeat(
        self,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> CallOutcome:
        """Repeats a ticketed call until it ran or its ticket is sealed."""
        while True:
            entry = await self._pick_entry()
            try:
                response = await self._client.post(
                    f'{entry.address}{target}',
                    content=body,
                    headers={'Content-Type': JSON_TYPE, **headers},
                )
            except httpx.HTTPError:
                self._avoid(entry)
                await trio.sleep(_PAUSE_S)
                continue
            outcome = read_outcome(response)
            if outcome.outcome is not Outcome.UNKNOWN:
                return outcome
            await trio.sleep(_PAUSE_S)

    async def _take_ticket(self, service: str, request_id: str) -> str:
        async def issue(entry: _Entry) -> str:
            response = await self._client.post(
                f'{entry.address}{TICKET_TARGET}',
                json={'service': service},
                headers={REQUEST_ID_HEADER: request_id},
            )
            _raise_refusal(response)
            return response.text

        ticket = ''
        while not ticket:
            tried = await self._try_entry(issue)
            ticket = tried.value_or('')
        return ticket

    async def _try_entry(
        self,
        send: Callable[[_Entry], Awaitable[_Received]],
    ) -> Result[_Received, MasticstageError]:
        """Sends through one entry; avoids it for a while when it fails.

        Raises `CallRefusedError` when no other entry would succeed either.
        """
        entry = await self._pick_entry()
        failure: MasticstageError
        try:
            return Success(await send(entry))
        except (httpx.HTTPError, SSEError) as error:
            failure = EntryFailedError(entry.address, type(error).__name__)
        except CallRefusedError as refusal:
            if not _may_try_again(refusal):
                raise
            failure = refusal
        self._avoid(entry)
        await trio.sleep(_PAUSE_S * self._random.random())
        return Failure(failure)

    async def _get(
        self,
        entry: _Entry,
        service: str,
        path: str,
        request_id: str,
    ) -> Answer:
        response = await self._client.get(
            f'{entry.address}/v1/services/{service}{path}',
            headers={REQUEST_ID_HEADER: request_id},
        )
        _raise_refusal(response)
        content_type = response.headers.get('Content-Type', '')
        return Answer(response.status_code, content_type, response.content)

    async def _read_answer(
        self,
        entry: _Entry,
        body: Mapping[str, Any],
        kind: str,
        answer: ModelAnswer,
    ) -> None:
        headers = {
            KIND_HEADER: kind,
            REQUEST_ID_HEADER: answer.request_id,
        }
        if answer.session:
            headers[SESSION_HEADER] = answer.session
            headers['Last-Event-ID'] = str(answer.last_index)
            answer.resumes += 1
        async with self._client.stream(
            'POST',
            f'{entry.address}/v1/chat/completions',
            json=body,
            headers=headers,
        ) as response:
            if response.status_code != httpx.codes.OK:
                await response.aread()
                _raise_refusal(response)
            await _take_events(EventSource(response).aiter_sse(), answer)

    async def _pick_entry(self) -> _Entry:
        now_s = monotonic()
        if now_s >= self._refresh_at_s:
            await self._refresh_entries()
        usable = [one for one in self._entries if one.avoid_until_s <= now_s]
        candidates = usable or self._entries
        weights = [one.weight for one in candidates]
        return self._random.choices(candidates, weights)[0]

    async def _refresh_entries(self) -> None:
        """Asks an instance for the entries; keeps the known on failure."""
        entry = self._random.choice(self._entries)
        try:
            response = await self._client.get(f'{entry.address}/v1/entries')
            fields = response.json()
            listed = {
                one['address']: float(one['weight'])
                for one in fields['entries']
            }
            self._refresh_at_s = monotonic() + float(fields['ttl_s'])
        except (httpx.HTTPError, KeyError, ValueError):
            return
        known = {one.address: one for one in self._entries}
        for address, weight in listed.items():
            known.setdefault(address, _Entry(address, weight)).weight = weight
        for address, old in known.items():
            if address not in listed:
                old.weight = min(old.weight, _UNLISTED_WEIGHT)
        self._entries = list(known.values())

    def _avoid(self, entry: _Entry) -> None:
        entry.avoid_until_s = monotonic() + _REST_S


async def _take_events(
    events: AsyncIterator[ServerSentEvent],
    answer: ModelAnswer,
) -> None:
    """Adds events to the answer; stops at its end or at a gap."""
    async for event in events:
        if event.event == 'answer':
            _take_mark(json.loads(event.data), answer)
            continue
        if event.event == 'error':
            answer.session = ''
            _raise_problem(json.loads(event.data))
        if event.event == 'resume' or not _take_event(event, answer):
            return


def _raise_problem(problem: Mapping[str, Any]) -> None:
    raise CallRefusedError(int(problem['status']), problem)


def _take_mark(mark: Mapping[str, Any], answer: ModelAnswer) -> None:
    if mark['stream_id'] != answer.stream_id:
        answer.restarts += bool(answer.stream_id)
        answer.text = ''
        answer.last_index = -1
    answer.stream_id = mark['stream_id']
    answer.number = mark['answer']
    answer.session = mark['session']


def _take_event(event: ServerSentEvent, answer: ModelAnswer) -> bool:
    """Takes one event; False ends reading (end mark, gap or mix-up)."""
    index = int(event.id)
    if index <= answer.last_index:
        answer.discarded += 1
        return True
    if index > answer.last_index + 1:
        return False
    if event.data == _DONE:
        answer.is_whole = True
        return False
    fields = json.loads(event.data)
    if fields['id'] != answer.stream_id:
        return False
    answer.text += fields['choices'][0]['delta'].get('content', '')
    answer.last_index = index
    answer.arrivals_s.append(monotonic())
    return True


def _raise_refusal(response: httpx.Response) -> None:
    if response.is_success:
        return
    try:
        problem = response.json()
    except ValueError:
        problem = {}
    raise CallRefusedError(response.status_code, problem)


def _may_try_again(error: CallRefusedError) -> bool:
    """Tells whether another instance or a later try may succeed."""
    is_server_side = error.status_code >= httpx.codes.INTERNAL_SERVER_ERROR
    later = (httpx.codes.TOO_MANY_REQUESTS, httpx.codes.MISDIRECTED_REQUEST)
    return is_server_side or error.status_code in later


def read_outcome(response: httpx.Response) -> CallOutcome:
    """Returns what a reply proves about a ticketed call."""
    content_type = response.headers.get('Content-Type', '')
    if response.headers.get('Masticstage-Outcome') == Outcome.RAN.value:
        answer = Answer(response.status_code, content_type, response.content)
        return CallOutcome(Outcome.RAN, answer)
    try:
        code = response.json()['type']
    except (KeyError, TypeError, ValueError):
        return UNKNOWN
    return NOT_RUN if code == _SEALED else UNKNOWN
