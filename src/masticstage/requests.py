"""A caller's request and its reply, independent of the transport."""

from collections.abc import AsyncGenerator
from datetime import timedelta
from typing import Final

import attrs

from masticstage.configuration_schema import Kind, Team
from masticstage.tokens import Session

JSON_TYPE: Final = 'application/json'
PROBLEM_TYPE: Final = 'application/problem+json'
EVENT_STREAM_TYPE: Final = 'text/event-stream'
#: Target of a request for a ticket, by a caller or a forwarding instance.
TICKET_TARGET: Final = '/v1/tickets'
#: Header that names the kind of a model request.
KIND_HEADER: Final = 'Masticstage-Kind'
#: Header with the session token by which a caller resumes a model answer.
SESSION_HEADER: Final = 'Masticstage-Session'
TICKET_HEADER: Final = 'Idempotency-Key'
REQUEST_ID_HEADER: Final = 'X-Request-Id'


@attrs.frozen
class Request:
    """A checked request of an authenticated caller.

    `path` names the data centres that have forwarded it.  `deadline` is an
    elapsed time of this instance's clock.  `last_index` is the index of the
    last event that the caller has received, -1 if none.
    """

    request_id: str
    team: Team
    service: str
    kind: Kind
    method: str
    target: str
    body: bytes
    deadline: timedelta
    content_type: str = JSON_TYPE
    path: tuple[str, ...] = ()
    ticket: str = ''
    session: Session | None = None
    session_token: str = ''
    last_index: int = -1
    configuration_version: int = 0

    @property
    def is_forwarded(self) -> bool:
        """Whether another instance has forwarded the request."""
        return bool(self.path)


@attrs.frozen
class Reply:
    """Status, headers and a body, either complete or as a stream of chunks."""

    status: int
    content_type: str
    body: bytes = b''
    chunks: AsyncGenerator[bytes] | None = None
    headers: tuple[tuple[str, str], ...] = ()
