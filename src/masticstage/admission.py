"""Limits at one instance: open requests, team shares and load shedding.

Each instance enforces a team's share of its own open requests.  Callers
spread over the entry instances, so the shares hold for the fleet without
shared state.
"""

from collections import Counter
from datetime import datetime, timedelta
from typing import Final, final

import attrs

from masticstage.clock import to_milliseconds
from masticstage.configuration import Catalogue
from masticstage.configuration_schema import Kind, Team
from masticstage.exceptions import (
    OverloadedError,
    RejectedError,
    ShareExceededError,
)

#: Open requests that a team may always have at one instance.
GUARANTEED_OPEN: Final = 4
#: Part of a kind's timeout that its predicted wait may take.
WAIT_SHARE: Final = 0.5
#: Longest predicted wait with which any request is accepted.
MAX_WAIT: Final = timedelta(seconds=6)
#: Part of a kind's timeout from which on a service counts as congested.
CONGESTED_SHARE: Final = 0.05

#: Part of its timeout after which a request of the least priority is due.
SLACK_SHARE: Final = 0.1
MAX_PRIORITY: Final = 9


@final
@attrs.define
class Admission:
    """Open requests of one instance, by team and in total."""

    _limit: int
    _open: Counter[str] = attrs.field(factory=Counter)
    _total: int = 0

    @property
    def total(self) -> int:
        """Number of open requests."""
        return self._total

    def refusal(
        self,
        catalogue: Catalogue,
        team: Team,
        *,
        is_congested: bool,
    ) -> RejectedError | None:
        """Returns why a team may not open one more request, if so."""
        if self._total >= self._limit:
            return OverloadedError('instance')
        if is_congested and self._exceeds_share(catalogue, team):
            return ShareExceededError(team.name)
        return None

    def open(self, team_name: str) -> None:
        """Counts a request that is being served."""
        self._open[team_name] += 1
        self._total += 1

    def close(self, team_name: str) -> None:
        """Stops counting a request that has ended."""
        self._total -= 1
        self._open[team_name] -= 1
        if not self._open[team_name]:
            self._open.pop(team_name)

    def _exceeds_share(self, catalogue: Catalogue, team: Team) -> bool:
        used = self._open[team.name]
        if used < GUARANTEED_OPEN:
            return False
        active = set(self._open) | {team.name}
        shares = sum(
            catalogue.teams[name].share
            for name in active
            if name in catalogue.teams
        )
        return used >= self._total * team.share / shares


def queue_rank(kind: Kind, now: datetime) -> int:
    """Returns the rank of a request in an engine's queue.

    It is the time at which the request becomes due, in milliseconds since
    1970; the lowest rank is admitted first.  A higher priority is due
    sooner, yet no kind waits for ever behind another.
    """
    urgency = MAX_PRIORITY + 1 - kind.priority
    slack_ms = SLACK_SHARE * kind.timeout_ms * urgency / MAX_PRIORITY
    return to_milliseconds(now) + round(slack_ms)


def is_congested(kind: Kind, predicted_wait: timedelta) -> bool:
    """Tells whether teams are held to their shares of a service."""
    timeout = timedelta(milliseconds=kind.timeout_ms)
    return predicted_wait > CONGESTED_SHARE * timeout


def is_too_late(timeout: timedelta, predicted_wait: timedelta) -> bool:
    """Tells whether a request would wait too long in the queue.

    The bound is the same for kinds with long timeouts, so that overload
    sheds all kinds alike.
    """
    return predicted_wait > min(WAIT_SHARE * timeout, MAX_WAIT)
