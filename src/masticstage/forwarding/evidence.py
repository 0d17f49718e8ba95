"""What is known about the execution of one dispatch, and what follows."""

import enum
from http import HTTPStatus
from typing import final

import attrs

from masticstage.forwarding.routes import Route
from masticstage.forwarding.wire import AnswerFacts


@enum.unique
class Evidence(enum.Enum):
    """How a dispatch to an upstream ended.

    NOT_SENT: no byte of it left.  NOT_RUN: the upstream said so.  FAILED:
    a whole answer that reports a failure.  MAY_HAVE_RUN: anything else that
    brought no whole answer.
    """

    NOT_SENT = 'not-sent'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    FAILED = 'failed'
    ANSWERED = 'answered'


_UNRUN = frozenset((Evidence.NOT_SENT, Evidence.NOT_RUN))
#: Dispatches of one request that upstreams may turn away before it is refused.
MAX_REJECTIONS = 4


@final
@attrs.define
class AttemptHistory:
    """The dispatches of one request of a caller, in order."""

    _route: Route
    _runs: int = 0
    _rejections: int = 0
    _upstreams_reached: int = 0
    tried: set[str] = attrs.field(factory=set)

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream may have begun to run the request."""
        return self._runs > 0

    @property
    def has_reached_upstream(self) -> bool:
        """Whether a further dispatch draws on the budget of repeats."""
        return self._upstreams_reached > 0

    @property
    def runs_left(self) -> int:
        """How many upstreams may still run the request."""
        return self._route.max_attempts - self._runs

    def record(self, upstream: str, evidence: Evidence) -> None:
        """Notes how a dispatch to an upstream ended."""
        self.tried.add(upstream)
        if evidence in _UNRUN:
            self._rejections += 1
        else:
            self._runs += 1
        if evidence is not Evidence.NOT_SENT:
            self._upstreams_reached += 1

    def may_dispatch(self) -> bool:
        """Tells whether the request may be sent once more."""
        if self._rejections >= MAX_REJECTIONS:
            return False
        if not self.may_have_run:
            return True
        return self._route.is_idempotent and self.runs_left > 0


def classify_answer(facts: AnswerFacts) -> Evidence:
    """Returns what the head of an answer proves.

    A success without signature, in an encoding or for another request is
    not this upstream's answer to this request.
    """
    if facts.is_not_run:
        return Evidence.NOT_RUN
    if not facts.matches_request or facts.is_encoded:
        return Evidence.MAY_HAVE_RUN
    if facts.status >= HTTPStatus.BAD_REQUEST:
        return Evidence.FAILED
    is_success = facts.status < HTTPStatus.MULTIPLE_CHOICES
    if is_success and facts.is_signed:
        return Evidence.ANSWERED
    return Evidence.MAY_HAVE_RUN
