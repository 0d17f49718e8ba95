"""Interface to the request and record formats of a platform."""

import enum
from collections.abc import Callable
from datetime import timedelta

import attrs

from masticstage.forwarding.loads import ReportedLoad
from masticstage.forwarding.published import Published
from masticstage.forwarding.requests import CallerRequest, Headers


@attrs.frozen
class RawRequest:
    """An HTTP request as received, with its complete body.

    Header names are in lower case; the headers may hold a key. `arrived` is on
    the monotonic clock.
    """

    method: bytes
    target: bytes
    headers: Headers = attrs.field(repr=False)
    body: bytes
    arrived: timedelta


@attrs.frozen
class DispatchOptions:
    """What the gateway sets on a request to an upstream.

    `fetch_from` is the address of another upstream to copy the shared prefix
    of the prompt from, empty for none.
    """

    upstream: str
    remaining: timedelta
    priority: int
    last_event_id: str = ''
    fetch_from: str = ''


@enum.unique
class NamedRequest(enum.Enum):
    """Which request an answer names by its request id."""

    THIS = 'this'
    NONE = 'none'
    ANOTHER = 'another'


@attrs.frozen
class AnswerFacts:
    """Facts from the head of an upstream's answer.

    `is_not_run` is the upstream's statement that the request did not run and
    will not run later.  `is_leaving` and `rest` are what it says of itself:
    that it leaves, and for how long it wants nothing from this instance.
    """

    status: int
    named_request: NamedRequest
    is_not_run: bool
    is_signed: bool
    is_encoded: bool
    load: ReportedLoad | None = None
    cold_for: timedelta = timedelta()
    instance: str = ''
    is_leaving: bool = False
    rest: timedelta = timedelta()

    @property
    def names_a_request(self) -> bool:
        """Whether the answer names a request at all."""
        return self.named_request is not NamedRequest.NONE

    @property
    def matches_request(self) -> bool:
        """Whether the answer names no other request."""
        return self.named_request is not NamedRequest.ANOTHER


@attrs.frozen
class EntryQuery:
    """Location and host of a caller that asks for entries."""

    region: str
    data_centre: str
    host: str


@attrs.frozen
class EntryAnswer:
    """The body of an answer that lists entries, and its media type."""

    body: bytes
    media_type: str


@attrs.frozen
class WireFormat:
    """Functions that read and write the formats of one platform."""

    read_request: Callable[[RawRequest], CallerRequest]
    dispatch_headers: Callable[[CallerRequest, DispatchOptions], Headers]
    read_answer: Callable[[int, Headers, str, str], AnswerFacts]
    refusal_headers: Callable[[str, timedelta | None], Headers]
    read_entry_query: Callable[[bytes], EntryQuery | None]
    write_entries: Callable[[tuple[str, ...]], EntryAnswer]
    decode_record: Callable[[str, bytes], Published]
    is_readiness_query: Callable[[bytes], bool]
    name_team: Callable[[Headers, str], Headers]
