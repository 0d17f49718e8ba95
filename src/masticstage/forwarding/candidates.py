"""Candidates for a dispatch, and the prediction for the chosen one."""

import attrs

from masticstage.forwarding.loads import LoadCounters, UpstreamState
from masticstage.forwarding.routes import ServiceConfig
from masticstage.forwarding.view import KnownUpstream
from masticstage.membership import Member


@attrs.frozen
class Candidate:
    """An upstream and the peer that relays to it, None if reached directly."""

    known_upstream: KnownUpstream
    service_config: ServiceConfig
    state: UpstreamState
    via: Member | None

    @property
    def name(self) -> str:
        """Name of the upstream."""
        return self.known_upstream.record.name

    @property
    def slots(self) -> int:
        """Requests that the upstream can run concurrently."""
        engine = self.service_config.engine
        return max(
            1, engine.slots if engine else self.known_upstream.record.slots
        )

    @property
    def counters(self) -> LoadCounters:
        """Counters for requests that this instance sends to the candidate."""
        return self.state.direct if self.via is None else self.state.relayed


@attrs.frozen
class Choice:
    """A candidate with the predicted time to its first event or answer.

    `cost` is the expected loss as a fraction of the value of the request.
    `uncached_tokens` is the expected number of prompt tokens to prefill.
    `requests_ahead` counts the requests that have to end before this one
    starts. `fetch_from` is the address of an upstream to copy the shared prefix
    from, empty for none. `unverified_tokens` are the tokens of the prefix that
    may or may not be cached, `backlog_tokens` the prompt tokens of other
    requests that the upstream still has to prefill, `tokens_ahead` those of
    them that come before this one. `queue_s` is the part of `expected_s` for
    `requests_ahead` before it is corrected by what was learnt, `service_s` the
    part that depends on the speed of the upstream, as it usually is, and
    `slowdown` how many times longer that part takes at this moment.
    """

    candidate: Candidate
    expected_s: float
    cost: float
    uncached_tokens: int
    requests_ahead: int = 0
    fetch_from: str = ''
    unverified_tokens: int = 0
    backlog_tokens: float = 0
    tokens_ahead: float = 0
    queue_s: float = 0
    service_s: float = 0
    slowdown: float = 1

    @property
    def usual_s(self) -> float:
        """The expected time at the usual speed of the upstream."""
        return self.expected_s - self.service_s * (self.slowdown - 1)

    def at_usual_speed(self, observed_s: float, slowdown: float) -> float:
        """Returns an observed time as it would be without the slowdown.

        `slowdown` is the one that the answer reported.
        """
        usual_s = self.usual_s
        expected_s = usual_s + self.service_s * (slowdown - 1)
        return observed_s * usual_s / expected_s

    @property
    def upstream(self) -> str:
        """Name of the chosen upstream."""
        return self.candidate.name
