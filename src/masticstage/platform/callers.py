"""The formats of callers: requests, refusals, the question for entries."""

import json
from datetime import timedelta
from typing import Final
from urllib.parse import parse_qs

from masticstage.clock import milliseconds
from masticstage.exceptions import InvalidRequestError
from masticstage.forwarding.requests import (
    NO_PROMPT,
    CallerRequest,
    Headers,
    Prompt,
    PromptPart,
)
from masticstage.forwarding.wire import EntryAnswer, EntryQuery, RawRequest
from masticstage.platform import words

#: Allowance of a caller that names none; the route's limit is shorter.
_NO_DEADLINE: Final = timedelta(hours=1)
#: Time for which callers keep a list of entries: the least whole second.
#: A list that is asked for often names a lost instance for a short time.
_ENTRIES_KEPT_S: Final = 1
_HEX: Final = 16


def read_request(raw: RawRequest) -> CallerRequest:
    """Decodes a caller's request; fails without an id or with bad numbers."""
    fields = dict(raw.headers)
    request_id = fields.get(words.REQUEST_ID, b'').decode('latin-1')
    if not request_id:
        raise InvalidRequestError('a request id')
    host = fields.get(words.HOST, b'').decode('latin-1').lower()
    return CallerRequest(
        request_id,
        raw.method,
        raw.target,
        host.partition(':')[0],
        raw.target.partition(b'?')[0].decode('latin-1'),
        _passed_on(raw.headers, fields.get(words.CONNECTION, b'')),
        raw.body,
        _read_allowance(fields.get(words.DEADLINE_MS)),
        raw.arrived,
        _read_prompt(fields),
        fields.get(words.LAST_EVENT_ID, b'').decode('latin-1'),
    )


def refusal_headers(
    request_id: str,
    retry_after: timedelta | None,
) -> Headers:
    """Returns the headers of an answer of the system's own."""
    headers = [(b'content-type', b'text/plain')]
    if request_id:
        headers.append((words.REQUEST_ID, request_id.encode('latin-1')))
    if retry_after is not None:
        seconds = f'{retry_after.total_seconds():.3f}'
        headers.append((words.RETRY_AFTER, seconds.encode()))
    return tuple(headers)


def read_entry_query(target: bytes) -> EntryQuery | None:
    """Decodes a question for entries; None when it is something else."""
    path, _, query = target.partition(b'?')
    if path != words.RESOLVE_PATH:
        return None
    fields = parse_qs(query.decode('latin-1'))
    region, zone, name = (
        fields.get(field, [''])[0] for field in ('Region', 'Zone', 'Name')
    )
    # `Zone` is what the product calls a data centre; `Name` is a host.
    return EntryQuery(region, zone, name.lower())


def write_entries(addresses: tuple[str, ...]) -> EntryAnswer:
    """Encodes the list of entries."""
    body = {'Addresses': list(addresses), 'TtlS': _ENTRIES_KEPT_S}
    return EntryAnswer(json.dumps(body).encode(), 'application/json')


def is_readiness_query(target: bytes) -> bool:
    """Tells whether the platform asks if the instance is ready."""
    return target.partition(b'?')[0] == words.READY_PATH


def _passed_on(headers: Headers, connection: bytes) -> Headers:
    named = {name.strip() for name in connection.lower().split(b',')}
    dropped = words.OF_ONE_CONNECTION | words.OF_THE_SYSTEM | named
    return tuple(header for header in headers if header[0] not in dropped)


def _read_allowance(field: bytes | None) -> timedelta:
    if field is None:
        return _NO_DEADLINE
    try:
        return milliseconds(float(field))
    except (ValueError, OverflowError) as error:
        raise InvalidRequestError('a deadline in milliseconds') from error


def _read_prompt(fields: dict[bytes, bytes]) -> Prompt:
    counts = fields.get(words.TOKEN_COUNTS)
    if counts is None:
        return NO_PROMPT
    try:
        tokens_in, tokens_out = (int(count) for count in counts.split(b','))
        parts = _read_parts(fields.get(words.PROMPT_PREFIX, b''))
    except ValueError:
        # Placement does without; the upstream judges the header itself.
        return NO_PROMPT
    return Prompt(parts, tokens_in, tokens_out)


def _read_parts(field: bytes) -> tuple[PromptPart, ...]:
    entries = [entry.strip() for entry in field.split(b',') if entry.strip()]
    parts = []
    for entry in entries:
        part_id, _, tokens = entry.decode('latin-1').partition(':')
        parts.append(PromptPart(f'{int(part_id, _HEX):x}', int(tokens)))
    return tuple(parts)
