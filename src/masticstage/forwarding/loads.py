"""What is believed about the load and the health of each upstream.

Own dispatches are counted exactly, those of peers come by gossip, and an
upstream tells its own load with each answer.  Failures and pace are learnt
from own outcomes.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.prompts import PromptCache

#: Weight of a new observation in a moving average.
_WEIGHT: Final = 0.2
#: Weight of a new outcome in the failure rate: about the last seven count.
_FAILURE_WEIGHT: Final = 0.15
#: Time after which the failure rate of an unused upstream has halved.
_FORGIVE_S: Final = 4.0
#: Age up to which a load that an upstream reported is corrected and used.
_REPORT_AGE_S: Final = 0.5
#: Age up to which a peer's counts are used: some lost exchanges.
_PEER_AGE_S: Final = 2.0
#: Bounds on the learnt pace: an upstream may be this much slower or faster.
_LEAST_PACE: Final = 0.5
_MOST_PACE: Final = 10.0
#: Part of a less urgent prompt that is read before an urgent one, since it
#: has begun.
_BEGUN: Final = 0.3
#: Pauses between health checks of an upstream in doubt, in seconds.
_FIRST_DOUBT_S: Final = 0.25
_LONGEST_DOUBT_S: Final = 2.0


@attrs.frozen
class ReportedLoad:
    """Requests that run and wait at an upstream, and its places."""

    running: int
    waiting: int
    slots: int


#: Prompt tokens without an event so far, by priority.
PendingTokens = tuple[tuple[int, int], ...]


@attrs.frozen
class SharedLoad:
    """What one instance has at one upstream, as told to peers."""

    upstream: str
    in_flight: int
    pending_tokens: PendingTokens


@attrs.frozen
class _PeerLoad:
    """A peer's counts and when they came, in seconds."""

    load: SharedLoad
    at_s: float


@attrs.define
class Occupation:
    """Requests and unread prompt tokens (by priority) at an upstream."""

    in_flight: int = 0
    pending_tokens: Counter[int] = attrs.field(factory=Counter)

    def unread(self, priority: int) -> float:
        """Returns the tokens that are read before a prompt of a priority."""
        return _unread(self.pending_tokens.items(), priority)


@attrs.define
class UpstreamState:
    """Counts, health and learnt figures of one upstream.

    `direct` is what this instance has there itself, `relayed` what it has
    sent through peers, who count it as theirs.  `pace` is the ratio of seen
    to expected times.
    """

    born_ms: int
    cache: PromptCache
    direct: Occupation = attrs.field(factory=Occupation)
    relayed: Occupation = attrs.field(factory=Occupation)
    reported: ReportedLoad | None = None
    reported_at_s: float = 0
    in_flight_when_reported: int = 0
    failure_rate: float = 0
    failure_at_s: float = 0
    pace: float = 1
    is_doubtful: bool = False
    doubt_s: float = _FIRST_DOUBT_S
    check_at_s: float = 0
    cold_sent_at_s: float = -1
    peers: dict[str, _PeerLoad] = attrs.field(factory=dict)


