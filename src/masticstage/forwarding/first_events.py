"""How long engines take to the first event of a stream, learnt per service.

Engines of different services prefill at different speeds. The time to the first
event is a line over the prompt tokens to prefill, fitted to recent first events
at engines with a free slot. How long a request waits at a full engine depends
on its priority, since engines admit the more urgent ones first.
"""

from typing import Final, final

import attrs

#: Line assumed before the first observation: time without tokens in seconds,
#: tokens prefilled in a second, and the observations for which each of two
#: points of it counts: one without tokens, one with many.
_DEFAULT_BASE_S: Final = 0.1
_DEFAULT_TOKENS_PER_S: Final = 60_000.0
_DEFAULT_WEIGHT: Final = 3.0
_FAR_TOKENS: Final = 8000.0
#: Factor by which each observation lowers the weight of those before it.
_DECAY: Final = 0.99
#: Bounds on the fitted line.
_MIN_BASE_S: Final = 0.02
_MAX_BASE_S: Final = 0.3
_MIN_TOKENS_PER_S: Final = 20_000.0
_MAX_TOKENS_PER_S: Final = 400_000.0
#: Weight of a new observation of a wait, and bounds on the factor.
_WAIT_WEIGHT: Final = 0.05
_MIN_WAIT_FACTOR: Final = 0.2
_MAX_WAIT_FACTOR: Final = 6.0


@attrs.frozen
class _Sums:
    """Sums over assumed points."""

    weight: float
    tokens: float
    seconds: float
    tokens_squared: float
    tokens_by_seconds: float


def _sum_assumed_points() -> _Sums:
    """Returns the sums of two points on the line assumed at first."""
    far_s = _DEFAULT_BASE_S + _FAR_TOKENS / _DEFAULT_TOKENS_PER_S
    return _Sums(
        2 * _DEFAULT_WEIGHT,
        _DEFAULT_WEIGHT * _FAR_TOKENS,
        _DEFAULT_WEIGHT * (_DEFAULT_BASE_S + far_s),
        _DEFAULT_WEIGHT * _FAR_TOKENS**2,
        _DEFAULT_WEIGHT * _FAR_TOKENS * far_s,
    )


_PRIOR: Final = _sum_assumed_points()


@final
@attrs.define
class FirstEventLine:
    """A line through the times to first events, over tokens to prefill.

    The sums are those of a weighted least squares fit.
    """

    _weight: float = 0
    _tokens: float = 0
    _seconds: float = 0
    _tokens_squared: float = 0
    _tokens_by_seconds: float = 0
    _base_s: float = _DEFAULT_BASE_S
    _s_per_token: float = 1 / _DEFAULT_TOKENS_PER_S

    def predict_s(self, tokens: float) -> float:
        """Returns the expected time to the first event."""
        return self._base_s + self._s_per_token * tokens

    def record(self, tokens: float, observed_s: float) -> None:
        """Fits the line to a further observation."""
        self._weight *= _DECAY
        self._tokens *= _DECAY
        self._seconds *= _DECAY
        self._tokens_squared *= _DECAY
        self._tokens_by_seconds *= _DECAY
        self._weight += 1
        self._tokens += tokens
        self._seconds += observed_s
        self._tokens_squared += tokens * tokens
        self._tokens_by_seconds += tokens * observed_s
        self._fit()

    def _fit(self) -> None:
        """Fits the line to the observations and the assumed points."""
        weight = self._weight + _PRIOR.weight
        mean_tokens = (self._tokens + _PRIOR.tokens) / weight
        mean_s = (self._seconds + _PRIOR.seconds) / weight
        squared = (self._tokens_squared + _PRIOR.tokens_squared) / weight
        joint = (self._tokens_by_seconds + _PRIOR.tokens_by_seconds) / weight
        slope = (joint - mean_tokens * mean_s) / (squared - mean_tokens**2)
        slope = max(slope, 1 / _MAX_TOKENS_PER_S)
        self._s_per_token = min(slope, 1 / _MIN_TOKENS_PER_S)
        base_s = mean_s - self._s_per_token * mean_tokens
        self._base_s = min(max(base_s, _MIN_BASE_S), _MAX_BASE_S)


@final
@attrs.define
class FirstEventTimes:
    """Lines by service, and factors of waits by service and priority."""

    _lines: dict[str, FirstEventLine] = attrs.field(factory=dict)
    _wait_factors: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def predict_s(self, service: str, tokens: float) -> float:
        """Returns the time to a first event at an engine with a free slot."""
        return self._line(service).predict_s(tokens)

    def wait_factor(self, service: str, priority: int) -> float:
        """Returns the ratio of waits to those of a queue without priorities."""
        return self._wait_factors.get((service, priority), 1.0)

    def record(self, service: str, tokens: float, observed_s: float) -> None:
        """Records a first event at an engine with a free slot."""
        self._line(service).record(tokens, observed_s)

    def record_wait(
        self,
        service: str,
        priority: int,
        ratio: float,
    ) -> None:
        """Records the ratio of a wait to that in a queue without priorities."""
        previous = self.wait_factor(service, priority)
        bounded = min(max(ratio, _MIN_WAIT_FACTOR), _MAX_WAIT_FACTOR)
        self._wait_factors[service, priority] = previous + _WAIT_WEIGHT * (
            bounded - previous
        )

    def _line(self, service: str) -> FirstEventLine:
        return self._lines.setdefault(service, FirstEventLine())
