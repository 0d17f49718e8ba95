"""Token bucket that counts leased tokens as its own until they are settled."""

from math import exp
from typing import final

import attrs

from masticstage.forwarding.quotas.shares import Share


@final
@attrs.define
class RateMeter:
    """Tokens a second, averaged with exponentially decreasing weights."""

    _period_s: float
    _sum: float = 0
    _updated_s: float = 0

    def record(self, now_s: float, tokens: float) -> None:
        """Counts tokens."""
        self._decay(now_s)
        self._sum += tokens

    def rate(self, now_s: float) -> float:
        """Returns the tokens a second."""
        self._decay(now_s)
        return self._sum / self._period_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s > 0:
            self._sum *= exp(-elapsed_s / self._period_s)
            self._updated_s = now_s


@attrs.frozen
class _Lease:
    tokens: float
    expires_s: float


@final
@attrs.define
class TokenBucket:
    """Tokens that may be leased out, and those that are.

    Level and outstanding leases together do not exceed the capacity, so that
    returned tokens never add to more than was there. Only tokens from other
    buckets may, for a limited time.
    """

    level: float
    _updated_s: float
    _leases: dict[str, _Lease] = attrs.field(factory=dict)
    _excess_until_s: float = 0

    def advance(self, now_s: float, share: Share) -> None:
        """Adds what has accrued; discards expired leases and excess."""
        for holder, lease in tuple(self._leases.items()):
            if lease.expires_s <= now_s:
                self._leases.pop(holder)
        elapsed_s = max(0, now_s - self._updated_s)
        room = share.capacity - self.level - self.outstanding()
        self.level += max(0, min(room, share.rate * elapsed_s))
        self._updated_s = now_s
        if now_s >= self._excess_until_s:
            most = max(0, share.capacity - self.outstanding())
            self.level = min(self.level, most)

    def outstanding(self) -> float:
        """Returns the tokens of all leases that are neither settled nor out."""
        return sum(lease.tokens for lease in self._leases.values())

    def settle(self, holder: str, returned: float, share: Share) -> float:
        """Ends the lease of a holder, who returns what is left of it.

        Returns how much of the lease was used.
        """
        lease = self._leases.pop(holder, None)
        room = share.capacity - self.level - self.outstanding()
        self.level += max(0, min(room, returned))
        return max(0, lease.tokens - returned) if lease else 0

    def lease(self, holder: str, tokens: float, expires_s: float) -> None:
        """Takes tokens out of the bucket and counts them as outstanding."""
        self.level -= tokens
        if tokens > 0:
            self._leases[holder] = _Lease(tokens, expires_s)

    def add(self, tokens: float, until_s: float) -> None:
        """Adds tokens of another bucket, for a limited time beyond capacity."""
        self.level += tokens
        self._excess_until_s = until_s
