"""Signed tokens: tickets for calls and sessions for model answers.

Tokens are signed by itsdangerous with HMAC-SHA-256.  The newest secret
signs; older ones are still accepted, so that secrets can be rotated.
"""

import hashlib
from typing import Final, TypeVar, final

import attrs
import cattrs
from itsdangerous import BadData, URLSafeSerializer
from returns.result import Failure, Result, Success

from masticstage.exceptions import InvalidTokenError
from masticstage.membership import MemberId

_TICKET_SALT: Final = 'masticstage.ticket.1'
_SESSION_SALT: Final = 'masticstage.session.1'
_TokenType = TypeVar('_TokenType')


@attrs.frozen
class Ticket:
    """Permission to run one call at most once, at one owner.

    `expires_ms` is in milliseconds since 1970.  `witness` is None if the
    data centre had a single live instance at the time of issue.
    """

    ticket_id: str
    owner: MemberId
    witness: MemberId | None
    data_centre: str
    region: str
    team: str
    service: str
    expires_ms: int
    configuration_version: int


@attrs.frozen
class Session:
    """Where a model answer is generated, so that any instance can resume it.

    `struck` names the upstreams that crashed while running the request.
    """

    stream_id: str
    upstream: str
    data_centre: str
    team: str
    service: str
    kind: str
    answer: int
    struck: tuple[str, ...] = ()


@final
class TokenSigner:
    """Signs and verifies tokens with a list of secrets, oldest first."""

    def __init__(self, secrets: tuple[str, ...]) -> None:
        """Creates one serializer for each type of token."""
        self._tickets = _serializer(secrets, _TICKET_SALT)
        self._sessions = _serializer(secrets, _SESSION_SALT)

    def sign_ticket(self, ticket: Ticket) -> str:
        """Returns the signed token of a ticket."""
        return _sign(self._tickets, ticket)

    def sign_session(self, session: Session) -> str:
        """Returns the signed token of a session."""
        return _sign(self._sessions, session)

    def verify_ticket(self, token: str) -> Result[Ticket, InvalidTokenError]:
        """Verifies the signature of a token and decodes the ticket."""
        return _verify(self._tickets, token, Ticket)

    def verify_session(self, token: str) -> Result[Session, InvalidTokenError]:
        """Verifies the signature of a token and decodes the session."""
        return _verify(self._sessions, token, Session)


def _serializer(secrets: tuple[str, ...], salt: str) -> URLSafeSerializer:
    return URLSafeSerializer(
        list(secrets),
        salt=salt,
        signer_kwargs={'digest_method': hashlib.sha256},
    )


def _sign(serializer: URLSafeSerializer, token: object) -> str:
    signed = serializer.dumps(cattrs.unstructure(token))
    return signed if isinstance(signed, str) else signed.decode()


def _verify(
    serializer: URLSafeSerializer,
    token: str,
    token_type: type[_TokenType],
) -> Result[_TokenType, InvalidTokenError]:
    expected = token_type.__name__.lower()
    try:
        fields = serializer.loads(token)
    except BadData:
        return Failure(InvalidTokenError(expected))
    try:
        return Success(cattrs.structure(fields, token_type))
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError):
        return Failure(InvalidTokenError(expected))
