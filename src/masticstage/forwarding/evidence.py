"""What is known about the execution of dispatches, and whether to retry."""

import enum
from http import HTTPStatus
from typing import final

import attrs

from masticstage.forwarding.routes import Route
from masticstage.forwarding.wire import AnswerFacts, NamedRequest


@enum.unique
class Evidence(enum.Enum):
    """How a dispatch to an upstream ended.

    NOT_SENT: no byte was sent. NOT_RUN: the upstream stated that it did not run
    the request. FAILED: a complete answer that reports a failure. ANSWERED: a
    complete answer that is valid. MAY_HAVE_RUN: anything else.
    """

    NOT_SENT = 'not-sent'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    FAILED = 'failed'
    ANSWERED = 'answered'


_EVIDENCE_OF_PEERS = frozenset(evidence.value for evidence in Evidence)
_NOT_RUN_EVIDENCE = frozenset((Evidence.NOT_SENT, Evidence.NOT_RUN))
#: Upstreams that may reject one request before the gateway refuses it.
MAX_REJECTIONS = 4
#: Statuses that promise a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


@final
@attrs.define
class AttemptHistory:
    """The dispatches of one request."""

    _route: Route
    _runs: int = 0
    _rejections: int = 0
    _upstreams_reached: int = 0
    tried: set[str] = attrs.field(factory=set)

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream may have started to run the request."""
        return self._runs > 0

    @property
    def has_reached_upstream(self) -> bool:
        """Whether any upstream has received the request.

        If so, a further dispatch counts against the retry budget.
        """
        return self._upstreams_reached > 0

    @property
    def runs_left(self) -> int:
        """How many upstreams may still run the request."""
        return self._route.max_attempts - self._runs

    def record(self, upstream: str, evidence: Evidence) -> None:
        """Records how a dispatch to an upstream ended."""
        self.tried.add(upstream)
        if evidence in _NOT_RUN_EVIDENCE:
            self._rejections += 1
        else:
            self._runs += 1
        if evidence is not Evidence.NOT_SENT:
            self._upstreams_reached += 1

    def may_dispatch(self) -> bool:
        """Returns whether the request may be dispatched again."""
        if self._rejections >= MAX_REJECTIONS:
            return False
        if not self.may_have_run:
            return True
        return self._route.is_idempotent and self.runs_left > 0

    def may_return(self, status: int) -> bool:
        """Returns whether the status of an upstream's failure is returned.

        A caller repeats a request whose status promises that it has not run,
        so such a status is withheld if the request must not run again.
        """
        return self._route.is_idempotent or status not in NOT_RUN_STATUSES


def classify_answer(facts: AnswerFacts) -> Evidence:
    """Returns what the head of an answer shows about the execution.

    An answer that names another request shows nothing about this one, even if
    it states that the other did not run. A refusal that names none may be that
    of another as well. A success that is unsigned or has a content encoding
    does not count as the upstream's answer.
    """
    if not facts.matches_request:
        return Evidence.MAY_HAVE_RUN
    if facts.is_not_run:
        return _classify_refusal(facts)
    return _classify_own_answer(facts)


def classify_relayed_answer(reported: str, facts: AnswerFacts) -> Evidence:
    """Returns what the answer of a peer that relayed shows.

    `reported` is the peer's evidence, empty if it gave none. What a peer of
    another version concludes from an answer holds only if it follows here too.
    """
    if not facts.matches_request or reported not in _EVIDENCE_OF_PEERS:
        return Evidence.MAY_HAVE_RUN
    evidence = Evidence(reported)
    is_without_answer = evidence in {Evidence.NOT_SENT, Evidence.MAY_HAVE_RUN}
    return evidence if is_without_answer else classify_answer(facts)


def _classify_refusal(facts: AnswerFacts) -> Evidence:
    names_this = facts.named_request is NamedRequest.THIS
    is_error = facts.status >= HTTPStatus.BAD_REQUEST
    return (
        Evidence.NOT_RUN if names_this and is_error else Evidence.MAY_HAVE_RUN
    )


def _classify_own_answer(facts: AnswerFacts) -> Evidence:
    if facts.is_encoded:
        return Evidence.MAY_HAVE_RUN
    if facts.status >= HTTPStatus.BAD_REQUEST:
        return Evidence.FAILED
    is_success = facts.status < HTTPStatus.MULTIPLE_CHOICES
    if is_success and facts.is_signed:
        return Evidence.ANSWERED
    return Evidence.MAY_HAVE_RUN
