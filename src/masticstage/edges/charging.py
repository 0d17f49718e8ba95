"""Charges a request to its team's limit, once, before it is dispatched."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final

import trio

from masticstage.edges.dispatch_outcome import RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.quotas import ask_ahead, ask_keeper
from masticstage.edges.refusals import Refusal
from masticstage.forwarding.quotas.balances import Decision, Step

#: Part of its target that a request waits for tokens.
_PATIENCE: Final = 0.125
_MS_PER_S: Final = 1000


async def charge_team(
    gateway: Gateway, routed: RoutedRequest
) -> Refusal | None:
    """Takes a request's tokens; returns the refusal if there are too few."""
    tokens = _tokens_of(routed)
    if not tokens:
        return None
    team = routed.team_name
    decision = await _await_tokens(gateway, routed, tokens)
    if decision.step is Step.GO:
        gateway.metrics.count_named('team_tokens', team, tokens)
        ask_ahead(gateway, team)
        return None
    _log_refusal(gateway, routed, tokens, decision)
    return Refusal(
        HTTPStatus.TOO_MANY_REQUESTS,
        f'limit of team {team}',
        timedelta(seconds=decision.wait_s),
        team,
    )


def give_back(gateway: Gateway, routed: RoutedRequest) -> None:
    """Returns the tokens of a request that certainly did not run."""
    tokens = _tokens_of(routed)
    if tokens:
        gateway.quotas.balances.give_back(routed.team_name, tokens)


def _tokens_of(routed: RoutedRequest) -> int:
    """Returns what a request counts; 0 if its team has no limit."""
    if routed.team is None or routed.team.limit is None:
        return 0
    counted = routed.request.counted_tokens
    return routed.team.limit.plain_tokens if counted is None else counted


async def _await_tokens(
    gateway: Gateway, routed: RoutedRequest, tokens: int
) -> Decision:
    """Returns whether the request may go, or when to retry."""
    quotas, team = gateway.quotas, routed.team_name
    patience = _PATIENCE * routed.route.target.total_seconds()
    ends_s = gateway.elapsed_s() + patience
    decision = quotas.balances.decide(team, tokens, patience)
    if decision.step in {Step.GO, Step.REFUSE}:
        return decision
    waiting = quotas.waiting.setdefault(team, [])
    waiting.append(tokens)
    try:
        while decision.step in {Step.ASK, Step.WAIT}:
            with trio.move_on_after(ends_s - gateway.elapsed_s()) as scope:
                await _wait_for_tokens(gateway, team, decision)
            left_s = ends_s - gateway.elapsed_s()
            decision = quotas.balances.decide(team, tokens, left_s)
            if decision.step is Step.ASK and (
                scope.cancelled_caught or left_s <= 0
            ):
                return Decision(Step.REFUSE, patience)
    finally:
        waiting.remove(tokens)
        if not waiting:
            quotas.waiting.pop(team, None)
    return decision


async def _wait_for_tokens(
    gateway: Gateway, team: str, decision: Decision
) -> None:
    if decision.step is Step.WAIT:
        await trio.sleep(decision.wait_s)
    else:
        await ask_keeper(gateway, team)


def _log_refusal(
    gateway: Gateway, routed: RoutedRequest, tokens: int, decision: Decision
) -> None:
    answered = gateway.quotas.balances.explain(routed.team_name)
    gateway.log.record(
        'quota_refused',
        routed.request.request_id,
        team=routed.team_name,
        rule='tokens of the team over all instances',
        tokens=tokens,
        balance=round(answered.balance),
        region_level=round(answered.level),
        answer_age_ms=_to_ms(answered.age_s),
        retry_after_ms=_to_ms(decision.wait_s),
    )


def _to_ms(seconds: float) -> int | None:
    """Returns milliseconds; None if no keeper has ever answered."""
    return round(seconds * _MS_PER_S) if seconds < float('inf') else None
