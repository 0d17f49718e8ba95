"""Reference client that follows all rules of the interface for callers.

It fetches the list of entry instances and uses another one when an instance
fails.  It resumes interrupted answers.  A call that must not run twice is
retried only under the same ticket, until that ticket is sealed.
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
#: Longest time without data before a request counts as failed.
_READ_TIMEOUT_S: Final = 6.0
#: Pause before a failed request is sent again.
_RETRY_PAUSE_S: Final = 0.2
#: Time for which an entry is avoided after a failure.
_AVOID_S: Final = 2.0
#: Maximum number of tickets for one call, when each one before was sealed.
_MAX_TICKETS: Final = 5
#: Weight of an entry that is no longer listed.  It is rarely used, unless the
#: listed ones fail.
_UNLISTED_WEIGHT: Final = 0.01
#: The only problem type that proves that a call under a ticket did not run.
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
    """One model answer and how it was received.

    `number` counts the generations of the answer at the instances, and
    `last_index` is the index of the last event received, -1 before the
    first.  `discarded` counts repeated events.  `arrivals_s` are monotonic
    times, one for each event.
    """

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
class AtMostOnceResult:
    """Outcome of a call that runs at most once.

    `sealed_tickets` counts the tickets that were sealed before it ran.
    """

    outcome: CallOutcome = NOT_RUN
    sealed_tickets: int = 0


@attrs.define
class _Entry:
    """An entry instance; `avoid_until_s` is a monotonic time."""

    address: str
    weight: float
    avoid_until_s: float = 0


@final
class Caller:
    """Sends the requests of one team through the entry instances."""

    def __init__(
        self,
        entries: tuple[str, ...],
        key: str,
        random: Random,
    ) -> None:
        """Creates a client.

        `entries` are the base URLs of instances to contact first, and `key`
        is the API key of the team.
        """
        self._random = random
        self._entries = [_Entry(address, 1) for address in entries]
        self._refresh_at_s = float(0)
        self._client = httpx.AsyncClient(
            headers={'Authorization': f'Bearer {key}'},
            timeout=httpx.Timeout(_READ_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S),
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
        """Returns the complete answer to a chat request.

        Raises `AnswerIncompleteError` after the timeout and
        `CallRefusedError` when the request cannot succeed.
        """
        answer = ModelAnswer(request_id)
        failure: MasticstageError = NoEntryError()

        async def read(entry: _Entry) -> None:
            await self._read_answer(entry, body, kind, answer)

        with trio.move_on_after(timeout_s):
            while not answer.is_whole:
                attempt = await self._try_entry(read)
                failure = attempt.swap().value_or(failure)
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
        """Returns the answer to a GET request, which may be retried.

        Raises `AnswerIncompleteError` after the timeout and
        `CallRefusedError` when the request cannot succeed.
        """
        failure: MasticstageError = NoEntryError()

        async def get(entry: _Entry) -> Answer:
            return await self._get_answer(entry, service, path, request_id)

        found: Answer | None = None
        with trio.move_on_after(timeout_s):
            while found is None:
                attempt = await self._try_entry(get)
                found = attempt.value_or(None)
                failure = attempt.swap().value_or(failure)
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
    ) -> AtMostOnceResult:
        """Runs a call at most once; returns its outcome, which may be unknown.

        A new ticket is obtained only after the last one was sealed.  Raises
        `CallRefusedError` when no ticket can be obtained.
        """
        call_result = AtMostOnceResult()
        with trio.move_on_after(timeout_s):
            for _ in range(_MAX_TICKETS):
                ticket = await self._obtain_ticket(service, request_id)
                call_result.outcome = UNKNOWN
                call_result.outcome = await self._post_until_known(
                    f'/v1/services/{service}{path}',
                    body,
                    {TICKET_HEADER: ticket, REQUEST_ID_HEADER: request_id},
                )
                if call_result.outcome.outcome is Outcome.RAN:
                    break
                call_result.sealed_tickets += 1
                await trio.sleep(_RETRY_PAUSE_S * 2**call_result.sealed_tickets)
        return call_result

    async def _post_until_known(
        self,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> CallOutcome:
        """Retries a call until it has run or its ticket is sealed."""
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
                await trio.sleep(_RETRY_PAUSE_S)
                continue
            outcome = read_outcome(response)
            if outcome.outcome is not Outcome.UNKNOWN:
                return outcome
            await trio.sleep(_RETRY_PAUSE_S)

    async def _obtain_ticket(self, service: str, request_id: str) -> str:
        async def issue(entry: _Entry) -> str:
            response = await self._client.post(
                f'{entry.address}{TICKET_TARGET}',
                json={'service': service},
                headers={REQUEST_ID_HEADER: request_id},
            )
            _raise_for_refusal(response)
            return response.text

        ticket = ''
        while not ticket:
            attempt = await self._try_entry(issue)
            ticket = attempt.value_or('')
        return ticket

    async def _try_entry(
        self,
        send: Callable[[_Entry], Awaitable[_Received]],
    ) -> Result[_Received, MasticstageError]:
        """Sends a request through one entry; avoids the entry when that fails.

        Raises `CallRefusedError` when another entry would refuse it as well.
        """
        entry = await self._pick_entry()
        failure: MasticstageError
        try:
            return Success(await send(entry))
        except (httpx.HTTPError, SSEError) as error:
            failure = EntryFailedError(entry.address, type(error).__name__)
        except CallRefusedError as refusal:
            if not _is_retryable(refusal):
                raise
            failure = refusal
        self._avoid(entry)
        await trio.sleep(_RETRY_PAUSE_S * self._random.random())
        return Failure(failure)

    async def _get_answer(
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
        _raise_for_refusal(response)
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
                _raise_for_refusal(response)
            await _read_events(EventSource(response).aiter_sse(), answer)

    async def _pick_entry(self) -> _Entry:
        now_s = monotonic()
        if now_s >= self._refresh_at_s:
            await self._refresh_entries()
        usable = [
            entry for entry in self._entries if entry.avoid_until_s <= now_s
        ]
        candidates = usable or self._entries
        weights = [entry.weight for entry in candidates]
        return self._random.choices(candidates, weights)[0]

    async def _refresh_entries(self) -> None:
        """Fetches the list of entries; keeps the previous one on failure."""
        entry = self._random.choice(self._entries)
        try:
            response = await self._client.get(f'{entry.address}/v1/entries')
            fields = response.json()
            listed = {
                listed_entry['address']: float(listed_entry['weight'])
                for listed_entry in fields['entries']
            }
            self._refresh_at_s = monotonic() + float(fields['ttl_s'])
        except (httpx.HTTPError, KeyError, ValueError):
            return
        known = {current.address: current for current in self._entries}
        for address, weight in listed.items():
            known.setdefault(address, _Entry(address, weight)).weight = weight
        for address, known_entry in known.items():
            if address not in listed:
                known_entry.weight = min(known_entry.weight, _UNLISTED_WEIGHT)
        self._entries = list(known.values())

    def _avoid(self, entry: _Entry) -> None:
        entry.avoid_until_s = monotonic() + _AVOID_S


async def _read_events(
    events: AsyncIterator[ServerSentEvent],
    answer: ModelAnswer,
) -> None:
    """Adds events to the answer; returns at its end or at a gap.

    Raises `CallRefusedError` for an event that reports an error.
    """
    async for event in events:
        if event.event == 'answer':
            _apply_answer_event(json.loads(event.data), answer)
            continue
        if event.event == 'error':
            answer.session = ''
            _raise_problem(json.loads(event.data))
        if event.event == 'resume' or not _apply_event(event, answer):
            return


def _raise_problem(problem: Mapping[str, Any]) -> None:
    raise CallRefusedError(int(problem['status']), problem)


def _apply_answer_event(
    event_fields: Mapping[str, Any], answer: ModelAnswer
) -> None:
    """Starts a generation; discards the text of another stream."""
    if event_fields['stream_id'] != answer.stream_id:
        answer.restarts += bool(answer.stream_id)
        answer.text = ''
        answer.last_index = -1
    answer.stream_id = event_fields['stream_id']
    answer.number = event_fields['answer']
    answer.session = event_fields['session']


def _apply_event(event: ServerSentEvent, answer: ModelAnswer) -> bool:
    """Adds an event; False at the end, a gap or an event of another stream."""
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


def _raise_for_refusal(response: httpx.Response) -> None:
    """Raises `CallRefusedError` unless the status is a success."""
    if response.is_success:
        return
    try:
        problem = response.json()
    except ValueError:
        problem = {}
    raise CallRefusedError(response.status_code, problem)


def _is_retryable(error: CallRefusedError) -> bool:
    """Returns whether another instance or a later attempt may succeed."""
    is_server_side = error.status_code >= httpx.codes.INTERNAL_SERVER_ERROR
    retryable = (httpx.codes.TOO_MANY_REQUESTS, httpx.codes.MISDIRECTED_REQUEST)
    return is_server_side or error.status_code in retryable


def read_outcome(response: httpx.Response) -> CallOutcome:
    """Returns what a reply proves about a call under a ticket."""
    content_type = response.headers.get('Content-Type', '')
    if response.headers.get('Masticstage-Outcome') == Outcome.RAN.value:
        answer = Answer(response.status_code, content_type, response.content)
        return CallOutcome(Outcome.RAN, answer)
    try:
        code = response.json()['type']
    except (KeyError, TypeError, ValueError):
        return UNKNOWN
    return NOT_RUN if code == _SEALED else UNKNOWN
