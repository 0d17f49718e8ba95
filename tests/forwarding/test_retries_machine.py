"""State machine: retries at instances that share a budget."""

from datetime import timedelta

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from masticstage.clock import ManualClock
from masticstage.forwarding.budgets import BudgetBounds, RetryBudget
from masticstage.forwarding.evidence import AttemptHistory, Evidence
from masticstage.forwarding.requests import CallKind
from tests.forwarding_builders import build_route, build_stream_route

_BOUNDS = BudgetBounds(0.2, timedelta(seconds=10), 4)
_INSTANCES = 3
_SERVICE = 'shop'
_NOT_RUN_EVIDENCE = frozenset((Evidence.NOT_SENT, Evidence.NOT_RUN))
_ROUTES = (
    build_route(max_attempts=2),
    build_route(kind=CallKind.UNSAFE, max_attempts=3),
    build_stream_route(max_attempts=2),
    build_stream_route(is_resumable=False, max_attempts=1),
)


@attrs.define(eq=False)
class _Request:
    """One request, the decisions about it and its actual runs."""

    history: AttemptHistory
    is_idempotent: bool
    budget: RetryBudget
    runs: int = 0
    is_refused: bool = False


class RetryMachine(RuleBasedStateMachine):
    """Takes the decisions for a dispatch in the order of an instance."""

    sent = Bundle('sent')

    def __init__(self):
        """Starts with instances that are older than the window."""
        super().__init__()
        self.clock = ManualClock()
        self.budgets = [
            RetryBudget(self.clock, _BOUNDS, _INSTANCES)
            for _ in range(_INSTANCES)
        ]
        self.clock.advance(_BOUNDS.window)
        self.requests = []
        self.retries = []
        self.all_requests = []

    @rule(
        target=sent,
        route=st.sampled_from(_ROUTES),
        instance=st.integers(0, _INSTANCES - 1),
    )
    def send(self, route, instance):
        budget = self.budgets[instance]
        budget.record_request(_SERVICE)
        self.requests.append(self.clock.elapsed())
        return self._add_request(route, budget)

    @rule(request=sent, evidence=st.sampled_from(list(Evidence)))
    def dispatch(self, request, evidence):
        history = request.history
        if request.is_refused or not history.may_dispatch():
            return
        if history.has_reached_upstream:
            if not request.budget.try_retry(_SERVICE):
                return
            self.retries.append(self.clock.elapsed())
        history.record(f'u-{len(history.tried)}', evidence)
        request.runs += evidence not in _NOT_RUN_EVIDENCE

    @rule(
        instance=st.integers(0, _INSTANCES - 1),
        count=st.integers(1, 8),
    )
    def fail_many(self, instance, count):
        """Requests fail at an upstream in a row and are retried elsewhere."""
        budget = self.budgets[instance]
        for _ in range(count):
            budget.record_request(_SERVICE)
            self.requests.append(self.clock.elapsed())
            request = self._add_request(_ROUTES[0], budget)
            self.dispatch(request, Evidence.FAILED)
            self.dispatch(request, Evidence.ANSWERED)

    @rule(request=sent)
    def refuse(self, request):
        """Refuses a request with `not run` if its history permits it."""
        request.is_refused = (
            request.is_refused or not request.history.may_have_run
        )

    @rule(seconds=st.floats(0.1, 6))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @invariant()
    def requests_that_are_not_idempotent_run_at_most_once(self):
        assert all(
            request.runs <= 1
            for request in self.all_requests
            if not request.is_idempotent
        )

    @invariant()
    def attempts_are_bounded(self):
        assert all(request.runs <= 2 for request in self.all_requests)

    @invariant()
    def refused_requests_never_ran(self):
        assert not any(
            request.is_refused and request.runs for request in self.all_requests
        )

    @invariant()
    def all_instances_together_stay_within_the_budget(self):
        start = self.clock.elapsed() - _BOUNDS.window
        recent_requests = sum(moment > start for moment in self.requests)
        recent_retries = sum(moment > start for moment in self.retries)
        assert recent_retries <= _BOUNDS.ratio * recent_requests + _BOUNDS.slack

    def _add_request(self, route, budget):
        request = _Request(AttemptHistory(route), route.is_idempotent, budget)
        self.all_requests.append(request)
        return request


RetryMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestRetries = RetryMachine.TestCase
