"""Which upstreams are paced, and whether they are at their limit."""

from collections.abc import Sequence
from typing import Final, final

import attrs
import xxhash

from masticstage.clock import Clock
from masticstage.forwarding.candidates import Candidate, Choice
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.loads import LoadTable
from masticstage.forwarding.pace import Pace, is_in_time, share_of_limit
from masticstage.forwarding.routes import Route
from masticstage.membership import Liveness, MemberTable

#: Time after a start from which an instance without a share may send one
#: request to an upstream that has none in flight (s): the counts of the others
#: have arrived by then.
_COUNTS_KNOWN_S: Final = 1.5
#: Direct candidates that have to be left when those at their limit are dropped.
#: With fewer, one is a large part of the capacity, and what it is spared makes
#: the others late.
_MIN_LEFT: Final = 3


@attrs.frozen
class PaceChange:
    """That the pace of an upstream has started or ended."""

    upstream: str
    has_ended: bool
    limit: float
    lasted_s: float


@final
@attrs.define
class Pacer:
    """Limits the requests in flight at upstreams that started or recovered.

    It concerns only upstreams to which this instance sends directly.
    """

    _clock: Clock
    _loads: LoadTable
    _members: MemberTable
    _paces: dict[str, Pace] = attrs.field(factory=dict)
    _changes: list[PaceChange] = attrs.field(factory=list)

    @property
    def count(self) -> int:
        """The number of upstreams that are paced."""
        return len(self._paces)

    def drop_at_limit(
        self, candidates: Sequence[Candidate]
    ) -> Sequence[Candidate]:
        """Returns the candidates without those at their limit.

        All are returned if too few direct ones would be left to take what they
        would have got; so no request is refused or sent to another region.
        """
        for candidate in candidates:
            if candidate.known_upstream.awaits_pace:
                self._begin(candidate)
        if not self._paces:
            return candidates
        usable = [
            candidate
            for candidate in candidates
            if candidate.via is not None or not self._is_at_limit(candidate)
        ]
        direct = sum(candidate.via is None for candidate in usable)
        return usable if direct >= _MIN_LEFT else candidates

    def record_outcome(
        self, choice: Choice, route: Route, evidence: Evidence, took_s: float
    ) -> None:
        """Adapts the limit to the outcome of a direct dispatch.

        An answer that reports a failure of the request says nothing about it.
        """
        pace = self._paces.get(choice.upstream)
        if pace is None or evidence is Evidence.FAILED:
            return
        now_s = self._now_s()
        if evidence is Evidence.ANSWERED:
            slowdown = choice.candidate.state.slowdown.expected(now_s)
            usual_s = choice.at_usual_speed(took_s, slowdown)
            is_late = not is_in_time(usual_s, choice.usual_s, route.target)
            pace.record_answer(now_s, is_late=is_late)
        else:
            pace.record_failure(now_s)

    def take_changes(self) -> list[PaceChange]:
        """Ends paces that are due; returns the changes since the last call."""
        now_s = self._now_s()
        for name, pace in list(self._paces.items()):
            if pace.has_ended(now_s):
                self._end(name, now_s)
        changes = self._changes.copy()
        self._changes.clear()
        return changes

    def _begin(self, candidate: Candidate) -> None:
        """Starts a pace, unless the upstream is cold and has a rate."""
        upstream = candidate.known_upstream
        is_cold = upstream.cold_until > self._clock.elapsed()
        if candidate.via is not None or (
            is_cold and candidate.service_config.cold_rate
        ):
            return
        pace = Pace(
            candidate.slots,
            self._now_s(),
            self._loads.others_outcomes(candidate.state),
            is_known=upstream.has_recovered,
        )
        upstream.awaits_pace = False
        upstream.has_recovered = False
        self._paces[candidate.name] = pace
        self._changes.append(
            PaceChange(
                candidate.name, has_ended=False, limit=pace.limit, lasted_s=0
            )
        )

    def _end(self, name: str, now_s: float) -> None:
        pace = self._paces.pop(name)
        lasted_s = now_s - pace.started_at_s
        self._changes.append(
            PaceChange(
                name, has_ended=True, limit=pace.limit, lasted_s=lasted_s
            )
        )

    def _is_at_limit(self, candidate: Candidate) -> bool:
        pace = self._paces.get(candidate.name)
        if pace is None:
            return False
        state = candidate.state
        now_s = self._now_s()
        pace.record_others(now_s, self._loads.others_outcomes(state))
        if pace.has_ended(now_s):
            self._end(candidate.name, now_s)
            return False
        total = self._loads.in_flight(state)
        if not total and now_s - pace.started_at_s > _COUNTS_KNOWN_S:
            return False
        # Instances find out at different times that an upstream has recovered.
        share = max(
            self._own_share(candidate.name, pace.limit), int(pace.is_known)
        )
        return total >= pace.limit or state.direct.in_flight >= share

    def _own_share(self, upstream: str, limit: float) -> int:
        """Returns the share of this instance, by rendezvous hashing."""
        own = self._members.own
        position = _position(own.identity.name, upstream)
        others = [
            _position(member.identity.name, upstream)
            for member in self._members.others()
            if member.region == own.region and member.liveness is Liveness.LIVE
        ]
        rank = sum(other < position for other in others)
        return share_of_limit(limit, rank, 1 + len(others))

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _position(instance: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{instance}\0{upstream}'.encode())
