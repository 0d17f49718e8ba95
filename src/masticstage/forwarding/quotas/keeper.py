"""The instance that leases out a region's share of the limits of teams."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.forwarding.quotas.buckets import RateMeter, TokenBucket
from masticstage.forwarding.quotas.excesses import Demand, Excesses
from masticstage.forwarding.quotas.messages import Ask, Grant
from masticstage.forwarding.quotas.ranks import Tenure
from masticstage.forwarding.quotas.shares import (
    QuotaBounds,
    Share,
    share_of,
    stand_in_share,
)
from masticstage.forwarding.teams import TeamLimit

#: Time for which leased tokens may be used.
LEASE_S: Final = 2.0
#: Time for which a new process, or one that was paused, leases out nothing:
#: until then it may not know the other instances.
_YOUTH_S: Final = 1.5
#: Time until a new keeper's bucket fills, for its predecessor to end.
_SETTLING_S: Final = 1.0
#: Longest time between two looks at the members without which a keeper counts
#: as replaced.
_LONGEST_GAP_S: Final = 1.2
#: Period of the averages of asked and granted tokens.
_METER_PERIOD_S: Final = 2.0
#: Only this part of a bucket is leased for expected requests, and of the rest
#: an equal part to each instance that asks.
_AHEAD_PART: Final = 0.5
_AHEAD_FRACTION: Final = 0.125
#: Expected use for which a keeper borrows, and for which a lender keeps tokens.
_BORROW_AHEAD_S: Final = 0.5
_LEND_RESERVE_S: Final = 1.0
#: Part of its spare tokens that a lender gives.
_LENT_PART: Final = 0.5
#: Time that a loan of another region takes.
_LOAN_S: Final = 0.125
#: Time for which a loan may exceed the borrower's capacity, and for which the
#: lender counts it as its own: transit is added.
_EXCESS_S: Final = 0.25
_LOAN_LIFE_S: Final = 0.5
#: Time between two loans, and after one that brought less than was asked for.
_LOAN_INTERVAL_S: Final = 0.25
_EMPTY_LOAN_INTERVAL_S: Final = 1.0


@attrs.define
class _Account:
    """A team at a keeper."""

    bucket: TokenBucket
    asked: RateMeter
    granted: RateMeter
    largest: float = 0
    largest_at_s: float = 0
    refused_at_s: float = float('-inf')
    is_settled: bool = False
    wanted: float = 0
    loan_after_s: float = 0
    is_loan_expected: bool = True
    is_borrowing: bool = False
    reserved_until_s: float = 0


@final
@attrs.define
class Keeper:
    """Leases out tokens of a region's share, and lends to other regions.

    `limit_of` returns the limit of a team that is in force, if any, and
    `tenure_of` the part of this instance.
    """

    _clock: Clock
    _bounds: QuotaBounds
    _limit_of: Callable[[str], TeamLimit | None]
    _tenure_of: Callable[[str], Tenure]
    _accounts: dict[str, _Account] = attrs.field(factory=dict)
    _kept_since_s: dict[tuple[int, int], float] = attrs.field(factory=dict)
    _excesses: Excesses = attrs.field(factory=Excesses)
    _started_s: float = attrs.field(init=False)
    _seen_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Stores the start time of this process."""
        self._started_s = self._now_s()
        self._seen_s = self._started_s

    def observe(self, tenures: Iterable[Tenure]) -> None:
        """Learns the part of this instance for all groups of teams.

        It is called several times a second.
        """
        now_s = self._now_s()
        if now_s - self._seen_s > _LONGEST_GAP_S:
            self._started_s = now_s
            self._kept_since_s.clear()
        self._seen_s = now_s
        since_s = self._kept_since_s
        self._kept_since_s = {
            tenure.group: since_s.get(tenure.group, now_s)
            for tenure in tenures
            if tenure.is_keeper
        }

    def serve(self, sender: str, asks: Sequence[Ask]) -> list[Grant]:
        """Leases tokens to an instance of this region."""
        return [self._serve_one(sender, ask) for ask in asks]

    def lend(self, region: str, asks: Sequence[Ask]) -> list[Grant]:
        """Gives tokens to the keeper of another region."""
        return [self._lend_one(region, ask) for ask in asks]

    def start_loans(self) -> list[Ask]:
        """Returns what to ask of other regions now; counts it as asked for."""
        now_s = self._now_s()
        asks = []
        for team, account in self._accounts.items():
            is_due = now_s >= account.loan_after_s and not account.is_borrowing
            if account.wanted <= 0 or not is_due:
                continue
            account.is_borrowing = True
            account.loan_after_s = now_s + _LOAN_INTERVAL_S
            asks.append(Ask(team, account.wanted))
            account.wanted = 0
        return asks

    def end_loan(self, asked: Ask, received: float) -> None:
        """Takes what the other regions gave together for one team."""
        account = self._accounts[asked.team]
        now_s = self._now_s()
        account.bucket.add(received, now_s + _EXCESS_S)
        account.is_borrowing = False
        account.is_loan_expected = received >= asked.needed / 2
        if not account.is_loan_expected:
            account.loan_after_s = now_s + _EMPTY_LOAN_INTERVAL_S

    def levels(self) -> dict[str, tuple[float, float, float]]:
        """Returns level, asked and granted tokens a second of each team."""
        now_s = self._now_s()
        return {
            team: (
                account.bucket.level,
                account.asked.rate(now_s),
                account.granted.rate(now_s),
            )
            for team, account in self._accounts.items()
        }

    def _serve_one(self, sender: str, ask: Ask) -> Grant:
        limit, now_s = self._limit_of(ask.team), self._now_s()
        if limit is None or not self._may_lease(ask.team, now_s):
            return Grant(ask.team, 0, _LOAN_S, is_declined=True)
        share = self._share(ask.team, limit, now_s)
        account = self._advance(ask.team, share, now_s)
        used = account.bucket.settle(sender, ask.returned, share)
        account.asked.record(now_s, used + ask.needed)
        granted = _granted(account, ask, share, now_s)
        # Tokens for requests that wait are used when they arrive.
        kept = max(0, granted - ask.needed)
        account.bucket.level -= granted - kept
        account.bucket.lease(sender, kept, now_s + LEASE_S)
        account.granted.record(now_s, granted)
        _plan_loan(account, ask.needed - granted, share, now_s)
        wait_s = self._wait_for(limit, ask, granted, now_s)
        return Grant(
            ask.team,
            granted,
            wait_s,
            account.bucket.level,
            excess=self._excesses.find(
                ask.team,
                now_s,
                lambda: _read_demands(self._accounts, self._limit_of, now_s),
            ),
        )

    def _wait_for(
        self, limit: TeamLimit, ask: Ask, granted: float, now_s: float
    ) -> float:
        """Returns how long to wait for what was not granted."""
        if granted >= ask.needed:
            return 0
        whole = share_of(limit.rate, limit.burst, self._bounds, 1)
        if ask.least > whole.capacity:
            return self._bounds.window_s
        share = self._share(ask.team, limit, now_s)
        account = self._accounts[ask.team]
        return self._expected_wait(account, ask.needed, share, now_s)

    def _expected_wait(
        self, account: _Account, needed: float, share: Share, now_s: float
    ) -> float:
        """Returns the time after which refused tokens are available."""
        if account.is_loan_expected:
            next_s = account.loan_after_s
            if account.is_borrowing or now_s >= next_s:
                return _LOAN_S
            return next_s - now_s + _LOAN_S
        if share.rate <= 0:
            return self._bounds.window_s
        floor = _least_level(account, share, now_s)
        missing = max(needed, floor) - account.bucket.level
        start_s = max(now_s, account.reserved_until_s)
        wait_s = start_s + missing / share.rate - now_s
        wait_s = min(wait_s, self._bounds.window_s)
        account.reserved_until_s = now_s + wait_s
        return wait_s

    def _lend_one(self, region: str, ask: Ask) -> Grant:
        limit, now_s = self._limit_of(ask.team), self._now_s()
        is_able = limit is not None and self._is_settled(ask.team, now_s)
        if limit is None or not is_able:
            return Grant(ask.team, 0)
        share = self._share(ask.team, limit, now_s)
        account = self._advance(ask.team, share, now_s)
        reserve = account.asked.rate(now_s) * _LEND_RESERVE_S
        spare = max(0, account.bucket.level - reserve)
        lent = min(ask.needed, _LENT_PART * spare)
        loan = f'loan to {region} at {now_s}'
        account.bucket.lease(loan, lent, now_s + _LOAN_LIFE_S)
        return Grant(ask.team, lent, 0, account.bucket.level)

    def _advance(self, team: str, share: Share, now_s: float) -> _Account:
        account = self._accounts.get(team)
        if account is None:
            account = self._open_account(team, share, now_s)
            self._accounts[team] = account
        is_settled = self._is_settled(team, now_s)
        if account.is_settled and not is_settled:
            account.bucket.level = min(account.bucket.level, share.initial)
        account.is_settled = is_settled
        account.bucket.advance(now_s, share)
        return account

    def _open_account(self, team: str, share: Share, now_s: float) -> _Account:
        """Returns the account of a team that has not been asked for yet."""
        level = share.initial
        if self._is_settled(team, now_s):
            settled_s = self._tenure_s(team, now_s) - _SETTLING_S
            level = min(share.capacity, level + share.rate * settled_s)
        return _Account(
            TokenBucket(level, now_s),
            RateMeter(_METER_PERIOD_S),
            RateMeter(_METER_PERIOD_S),
        )

    def _share(self, team: str, limit: TeamLimit, now_s: float) -> Share:
        fraction = self._tenure_of(team).fraction
        share = share_of(limit.rate, limit.burst, self._bounds, fraction)
        if self._is_settled(team, now_s):
            return share
        return stand_in_share(share, self._bounds)

    def _may_lease(self, team: str, now_s: float) -> bool:
        if now_s - self._seen_s > _LONGEST_GAP_S:
            return False
        if now_s - self._started_s < _YOUTH_S:
            return False
        tenure = self._tenure_of(team)
        return tenure.is_keeper or tenure.is_deputy

    def _is_settled(self, team: str, now_s: float) -> bool:
        if now_s - self._seen_s > _LONGEST_GAP_S:
            return False
        return self._tenure_s(team, now_s) >= _SETTLING_S

    def _tenure_s(self, team: str, now_s: float) -> float:
        """Returns for how long this instance has been the keeper of a team."""
        since_s = self._kept_since_s.get(self._tenure_of(team).group)
        if since_s is None:
            return 0
        return now_s - max(since_s, self._started_s + _YOUTH_S)

    def _now_s(self) -> float:
        return self._clock.elapsed().total_seconds()


