"""How often a prefix is cached although this instance does not know it.

An instance knows which prefixes engines have prefilled for it. Engines may also
hold prefixes that were requested through other instances or before a restart
of this one; the more instances there are, the more often. The hit rate is
estimated from the time to the first event at idle engines.
"""

from typing import Final, final

import attrs

from masticstage.forwarding.candidates import Choice

#: Rate before the first observation: in the first seconds most prefixes are
#: new.
_DEFAULT_RATE: Final = 0.3
#: Weight of a new observation: about the last ten count.
_WEIGHT: Final = 0.1
#: Fewest unverified tokens whose prefill shows in the time to the first event:
#: it takes 0.07 s.
_MIN_UNVERIFIED_TOKENS: Final = 4000
#: Backlog in tokens up to which an engine counts as idle: 0.02 s of prefill.
_MAX_IDLE_BACKLOG_TOKENS: Final = 1200


@final
@attrs.define
class PrefixHitRates:
    """Estimated hit rates, by service."""

    _rates: dict[str, float] = attrs.field(factory=dict)

    def rate(self, service: str) -> float:
        """Returns the hit rate of a service, between 0 and 1."""
        return self._rates.get(service, _DEFAULT_RATE)

    def record(
        self,
        choice: Choice,
        observed_s: float,
        midpoint_s: float,
    ) -> None:
        """Records the time to a first event.

        `midpoint_s` is the time expected if half of the unverified tokens were
        prefilled. In fact all or none of them are, so a shorter time is a hit.
        """
        is_measurable = choice.unverified_tokens >= _MIN_UNVERIFIED_TOKENS
        if (
            not is_measurable
            or choice.requests_ahead
            or choice.backlog_tokens > _MAX_IDLE_BACKLOG_TOKENS
        ):
            return
        service = choice.candidate.service_config.name
        previous = self.rate(service)
        is_hit = observed_s < midpoint_s
        self._rates[service] = previous + _WEIGHT * (is_hit - previous)
