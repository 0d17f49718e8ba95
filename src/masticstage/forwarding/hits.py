"""How often shared parts are held at their home though nobody here knows.

An instance knows what it has had read itself. Another instance, or an earlier
life of this one, may have had the same parts read at their home, the more
often the more instances there are. The share is learnt from how soon the first
event comes at idle engines.
"""

from typing import Final, final

import attrs

from masticstage.forwarding.candidates import Choice

#: Share until one was learnt: in the first seconds most parts are new.
_FIRST: Final = 0.3
#: Weight of a new observation: about the last ten count.
_WEIGHT: Final = 0.1
#: Shared tokens from which reading them shows in the time: 0.07 s.
_LEAST_TOKENS: Final = 4000
#: Unread tokens up to which an engine counts as idle: 0.02 s.
_IDLE_TOKENS: Final = 1200


@final
@attrs.define
class HitShares:
    """The learnt shares, by service."""

    _shares: dict[str, float] = attrs.field(factory=dict)

    def share(self, service: str) -> float:
        """Returns the share for a service, between 0 and 1."""
        return self._shares.get(service, _FIRST)

    def note(self, choice: Choice, seen_s: float, half_s: float) -> None:
        """Learns from a first event.

        `half_s` is the time expected if half of the unsure parts were read:
        all or none of them are.
        """
        is_clear = choice.unsure_tokens >= _LEAST_TOKENS
        if not is_clear or choice.ahead or choice.backlog > _IDLE_TOKENS:
            return
        service = choice.candidate.plan.name
        known = self.share(service)
        is_hit = seen_s < half_s
        self._shares[service] = known + _WEIGHT * (is_hit - known)
