"""Whether an upstream is sound, from outcomes of dispatches and from checks.

Outcomes are counted with a weight that fades, so that an upstream that fails
is avoided for a while and then tried again.  Instances tell each other their
counts: each of many sees too few outcomes to classify_answer by itself.
"""

from typing import Final, final

import attrs

#: Time after which the weight of an outcome has halved, in seconds.
_HALF_LIFE_S: Final = 3.0
#: Weight of the belief that an upstream is sound, in outcomes: a single
#: failure in a few seconds says little.
_PRIOR: Final = 4.0
#: Pauses between health checks of an upstream in doubt, in seconds.
_FIRST_DOUBT_S: Final = 0.25
_LONGEST_DOUBT_S: Final = 2.0


@attrs.frozen
class Outcomes:
    """Weights of recent failures and of all recent outcomes."""

    failed: float = 0
    total: float = 0

    def plus(self, other: 'Outcomes') -> 'Outcomes':
        """Returns the sums."""
        return Outcomes(self.failed + other.failed, self.total + other.total)

    @property
    def rate(self) -> float:
        """Share of failures, near 0 while there are few outcomes."""
        return self.failed / (self.total + _PRIOR)


@final
@attrs.define
class Health:
    """What this instance has seen of one upstream, by the steady clock (s)."""

    is_suspected: bool = False
    check_at_s: float = 0
    _outcomes: Outcomes = Outcomes()
    _counted_at_s: float = 0
    _doubt_s: float = _FIRST_DOUBT_S

    def outcomes(self, now_s: float) -> Outcomes:
        """Returns the weights of own outcomes as they are now."""
        fading = 2 ** ((self._counted_at_s - now_s) / _HALF_LIFE_S)
        return Outcomes(
            self._outcomes.failed * fading,
            self._outcomes.total * fading,
        )

    def record_outcome(self, now_s: float, *, is_failure: bool) -> None:
        """Learns from the end of a dispatch."""
        seen = Outcomes(float(is_failure), 1)
        self._outcomes = self.outcomes(now_s).plus(seen)
        self._counted_at_s = now_s

    def suspect(self, now_s: float) -> bool:
        """Stops the use of an upstream until a health check has passed.

        Returns True when it was in use before.
        """
        was_used = not self.is_suspected
        self.is_suspected = True
        self.check_at_s = now_s + self._doubt_s
        self._doubt_s = min(_LONGEST_DOUBT_S, 2 * self._doubt_s)
        return was_used

    def clear_suspicion(self) -> bool:
        """Resumes the use of an upstream; True when it was in doubt."""
        was_doubtful = self.is_suspected
        self.is_suspected = False
        self._doubt_s = _FIRST_DOUBT_S
        return was_doubtful

    def is_check_due(self, now_s: float) -> bool:
        """Tells whether an upstream in doubt is to be checked again."""
        return self.is_suspected and now_s >= self.check_at_s
