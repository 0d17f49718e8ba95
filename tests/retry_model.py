"""A model of instances that share a retry budget while their traffic moves.

Seeded, with a stepped clock and without network: each instance receives its
part of the requests, and some of the dispatches are rejected.
"""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from random import Random

import attrs

from masticstage.clock import ManualClock
from masticstage.forwarding.budgets import BudgetBounds, RetryBudget

BOUNDS = BudgetBounds(0.2, timedelta(seconds=10), 54)
_STEP_S = 0.1
_STEPS_IN_WINDOW = 100
_MAX_DISPATCHES = 4
_SERVICE = 'model'


@attrs.define(eq=False)
class RetryModel:
    """Instances under a load that depends on the time.

    `rates` returns the requests per second of each instance, `rejected` the
    share of the dispatches that are rejected, both at a time in seconds.
    """

    rates: Callable[[float], list[float]]
    rejected: Callable[[float], float]
    seed: int
    instances: int = 4
    min_instances: int = 6
    requests: list[int] = attrs.field(factory=list)
    retries: list[int] = attrs.field(factory=list)
    outcomes: Counter[str] = attrs.field(factory=Counter)

    def run(self, length_s: float, restarted_at_s: float = -1) -> None:
        """Plays a time, in which all instances may be replaced once."""
        clock, random = ManualClock(), Random(self.seed)
        budgets = self._build_budgets(clock)
        clock.advance(2 * BOUNDS.window)
        for step in range(round(length_s / _STEP_S)):
            now_s = step * _STEP_S
            clock.advance(timedelta(seconds=_STEP_S))
            if step == round(restarted_at_s / _STEP_S):
                budgets = self._build_budgets(clock)
            self.requests.append(0)
            self.retries.append(0)
            for budget, rate in zip(budgets, self.rates(now_s), strict=True):
                for _ in range(_draw_count(random, rate * _STEP_S)):
                    self.requests[-1] += 1
                    self._serve(budget, random, self.rejected(now_s))

    def worst_excess(self) -> float:
        """Returns by how many retries some window exceeds the bound."""
        return max(
            self._excess(start)
            for start in range(len(self.retries) - _STEPS_IN_WINDOW)
        )

    def _excess(self, start: int) -> float:
        """Returns the excess of a window, by the requests as users count."""
        requests = max(
            _sum_window(self.requests, start - shift)
            for shift in (0, _STEPS_IN_WINDOW // 2, _STEPS_IN_WINDOW)
        )
        allowed = BOUNDS.ratio * requests + BOUNDS.slack
        return _sum_window(self.retries, start) - allowed

    def _build_budgets(self, clock: ManualClock) -> list[RetryBudget]:
        budgets = [
            RetryBudget(clock, BOUNDS, self.min_instances)
            for _ in range(self.instances)
        ]
        for budget in budgets:
            budget.record_instances(self.instances)
        return budgets

    def _serve(
        self, budget: RetryBudget, random: Random, rejected: float
    ) -> None:
        budget.record_request(_SERVICE)
        for dispatch in range(_MAX_DISPATCHES):
            if dispatch:
                if not budget.try_retry(_SERVICE):
                    self.outcomes['refused'] += 1
                    return
                self.retries[-1] += 1
            if random.random() >= rejected:
                self.outcomes['served'] += 1
                return
        self.outcomes['rejected'] += 1


def _sum_window(counts: list[int], start: int) -> int:
    return sum(counts[max(start, 0) : max(start + _STEPS_IN_WINDOW, 0)])


def _draw_count(random: Random, mean: float) -> int:
    """Returns a random count with a mean."""
    count = 0
    left = random.expovariate(1)
    while left < mean:
        count += 1
        left += random.expovariate(1)
    return count
