"""Budgets that keep retries to a fraction of the original requests."""

from typing import Final, final

import attrs

#: Retries earned by each original request.
RETRY_RATIO: Final = 0.1
#: Retries that may be saved up.
RETRY_BURST: Final = 10.0


@final
@attrs.define
class RetryBudget:
    """A token bucket that original requests fill and retries drain."""

    _ratio: float = RETRY_RATIO
    _burst: float = RETRY_BURST
    _tokens: float = RETRY_BURST

    def record_request(self) -> None:
        """Notes an original request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Takes one retry out of the budget, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
