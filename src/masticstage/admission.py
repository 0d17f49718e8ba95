"""Admission control: open requests, team shares and load shedding.

Each instance limits a team to its share of the requests that are open at
this instance.  Callers spread over the instances, so the shares hold for
the whole fleet without shared state.
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

#: Open requests that each team may have at an instance, whatever its share.
GUARANTEED_OPEN: Final = 4
#: Longest predicted wait, as a fraction of the timeout of a request.
MAX_WAIT_RATIO: Final = 0.5
#: Longest predicted wait of any request, whatever its timeout.
MAX_WAIT: Final = timedelta(seconds=6)
#: Predicted wait above which a service is congested, as a fraction of the
#: timeout of a kind.
CONGESTION_RATIO: Final = 0.05

#: Time until a request of the lowest priority is due, as a fraction of its
#: timeout.
SLACK_RATIO: Final = 0.1
#: Highest priority that the configuration schema permits.
MAX_PRIORITY: Final = 9


@final
@attrs.define
class Admission:
    """Open requests at one instance, by team and in total."""

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
        """Returns the error if a team may not open another request."""
        if self._total >= self._limit:
            return OverloadedError('instance')
        if is_congested and self._has_reached_share(catalogue, team):
            return ShareExceededError(team.name)
        return None

    def open(self, team_name: str) -> None:
        """Counts a request as open."""
        self._open[team_name] += 1
        self._total += 1

    def close(self, team_name: str) -> None:
        """Stops counting a request as open."""
        self._total -= 1
        self._open[team_name] -= 1
        if not self._open[team_name]:
            self._open.pop(team_name)

    def _has_reached_share(self, catalogue: Catalogue, team: Team) -> bool:
        open_by_team = self._open[team.name]
        if open_by_team < GUARANTEED_OPEN:
            return False
        active_teams = set(self._open) | {team.name}
        shares = sum(
            catalogue.teams[name].share
            for name in active_teams
            if name in catalogue.teams
        )
        return open_by_team >= self._total * team.share / shares


def queue_rank(kind: Kind, now: datetime) -> int:
    """Returns the rank of a request in the queue of an engine.

    The rank is the time at which the request is due, in milliseconds since
    1970; the lowest rank is admitted first.  Requests of a higher priority
    are due sooner, but none is starved: due times do not move, so a waiting
    request eventually precedes all later ones.
    """
    priority_distance = MAX_PRIORITY + 1 - kind.priority
    slack_ms = SLACK_RATIO * kind.timeout_ms * priority_distance / MAX_PRIORITY
    return to_milliseconds(now) + round(slack_ms)


def is_congested(kind: Kind, predicted_wait: timedelta) -> bool:
    """Returns whether a service is congested, so that team shares apply."""
    timeout = timedelta(milliseconds=kind.timeout_ms)
    return predicted_wait > CONGESTION_RATIO * timeout


def is_too_late(timeout: timedelta, predicted_wait: timedelta) -> bool:
    """Returns whether a request would wait too long in the queue.

    For all kinds with long timeouts the limit is `MAX_WAIT`, so that overload
    sheds them equally.
    """
    return predicted_wait > min(MAX_WAIT_RATIO * timeout, MAX_WAIT)