def _record_size(account: _Account, tokens: float, now_s: float) -> None:
    """Keeps the size of the largest of the recent requests."""
    is_old = now_s - account.largest_at_s > _METER_PERIOD_S
    if is_old or tokens >= account.largest:
        account.largest = tokens
        account.largest_at_s = now_s


def _least_level(account: _Account, share: Share, now_s: float) -> float:
    """Returns the level below which a team beyond its limit gets nothing.

    Small requests would otherwise take all tokens before a large one fits.
    """
    is_short = now_s - account.refused_at_s < _METER_PERIOD_S
    is_beyond = account.asked.rate(now_s) > share.rate
    if account.is_loan_expected or not (is_short and is_beyond):
        return 0
    return min(account.largest, share.capacity / 2)


def _granted(account: _Account, ask: Ask, share: Share, now_s: float) -> float:
    """Returns how many tokens an instance gets."""
    _record_size(account, ask.least, now_s)
    level = account.bucket.level
    floor = _least_level(account, share, now_s)
    if level < max(ask.needed, floor):
        account.refused_at_s = now_s
        is_useful = 0 < max(ask.least, floor) <= level
        return level if is_useful else 0
    spare = level - ask.needed - _AHEAD_PART * share.capacity
    ahead = min(ask.ahead, _AHEAD_FRACTION * spare)
    if ahead < ask.least_ahead:
        return ask.needed
    return ask.needed + ahead


def _plan_loan(
    account: _Account, missing: float, share: Share, now_s: float
) -> None:
    """Notes what to borrow for requests that wait or are expected."""
    expected = account.asked.rate(now_s)
    if missing <= 0 and expected <= share.rate:
        return
    target = max(0, missing) + expected * _BORROW_AHEAD_S
    account.wanted = max(0, target - account.bucket.level)


def _read_demands(
    accounts: Mapping[str, _Account],
    limit_of: Callable[[str], TeamLimit | None],
    now_s: float,
) -> dict[str, Demand]:
    """Returns what each limited team asks for, weighted by its limit."""
    limits = {team: limit_of(team) for team in accounts}
    return {
        team: Demand(accounts[team].asked.rate(now_s), limit.rate)
        for team, limit in limits.items()
        if limit is not None
    }
