"""Health of an upstream, from outcomes of dispatches and health checks.

Outcomes lose weight over time, so that a failing upstream is avoided for a
while and then tried again. Instances share their counts with each other,
because one of many observes too few outcomes to detect a failing upstream.
"""

from typing import Final, final

import attrs

#: Time after which the weight of an outcome has halved, in seconds.
_HALF_LIFE_S: Final = 3.0
#: Successes assumed in advance, so that a single failure within a few seconds
#: has little effect on the failure rate.
_ASSUMED_SUCCESSES: Final = 4.0
#: Pauses between health checks of a suspected upstream, in seconds. They
#: double up to the longest one.
_FIRST_CHECK_PAUSE_S: Final = 0.25
_LONGEST_CHECK_PAUSE_S: Final = 2.0


@attrs.frozen
class Outcomes:
    """Decayed counts of failures and of all outcomes."""

    failed: float = 0
    total: float = 0

    def plus(self, other: 'Outcomes') -> 'Outcomes':
        """Returns the sums of both counts."""
        return Outcomes(self.failed + other.failed, self.total + other.total)

    @property
    def failure_rate(self) -> float:
        """Failure rate, near 0 while there are few outcomes."""
        return self.failed / (self.total + _ASSUMED_SUCCESSES)


def decay_outcomes(outcomes: Outcomes, seconds: float) -> Outcomes:
    """Returns the counts with the weight that they have after a time."""
    decay = 2 ** (-seconds / _HALF_LIFE_S)
    return Outcomes(outcomes.failed * decay, outcomes.total * decay)


@final
@attrs.define
class Health:
    """Health of one upstream as seen by this instance.

    Times are seconds on the monotonic clock.
    """

    is_suspected: bool = False
    check_at_s: float = 0
    _outcomes: Outcomes = Outcomes()
    _counted_at_s: float = 0
    _check_pause_s: float = _FIRST_CHECK_PAUSE_S

    @property
    def has_failures(self) -> bool:
        """Whether any failure was counted, however long ago."""
        return self._outcomes.failed > 0

    def outcomes(self, now_s: float) -> Outcomes:
        """Returns the counts of own outcomes, decayed to the given time."""
        if not self._outcomes.total:
            return self._outcomes
        return decay_outcomes(self._outcomes, now_s - self._counted_at_s)

    def record_outcome(self, now_s: float, *, is_failure: bool) -> None:
        """Counts the outcome of a dispatch."""
        added = Outcomes(float(is_failure), 1)
        self._outcomes = self.outcomes(now_s).plus(added)
        self._counted_at_s = now_s

    def suspect(self, now_s: float) -> bool:
        """Excludes the upstream until a health check has passed.

        Returns True if it was not suspected before.
        """
        is_new = not self.is_suspected
        self.is_suspected = True
        self.check_at_s = now_s + self._check_pause_s
        self._check_pause_s = min(
            _LONGEST_CHECK_PAUSE_S,
            2 * self._check_pause_s,
        )
        return is_new

    def clear_suspicion(self) -> bool:
        """Ends the exclusion; returns True if it was suspected before.

        The failures before that are forgotten. They kept a recovered upstream
        idle for five seconds and more; its pace limits what can fail again.
        """
        was_suspected = self.is_suspected
        if was_suspected:
            self._outcomes = Outcomes()
        self.is_suspected = False
        self._check_pause_s = _FIRST_CHECK_PAUSE_S
        return was_suspected

    def is_check_due(self, now_s: float) -> bool:
        """Returns whether a suspected upstream has to be checked again."""
        return self.is_suspected and now_s >= self.check_at_s
