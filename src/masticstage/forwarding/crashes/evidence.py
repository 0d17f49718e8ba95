"""What an instance knows about one cause."""

from collections.abc import Iterable
from math import inf
from typing import Final, final

import attrs

from masticstage.forwarding.crashes.diagnosis import Diagnosis

#: Time after the last crash for which evidence and a quarantine are valid.
LIFETIME_S: Final = 3600.0
#: Most crashes of one cause.
MAX_CRASHES: Final = 16


@final
@attrs.define
class Evidence:
    """Crashes with a cause; times are on the monotonic clock, in seconds.

    `crashes` maps each crash to whether a complete answer followed.
    `answered_at_s` is when an answer was complete that a peer knows of.
    """

    last_crash_s: float
    changed_s: float
    crashes: dict[int, bool] = attrs.field(factory=dict)
    diagnosis: Diagnosis | None = None
    answered_at_s: float = -inf

    @property
    def uncleared(self) -> frozenset[int]:
        """The crashes after which no complete answer was seen."""
        return frozenset(
            crash for crash, clear in self.crashes.items() if not clear
        )

    def add(self, crashes: Iterable[int]) -> bool:
        """Adds crashes; returns whether any is new."""
        new = [crash for crash in crashes if crash not in self.crashes]
        self.crashes.update(dict.fromkeys(new, False))
        self._drop_oldest()
        return bool(new)

    def clear(self, crashes: Iterable[int]) -> bool:
        """Clears crashes; returns whether any was not cleared before."""
        new = [crash for crash in crashes if not self.crashes.get(crash)]
        self.crashes.update(dict.fromkeys(new, True))
        self._drop_oldest()
        return bool(new)

    def is_valid(self, now_s: float) -> bool:
        """Returns whether the last crash is recent enough to count."""
        return now_s - self.last_crash_s < LIFETIME_S

    def unexplained(self, explained: frozenset[int]) -> frozenset[int]:
        """Returns the crashes that speak against the cause."""
        return self.uncleared if self.diagnosis else self.uncleared - explained

    def _drop_oldest(self) -> None:
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.pop(next(iter(self.crashes)))
