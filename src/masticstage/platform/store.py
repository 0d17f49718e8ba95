"""Read-only client of the platform's key-value store."""

import base64
import binascii
import json
from http import HTTPStatus
from typing import Any, Final, final

import httpx
import trio

from masticstage.bounded_bodies import read_bounded
from masticstage.exceptions import (
    AnswerTooLargeError,
    EndlessBodyError,
    HistoryLostError,
    PlatformBusyError,
    PlatformUnavailableError,
)
from masticstage.forwarding.read_pauses import ANSWER_MARGIN_S
from masticstage.forwarding.record_cache import RecordEvent, RecordUpdates
from masticstage.platform import names
from masticstage.platform.eras import read_era

#: Timeout for one page when all records are read.
_PAGE_TIMEOUT_S: Final = 1.5
#: Largest answer that is read. A page holds at most about 1 MB of values, or a
#: value of 1 MB besides, in base64.
_MAX_ANSWER_BYTES: Final = 8_388_608
_MS_PER_S: Final = 1000

_Fields = dict[str, Any]
_DECODE_ERRORS: Final = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
    binascii.Error,
)


@final
class StoreClient:
    """Client of the store of one deployment.

    Reads and watches use one kept connection, which is replaced after a call
    without an answer. Raises PlatformUnavailableError when the store does not
    answer or its answer is malformed, AnswerTooLargeError when the answer has
    no end, PlatformBusyError when the store rejects a call for its rate limit,
    and HistoryLostError when it no longer has the changes after a revision.
    """

    def __init__(
        self,
        address: str,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Creates the connection pool; a transport replaces the network."""
        self._address = f'http://{address}'
        # Without `verify=False` certificates are loaded that plain HTTP never
        # uses, which takes a tenth of the start-up time.
        self._client = httpx.AsyncClient(
            trust_env=False,
            transport=transport,
            verify=False,  # noqa: S501
            headers={'accept-encoding': 'identity'},
        )

    async def read_all(self) -> RecordUpdates:
        """Reads all records, page by page.

        The pages may be of different revisions. The result has the revision of
        the first one, so a watch from it reports what changed in between.
        Pages of several eras are of no use.
        """
        page, has_more = await self._read_page('')
        era, revision = page.position
        events = list(page.events)
        while has_more and page.events:
            after = page.events[-1].key
            page, has_more = await self._read_page(after)
            if page.era != era:
                raise PlatformUnavailableError('pages of several eras')
            if page.events and page.events[-1].key <= after:
                raise PlatformUnavailableError('pages do not advance')
            events.extend(page.events)
        return RecordUpdates(tuple(events), revision, is_snapshot=True, era=era)

    async def watch(self, after: int, wait_s: float) -> RecordUpdates:
        """Returns the changes after a revision.

        Waits up to `wait_s` for them; there may be none.
        """
        query = {
            'PathPrefix': '',
            'after': str(after),
            'WaitMs': str(round(wait_s * _MS_PER_S)),
        }
        fields, era = await self._get(
            names.WATCH_PATH, query, wait_s + ANSWER_MARGIN_S
        )
        return _decode(fields, 'events', era)

    async def read_changes(self, after: int) -> RecordUpdates:
        """Returns the changes after a revision at once.

        Uses a connection that is not kept, so that there is never a second one
        that may have gone silent unnoticed.
        """
        query = {'PathPrefix': '', 'after': str(after), 'WaitMs': '0'}
        fields, era = await self._get(
            names.WATCH_PATH, query, ANSWER_MARGIN_S, {'connection': 'close'}
        )
        return _decode(fields, 'events', era)

    async def _read_page(self, after: str) -> tuple[RecordUpdates, bool]:
        """Reads the page behind a key; returns whether there are more."""
        query = {'PathPrefix': ''}
        if after:
            query['after'] = after
        fields, era = await self._get(names.RANGE_PATH, query, _PAGE_TIMEOUT_S)
        return _decode(fields, 'items', era), bool(fields.get('MorePages'))

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> tuple[_Fields, int]:
        """Calls the store; `timeout_s` is for the whole call.

        Returns the answer and its era.
        """
        try:
            with trio.fail_after(timeout_s):
                async with self._client.stream(
                    'GET',
                    self._address + path,
                    params=query,
                    headers=headers,
                    timeout=timeout_s,
                ) as response:
                    body = await _read_body(response)
        except trio.TooSlowError as error:
            raise PlatformUnavailableError('timed out') from error
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(type(error).__name__) from error
        if response.status_code != HTTPStatus.OK:
            raise _failure(response.status_code)
        return _read_fields(body), read_era(response.headers)


async def _read_body(response: httpx.Response) -> bytes:
    """Reads a body that is not encoded, as it was asked for.

    Raises AnswerTooLargeError once it is larger than any sound one.
    """
    if 'content-encoding' in response.headers:
        raise PlatformUnavailableError('encoded answer')
    try:
        return await read_bounded(response, _MAX_ANSWER_BYTES)
    except EndlessBodyError as error:
        raise AnswerTooLargeError('answer without end') from error


def _read_fields(body: bytes) -> _Fields:
    try:
        fields: _Fields = json.loads(body)
    except ValueError as error:
        raise PlatformUnavailableError('malformed answer') from error
    return fields


def _failure(status: int) -> HistoryLostError | PlatformUnavailableError:
    """Returns what an answer with another status than 200 means."""
    if status == HTTPStatus.GONE:
        return HistoryLostError('history')
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return PlatformBusyError('rate limit')
    return PlatformUnavailableError(f'status {status}')


def _decode(fields: _Fields, list_name: str, era: int) -> RecordUpdates:
    try:
        events = tuple(_decode_event(entry) for entry in fields[list_name])
        return RecordUpdates(
            events, int(fields['CurrentRev']), is_snapshot=False, era=era
        )
    except _DECODE_ERRORS as error:
        raise PlatformUnavailableError('malformed answer') from error


def _decode_event(entry: _Fields) -> RecordEvent:
    if entry.get('Deleted'):
        return RecordEvent(entry['Key'], int(entry['Revision']), None)
    body = base64.b64decode(entry['Value'], validate=True)
    return RecordEvent(entry['Key'], int(entry['Revision']), body)
