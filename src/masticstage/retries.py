"""Retry budget: limits retries to a fraction of the original requests."""

from typing import Final, final

import attrs

#: Retries that each original request adds to the budget.
RETRY_RATIO: Final = 0.1
#: Maximum number of retries in the budget.
RETRY_BURST: Final = 10.0


@final
@attrs.define
class RetryBudget:
    """Token bucket that original requests fill and retries drain."""

    _ratio: float = RETRY_RATIO
    _burst: float = RETRY_BURST
    _tokens: float = RETRY_BURST

    def record_request(self) -> None:
        """Adds `RETRY_RATIO` of a retry for an original request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_retry(self) -> bool:
        """Takes one retry from the budget; False if it is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