@final
@attrs.define
class LoadTable:
    """The states of all upstreams, by name."""

    _clock: Clock
    _states: dict[str, UpstreamState] = attrs.field(factory=dict)

    def state(
        self,
        name: str,
        born_ms: int = 0,
        memory_tokens: int = 0,
    ) -> UpstreamState:
        """Returns an upstream's state; a new life starts without a past."""
        known = self._states.get(name)
        if known is None or (born_ms and known.born_ms != born_ms):
            known = UpstreamState(
                born_ms,
                PromptCache.of_memory(memory_tokens),
            )
            self._states[name] = known
        return known

    def keep_only(self, names: Collection[str]) -> None:
        """Drops the states of upstreams that are gone."""
        for gone in self._states.keys() - set(names):
            self._states.pop(gone)

    def in_flight(self, state: UpstreamState) -> int:
        """Returns the requests that are believed to be at an upstream."""
        counted = state.direct.in_flight + sum(
            peer.load.in_flight for peer in self._fresh_peers(state)
        )
        counted = max(counted, state.relayed.in_flight)
        if state.reported is None:
            return counted
        if self._now_s() - state.reported_at_s > _REPORT_AGE_S:
            return counted
        since = state.direct.in_flight - state.in_flight_when_reported
        seen = state.reported.running + state.reported.waiting + since
        return max(state.direct.in_flight, seen)

    def unread_tokens(self, state: UpstreamState, priority: int) -> float:
        """Returns the tokens that are read before a new prompt there.

        More urgent prompts are read first; of less urgent ones the part that
        is being read already.  What was relayed is counted by peers as well.
        """
        counted = state.direct.unread(priority) + sum(
            _unread(peer.load.pending_tokens, priority)
            for peer in self._fresh_peers(state)
        )
        return max(counted, state.relayed.unread(priority))

    def failure_rate(self, state: UpstreamState) -> float:
        """Returns the share of recent failures, fading while unused."""
        idle_s = self._now_s() - state.failure_at_s
        return float(state.failure_rate * 2 ** (-idle_s / _FORGIVE_S))

    def note_report(self, state: UpstreamState, load: ReportedLoad) -> None:
        """Takes over the load that an upstream told with an answer."""
        state.reported = load
        state.reported_at_s = self._now_s()
        state.in_flight_when_reported = state.direct.in_flight

    def note_outcome(self, state: UpstreamState, *, is_failure: bool) -> None:
        """Learns from the end of a dispatch."""
        rate = self.failure_rate(state)
        state.failure_rate = rate + _FAILURE_WEIGHT * (is_failure - rate)
        state.failure_at_s = self._now_s()

    def note_pace(self, state: UpstreamState, ratio: float) -> None:
        """Learns from the ratio of a seen to an expected time."""
        bounded = min(max(ratio, _LEAST_PACE), _MOST_PACE)
        state.pace += _WEIGHT * (bounded - state.pace)

    def doubt(self, state: UpstreamState) -> bool:
        """Stops the use of an upstream until a health check has passed.

        Returns True when it was in use before.
        """
        was_used = not state.is_doubtful
        state.is_doubtful = True
        state.check_at_s = self._now_s() + state.doubt_s
        state.doubt_s = min(_LONGEST_DOUBT_S, 2 * state.doubt_s)
        return was_used

    def clear_doubt(self, state: UpstreamState) -> bool:
        """Resumes the use of an upstream; True when it was in doubt."""
        was_doubtful = state.is_doubtful
        state.is_doubtful = False
        state.doubt_s = _FIRST_DOUBT_S
        return was_doubtful

    def is_check_due(self, state: UpstreamState) -> bool:
        """Tells whether an upstream in doubt is to be checked again."""
        return state.is_doubtful and self._now_s() >= state.check_at_s

    def shared(self) -> tuple[SharedLoad, ...]:
        """Returns what this instance tells its peers."""
        return tuple(
            SharedLoad(
                name,
                state.direct.in_flight,
                tuple(sorted(state.direct.pending_tokens.items())),
            )
            for name, state in self._states.items()
            if state.direct.in_flight
        )

    def take_shared(self, peer: str, loads: tuple[SharedLoad, ...]) -> None:
        """Replaces what a peer has told before."""
        for state in self._states.values():
            state.peers.pop(peer, None)
        now_s = self._now_s()
        for load in loads:
            told_of = self._states.get(load.upstream)
            if told_of is not None:
                told_of.peers[peer] = _PeerLoad(load, now_s)

    def _fresh_peers(self, state: UpstreamState) -> list[_PeerLoad]:
        now_s = self._now_s()
        return [
            peer
            for peer in state.peers.values()
            if now_s - peer.at_s < _PEER_AGE_S
        ]

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _unread(pending: Iterable[tuple[int, int]], priority: int) -> float:
    return sum(
        tokens if rank <= priority else _BEGUN * tokens
        for rank, tokens in pending
    )
