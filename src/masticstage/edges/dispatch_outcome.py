"""What is dispatched, and how a dispatch ended."""

from typing import final

import attrs

from masticstage.edges.answer_parser import AnswerHead
from masticstage.edges.http_client import Connection, ConnectionPool
from masticstage.forwarding.crashes.causes import Causes
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.origins.origin import Origin
from masticstage.forwarding.requests import CallerRequest, CallKind
from masticstage.forwarding.routes import Route
from masticstage.forwarding.teams import Team
from masticstage.forwarding.wire import NamedRequest


@attrs.frozen
class RoutedRequest:
    """A request with its route, service and the upstreams already tried.

    `causes` are its possible causes of a crash. `route` is the effective one of
    its `team`, which is None without teams and for a public route. `origin` is
    what began its stream, None before that.
    """

    request: CallerRequest
    route: Route
    service: str
    fingerprint: str
    causes: Causes
    tried: frozenset[str] = frozenset()
    team: Team | None = None
    origin: Origin | None = None

    @property
    def team_name(self) -> str:
        """Name of the team, empty without one."""
        return self.team.name if self.team else ''

    @property
    def is_stream(self) -> bool:
        """Whether events are forwarded as they arrive."""
        return self.route.kind is CallKind.STREAMING


@attrs.frozen
class AnswerBasis:
    """What shows to which request an answer belongs, for the log."""

    status: int
    named_request: NamedRequest
    is_not_run: bool
    is_reused: bool


@final
@attrs.define(eq=False)
class DispatchOutcome:
    """How a dispatch ended, with the answer if there is one.

    `upstream` is the one that was used, since a relaying peer may choose
    another.  `body` is the complete body.  If `connection` is set, the answer
    is a stream that is still open, and `body` holds its first complete events.
    `basis` is what the evidence of an answer was taken from, `software` the
    version of the upstream that answered, None if it is unknown.
    """

    evidence: Evidence
    upstream: str
    reason: str = ''
    head: AnswerHead | None = None
    body: bytes = b''
    connection: Connection | None = None
    pool: ConnectionPool | None = None
    basis: AnswerBasis | None = None
    software: str | None = None

    def take_body(self) -> bytes:
        """Returns the body; it is not held any longer."""
        body = self.body
        self.body = b''
        return body

    def close(self) -> None:
        """Closes an open stream, which cancels the upstream's work on it."""
        if self.connection is not None:
            self.connection.close()

    def release(self) -> None:
        """Returns the connection of a completed stream to its pool."""
        if self.pool is not None and self.connection is not None:
            self.pool.release(self.connection)
            self.connection = None
