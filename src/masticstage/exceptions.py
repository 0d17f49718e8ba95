"""Exception types of masticstage.

An error that reaches a caller is sent as `application/problem+json`
(RFC 9457): the first line of its docstring is the title, its fields are
sent by name.  `code` is stable and may be matched by programs.
"""

import errno
from http import HTTPStatus
from typing import Any, ClassVar, Final

import attrs

from masticstage.outcomes import Outcome

#: Attribute in which attrs stores the fields of a class.
_ATTRS: Final = '__attrs_attrs__'


class MasticstageError(Exception):
    """Base of all failures of masticstage."""

    code: ClassVar[str] = 'internal-error'
    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN
    retry_after_s: ClassVar[int | None] = None

    def __str__(self) -> str:
        """Returns the code and all fields of the error."""
        described = ', '.join(
            f'{name}={field!r}' for name, field in self.fields().items()
        )
        return f'{self.code}: {described}' if described else self.code

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the error by name."""
        names = (field.name for field in getattr(self, _ATTRS, ()))
        return {name: getattr(self, name) for name in names}


class InternalError(MasticstageError):
    """The instance met a fault of its own; its log has the details."""

    code = 'internal-error'


class RejectedError(MasticstageError):
    """A request that was refused before any upstream saw it."""

    outcome = Outcome.NOT_RUN


@attrs.define(eq=False)
class InvalidRequestError(RejectedError):
    """The request cannot be understood."""

    code = 'invalid-request'
    status = HTTPStatus.BAD_REQUEST

    expected: str


@attrs.define(eq=False)
class UnauthenticatedError(RejectedError):
    """The bearer key belongs to no team."""

    code = 'unauthenticated'
    status = HTTPStatus.UNAUTHORIZED


@attrs.define(eq=False)
class InvalidTokenError(RejectedError):
    """A session or ticket is forged, malformed or for another purpose."""

    code = 'invalid-token'
    status = HTTPStatus.FORBIDDEN

    expected: str


@attrs.define(eq=False)
class UnknownServiceError(RejectedError):
    """The published configuration has no such service or kind."""

    code = 'unknown-service'
    status = HTTPStatus.NOT_FOUND

    service: str
    kind: str


@attrs.define(eq=False)
class BodyTooLargeError(RejectedError):
    """The request body exceeds the configured limit."""

    code = 'body-too-large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    limit_bytes: int


@attrs.define(eq=False)
class TicketRequiredError(RejectedError):
    """A call that is not idempotent needs a ticket in `Idempotency-Key`."""

    code = 'ticket-required'
    status = HTTPStatus.PRECONDITION_REQUIRED

    service: str


@attrs.define(eq=False)
class ResidencyError(RejectedError):
    """No region that the residency rule allows can be used from here."""

    code = 'residency'
    status = HTTPStatus.MISDIRECTED_REQUEST
    retry_after_s = 1

    allowed: tuple[str, ...]


@attrs.define(eq=False)
class TransferLimitError(RejectedError):
    """The request has been transferred before and must not be sent on."""

    code = 'transfer-limit'
    status = HTTPStatus.LOOP_DETECTED

    path: tuple[str, ...]


@attrs.define(eq=False)
class OverloadedError(RejectedError):
    """The answer would come too late, so the request was not started."""

    code = 'overloaded'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = 1

    service: str


@attrs.define(eq=False)
class ShareExceededError(RejectedError):
    """The team uses more than its share of a congested service."""

    code = 'share-exceeded'
    status = HTTPStatus.TOO_MANY_REQUESTS
    retry_after_s = 1

    team: str


@attrs.define(eq=False)
class NoUpstreamError(RejectedError):
    """No upstream of the service is known to be usable."""

    code = 'no-upstream'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = 1

    service: str


@attrs.define(eq=False)
class QuarantinedError(MasticstageError):
    """The request coincided with crashes of two upstreams."""

    code = 'quarantined'
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    outcome = Outcome.UNKNOWN

    fingerprint: str


@attrs.define(eq=False)
class DrainingError(RejectedError):
    """The instance is shutting down; another entry must be used."""

    code = 'draining'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = 0


@attrs.define(eq=False)
class NotReadyError(RejectedError):
    """The instance holds no configuration yet, or was paused."""

    code = 'not-ready'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = 1


@attrs.define(eq=False)
class SealedError(RejectedError):
    """The ticket was sealed: its call did not run and never will."""

    code = 'sealed'
    status = HTTPStatus.CONFLICT

    ticket_id: str


@attrs.define(eq=False)
class CapacityError(RejectedError):
    """A bounded table is full; nothing held is discarded early."""

    code = 'capacity'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = 1

    table: str


@attrs.define(eq=False)
class OutcomeUnknownError(MasticstageError):
    """The call may have run; repeating the ticket is safe."""

    code = 'outcome-unknown'
    status = HTTPStatus.GATEWAY_TIMEOUT
    outcome = Outcome.UNKNOWN
    retry_after_s = 2

    ticket_id: str


@attrs.define(eq=False)
class TicketUndecidedError(MasticstageError):
    """The call was not started now, but its ticket may still run it.

    Only a sealed ticket proves `not_run`; the caller must retry with this one.
    """

    code = 'ticket-undecided'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.UNKNOWN
    retry_after_s = 1

    reason: str


@attrs.define(eq=False)
class UpstreamFailedError(MasticstageError):
    """An upstream broke off or answered against its protocol."""

    code = 'upstream-failed'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.UNKNOWN

    upstream: str
    reason: str


@attrs.define(eq=False)
class HealthTimeoutError(UpstreamFailedError):
    """An upstream took too long to answer a health check."""


@attrs.define(eq=False)
class UpstreamRefusedError(RejectedError):
    """The connection was refused before a byte of the request was sent."""

    code = 'upstream-refused'
    status = HTTPStatus.BAD_GATEWAY
    retry_after_s = 1

    upstream: str


@attrs.define(eq=False)
class PeerUnreachableError(MasticstageError):
    """Another instance did not answer in time."""

    code = 'peer-unreachable'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.UNKNOWN

    peer: str


@attrs.define(eq=False)
class PlatformUnavailableError(MasticstageError):
    """The platform did not answer, or answered against its protocol."""

    code = 'platform-unavailable'
    reason: str


@attrs.define(eq=False)
class PlatformBusyError(PlatformUnavailableError):
    """The platform is up, but rejected a call for its rate limit."""

    code = 'platform-busy'


@attrs.define(eq=False)
class EndlessBodyError(MasticstageError):
    """The body of an answer is larger than that of any sound one."""

    code = 'body-endless'
    max_bytes: int


@attrs.define(eq=False)
class AnswerTooLargeError(PlatformUnavailableError):
    """An answer of the platform is larger than any that it may send."""

    code = 'answer-too-large'


@attrs.define(eq=False)
class HistoryLostError(MasticstageError):
    """The platform no longer has the changes after a revision."""

    code = 'history-lost'
    lost: str


@attrs.define(eq=False)
class ConnectError(MasticstageError):
    """No connection was established, so nothing was sent."""

    code = 'connect-failed'
    address: str
    reason: str

    @property
    def is_refused(self) -> bool:
        """Whether the host answered that nothing listens there."""
        return self.reason == errno.errorcode[errno.ECONNREFUSED]


@attrs.define(eq=False)
class BrokenConnectionError(MasticstageError):
    """A connection ended or stalled before the message was complete."""

    code = 'connection-broken'
    address: str
    reason: str


@attrs.define(eq=False)
class MalformedAnswerError(MasticstageError):
    """Bytes from a server are no answer, or the answer ended early."""

    code = 'answer-malformed'
    reason: str


@attrs.define(eq=False)
class MalformedBodyError(MasticstageError):
    """The body of a request is not in valid chunks."""

    code = 'body-malformed'
    reason: str


@attrs.frozen
class Fault:
    """One fault in a file: where it is and what was expected there."""

    source: str
    key: str
    expected: str
