"""Where a request may go, and what is predicted for it there."""

import attrs

from masticstage.forwarding.loads import LoadCounters, UpstreamState
from masticstage.forwarding.routes import ServicePlan
from masticstage.forwarding.view import KnownUpstream
from masticstage.membership import Member


@attrs.frozen
class Candidate:
    """An upstream, and the peer that reaches it (None from here)."""

    known: KnownUpstream
    plan: ServicePlan
    state: UpstreamState
    via: Member | None

    @property
    def slots(self) -> int:
        """Requests that the upstream runs at once."""
        engine = self.plan.engine
        return max(1, engine.slots if engine else self.known.record.slots)

    @property
    def counters(self) -> LoadCounters:
        """Where requests to this candidate are counted."""
        return self.state.direct if self.via is None else self.state.relayed


@attrs.frozen
class Choice:
    """A candidate with the predicted time to its first event or answer.

    `cost` is the share of the request's worth that is expected to be lost,
    `ahead` the number of requests that wait before this one, `fetch_from` the
    address of an upstream that holds the shared parts of its prompt.
    `unsure_tokens` are those of its shared parts that may be held there or
    not, `backlog` the tokens that were unread there before it.
    """

    candidate: Candidate
    expected_s: float
    cost: float
    uncached_tokens: int
    ahead: int = 0
    fetch_from: str = ''
    unsure_tokens: int = 0
    backlog: float = 0

    @property
    def upstream(self) -> str:
        """Name of the chosen upstream."""
        return self.candidate.known.record.name
