"""Tokens that an instance holds for the requests of teams."""

import enum
from collections.abc import Callable
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.quotas.buckets import RateMeter, TokenBucket
from masticstage.forwarding.quotas.keeper import LEASE_S
from masticstage.forwarding.quotas.messages import Ask, Grant
from masticstage.forwarding.quotas.shares import QuotaBounds, alone_share
from masticstage.forwarding.teams import TeamLimit

#: Least time between two messages for a team for which none waits.
_ASK_INTERVAL_S: Final = 0.25
#: Time after which a team that was not used is no longer asked for ahead.
_IDLE_S: Final = 2.0
#: Requests of mean size, and time of use, for which tokens are asked ahead.
_AHEAD_REQUESTS: Final = 3
_AHEAD_S: Final = 1.0
#: Least time after which a keeper is asked again for the same request.
_LEAST_WAIT_S: Final = 0.005
_METER_PERIOD_S: Final = 2.0
#: Weight of the newest request in the mean size.
_SIZE_WEIGHT: Final = 0.2
#: Age up to which the excess of a team is used. Shares change with the traffic.
_EXCESS_AGE_S: Final = 2.0


@enum.unique
class Step(enum.Enum):
    """What a request for tokens has to do next."""

    GO = 'go'
    ASK = 'ask'
    WAIT = 'wait'
    REFUSE = 'refuse'


@attrs.frozen
class Decision:
    """The next step; `wait_s` is how long to wait, or when to retry."""

    step: Step
    wait_s: float = 0


@attrs.frozen
class Answered:
    """State of a team at this instance, for the log of a refusal."""

    balance: float
    level: float
    age_s: float


@attrs.define
class _Balance:
    """Tokens of one team."""

    used: RateMeter
    tokens: float = 0
    expires_s: float = 0
    mean_size: float = 0
    used_at_s: float = 0
    asked_at_s: float = float('-inf')
    answered_at_s: float = float('-inf')
    level: float = 0
    excess: float = 1
    short_tokens: float = 0
    short_until_s: float = 0
    recheck_s: float = 0
    alone: TokenBucket | None = None


@final
@attrs.define
class Balances:
    """The balances of all teams at one instance."""

    _clock: Clock
    _bounds: QuotaBounds
    _limit_of: Callable[[str], TeamLimit | None]
    _balances: dict[str, _Balance] = attrs.field(factory=dict)

    def decide(self, team: str, tokens: float, patience_s: float) -> Decision:
        """Takes tokens if they are there; else returns what to do next."""
        balance, now_s = self._current(team), self._now_s()
        if balance.tokens >= tokens:
            self._take(balance, tokens, now_s)
            return Decision(Step.GO)
        if now_s >= balance.recheck_s or tokens < balance.short_tokens:
            return Decision(Step.ASK)
        wait_s = max(_LEAST_WAIT_S, balance.short_until_s - now_s)
        step = Step.WAIT if wait_s <= patience_s else Step.REFUSE
        return Decision(step, wait_s)

    def give_back(self, team: str, tokens: float) -> None:
        """Returns tokens of a request that certainly did not run."""
        balance, now_s = self._current(team), self._now_s()
        balance.used.record(now_s, -tokens)
        if balance.expires_s > now_s:
            balance.tokens += tokens

    def wants_ahead(self, team: str) -> bool:
        """Returns whether to ask for tokens although no request waits."""
        balance, now_s = self._current(team), self._now_s()
        if now_s - balance.asked_at_s < _ASK_INTERVAL_S:
            return False
        return balance.tokens < self._ahead(balance, now_s) / 2

    def active_teams(self) -> list[str]:
        """Returns the teams that were used recently."""
        oldest_s = self._now_s() - _IDLE_S
        return [
            team
            for team, balance in self._balances.items()
            if balance.used_at_s > oldest_s
        ]

    def compose(self, team: str, needed: float, least: float) -> Ask:
        """Returns what to ask for; the balance is returned with it."""
        balance, now_s = self._current(team), self._now_s()
        returned = balance.tokens
        balance.tokens = 0
        balance.asked_at_s = now_s
        ahead = self._ahead(balance, now_s)
        return Ask(team, needed, least, ahead, balance.mean_size, returned)

    def apply(self, grant: Grant, ask: Ask, asked_s: float) -> None:
        """Takes what a keeper granted."""
        balance, now_s = self._current(grant.team), self._now_s()
        balance.answered_at_s = now_s
        balance.level = grant.level
        balance.excess = grant.excess
        expires_s = asked_s + LEASE_S
        if expires_s > now_s:
            balance.tokens += grant.granted
            balance.expires_s = expires_s
        if grant.granted < ask.needed:
            self._refuse_for(balance, ask.least, grant.wait_s, now_s)

    def record_unreachable(self, ask: Ask) -> None:
        """Uses the own allowance, since no keeper has answered."""
        balance, now_s = self._current(ask.team), self._now_s()
        allowance = balance.alone
        if allowance is not None and allowance.level >= ask.least:
            taken = min(ask.needed, allowance.level)
            allowance.level -= taken
            balance.tokens += taken
            balance.expires_s = now_s + LEASE_S
        self._refuse_for(balance, ask.least, _ASK_INTERVAL_S, now_s)

    def refill_allowances(self, instances: int) -> None:
        """Fills the own allowances for the time without any keeper."""
        now_s = self._now_s()
        for team, balance in self._balances.items():
            limit = self._limit_of(team)
            if limit is None:
                continue
            share = alone_share(
                limit.rate, limit.burst, self._bounds, instances
            )
            if balance.alone is None:
                balance.alone = TokenBucket(share.initial, now_s)
            balance.alone.advance(now_s, share)

    def excess(self, team: str) -> float:
        """Returns a team's demand as a multiple of its share, 1 if unknown."""
        balance = self._balances.get(team)
        if balance is None:
            return 1
        age_s = self._now_s() - balance.answered_at_s
        return balance.excess if age_s <= _EXCESS_AGE_S else 1

    def explain(self, team: str) -> Answered:
        """Returns the state of a team, for the log."""
        balance = self._current(team)
        age_s = self._now_s() - balance.answered_at_s
        return Answered(balance.tokens, balance.level, age_s)

    def _current(self, team: str) -> _Balance:
        """Returns the balance of a team, empty once its lease has expired."""
        balance = self._balances.get(team)
        if balance is None:
            balance = _Balance(RateMeter(_METER_PERIOD_S))
            self._balances[team] = balance
        if balance.expires_s <= self._now_s():
            balance.tokens = 0
        return balance

    def _take(self, balance: _Balance, tokens: float, now_s: float) -> None:
        balance.tokens -= tokens
        balance.used.record(now_s, tokens)
        balance.used_at_s = now_s
        weight = _SIZE_WEIGHT if balance.mean_size else 1
        balance.mean_size += weight * (tokens - balance.mean_size)

    def _ahead(self, balance: _Balance, now_s: float) -> float:
        if now_s - balance.used_at_s > _IDLE_S:
            return 0
        expected = balance.used.rate(now_s) * _AHEAD_S
        return max(expected, _AHEAD_REQUESTS * balance.mean_size)

    def _refuse_for(
        self, balance: _Balance, tokens: float, wait_s: float, now_s: float
    ) -> None:
        """Refuses requests of at least a size without asking, for a moment."""
        balance.short_tokens = tokens
        balance.short_until_s = now_s + wait_s
        recheck_s = max(_LEAST_WAIT_S, min(wait_s, _ASK_INTERVAL_S))
        balance.recheck_s = now_s + recheck_s

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()
