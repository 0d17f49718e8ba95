"""What the edges need from an adapter: formats only, no decisions."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from masticstage.forwarding.loads import ReportedLoad
from masticstage.forwarding.published import Published
from masticstage.forwarding.requests import CallerRequest, Headers


@attrs.frozen
class RawRequest:
    """A request as it was read: its line, its headers and whole body.

    Header names are in lower case.  `arrived` is on the steady clock.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: timedelta


@attrs.frozen
class DispatchOptions:
    """What the system itself sets on a request to an upstream.

    `fetch_from` is the address of another upstream from which it copies what
    that one holds of the prompt, empty for none.
    """

    upstream: str
    remaining: timedelta
    priority: int
    last_event_id: str = ''
    fetch_from: str = ''


@attrs.frozen
class AnswerFacts:
    """What the head of an upstream's answer says.

    `matches_request` is False when the answer names another request;
    `is_not_run` is the upstream's statement that the request did not run and
    will not run later.
    """

    status: int
    matches_request: bool
    is_not_run: bool
    is_signed: bool
    is_encoded: bool
    load: ReportedLoad | None = None
    cold_for: timedelta = timedelta()
    instance: str = ''


@attrs.frozen
class EntryQuery:
    """Where a caller that asks for entries is, and for which host."""

    region: str
    data_centre: str
    host: str


@attrs.frozen
class EntryAnswer:
    """The body of an answer with entries, and its media type."""

    body: bytes
    media_type: str


@attrs.frozen
class WireFormat:
    """The formats of one platform, as functions."""

    read_request: Callable[[RawRequest], CallerRequest]
    dispatch_headers: Callable[[CallerRequest, DispatchOptions], Headers]
    read_answer: Callable[[int, Headers, str], AnswerFacts]
    refusal_headers: Callable[[str, timedelta | None], Headers]
    read_entry_query: Callable[[bytes], EntryQuery | None]
    write_entries: Callable[[tuple[str, ...]], EntryAnswer]
    decode_record: Callable[[str, bytes], Published]
    is_readiness_query: Callable[[bytes], bool]
