"""Decodes requests and queries of callers and encodes the answers to them."""

import json
from collections.abc import Iterable
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
from masticstage.platform import names
from masticstage.platform.keys import read_key

#: Allowance of a request without a deadline; the limit of its route is shorter.
_DEFAULT_ALLOWANCE: Final = timedelta(hours=1)
#: Time for which callers cache a list of entries. It is the least in whole
#: seconds, so that callers soon stop using an instance that was lost.
_ENTRIES_TTL_S: Final = 1
_HEX_BASE: Final = 16
#: Largest count of tokens that is believed.
_MAX_TOKENS: Final = 1_000_000_000
_MAX_DIGITS: Final = 20
#: Counts of a request: tokens to read and to generate.
_COUNTS: Final = 2


def read_request(raw: RawRequest) -> CallerRequest:
    """Decodes a caller's request.

    Raises InvalidRequestError if the request id is missing or the deadline is
    invalid. Invalid token counts and prompt parts are ignored.
    """
    fields = dict(raw.headers)
    request_id = fields.get(names.REQUEST_ID, b'').decode('latin-1')
    if not request_id:
        raise InvalidRequestError('a request id')
    host = fields.get(names.HOST, b'').decode('latin-1').lower()
    return CallerRequest(
        request_id,
        raw.method,
        raw.target,
        host.partition(':')[0],
        raw.target.partition(b'?')[0].decode('latin-1'),
        _end_to_end_headers(raw.headers, fields.get(names.CONNECTION, b'')),
        raw.body,
        _read_allowance(fields.get(names.DEADLINE_MS)),
        raw.arrived,
        _read_prompt(fields),
        fields.get(names.LAST_EVENT_ID, b'').decode('latin-1'),
        read_key(raw.headers),
        _read_total(fields.get(names.TOKEN_COUNTS, b'')),
        fields.get(names.RESUMES, b'').decode('latin-1'),
    )


def refusal_headers(
    request_id: str,
    retry_after: timedelta | None,
) -> Headers:
    """Returns the headers of an error response from the gateway itself.

    Retry-After is in seconds with milliseconds as a fraction.
    """
    headers = [(b'content-type', b'text/plain')]
    if request_id:
        headers.append((names.REQUEST_ID, request_id.encode('latin-1')))
    if retry_after is not None:
        seconds = f'{retry_after.total_seconds():.3f}'
        headers.append((names.RETRY_AFTER, seconds.encode()))
    return tuple(headers)


def read_entry_query(target: bytes) -> EntryQuery | None:
    """Decodes a query for entries; returns None for any other target."""
    path, _, query = target.partition(b'?')
    if path != names.RESOLVE_PATH:
        return None
    fields = parse_qs(query.decode('latin-1'))
    region, zone, name = (
        fields.get(field, [''])[0] for field in ('Region', 'Zone', 'Name')
    )
    # `Zone` is a data centre, `Name` a host.
    return EntryQuery(region, zone, name.lower())


def write_entries(addresses: tuple[str, ...]) -> EntryAnswer:
    """Encodes a list of entries, given as addresses (host:port)."""
    body = {'Addresses': list(addresses), 'TtlS': _ENTRIES_TTL_S}
    return EntryAnswer(json.dumps(body).encode(), 'application/json')


def is_readiness_query(target: bytes) -> bool:
    """Returns whether a target is that of the readiness check."""
    return target.partition(b'?')[0] == names.READY_PATH


def _end_to_end_headers(headers: Headers, connection: bytes) -> Headers:
    listed = {name.strip() for name in connection.lower().split(b',')}
    dropped = names.HOP_BY_HOP | names.SET_BY_GATEWAY | listed
    return tuple(header for header in headers if header[0] not in dropped)


def _read_allowance(field: bytes | None) -> timedelta:
    if field is None:
        return _DEFAULT_ALLOWANCE
    try:
        return milliseconds(float(field))
    except (ValueError, OverflowError) as error:
        raise InvalidRequestError('a deadline in milliseconds') from error


def _read_prompt(fields: dict[bytes, bytes]) -> Prompt:
    """Returns the prompt; its counts are 0 if they cannot be used.

    The upstream validates the headers itself. The parts are read without the
    counts as well, since they may be quarantined.
    """
    entries = _split_entries(fields.get(names.PROMPT_PREFIX, b''))
    try:
        part_ids = [f'{int(entry[0], _HEX_BASE):x}' for entry in entries]
    except ValueError:
        return NO_PROMPT
    try:
        tokens_in, tokens_out = _read_counts(
            fields.get(names.TOKEN_COUNTS, b'').split(b',')
        )
        tokens = _read_counts(entry[2] for entry in entries)
    except ValueError:
        tokens_in, tokens_out, tokens = 0, 0, [0 for _ in entries]
    parts = map(PromptPart, part_ids, tokens)
    return Prompt(tuple(parts), tokens_in, tokens_out)


def _read_total(field: bytes) -> int | None:
    """Returns the sum of the two counts of tokens, None if they are unusable.

    Unlike for prompts, the parts need not be usable.
    """
    counts = [count.strip() for count in field.split(b',')]
    if len(counts) != _COUNTS or not all(map(bytes.isdigit, counts)):
        return None
    if max(map(len, counts)) > _MAX_DIGITS:
        return None
    numbers = [int(count) for count in counts]
    return None if max(numbers) > _MAX_TOKENS else sum(numbers)


def _split_entries(field: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """Returns the id, a colon and the tokens of each part."""
    entries = (entry.strip() for entry in field.split(b','))
    return [entry.partition(b':') for entry in entries if entry]


def _read_counts(counts: Iterable[bytes]) -> list[int]:
    numbers = [int(count) for count in counts]
    if any(not 0 <= number <= _MAX_TOKENS for number in numbers):
        raise ValueError('counts of tokens')
    return numbers
