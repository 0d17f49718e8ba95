"""Asks the keepers of teams' limits for tokens, and answers as one of them.

All teams whose keeper is the same instance share one message; there is one at
a time for each keeper. Messages are sent only when a request needs tokens.
"""

from collections.abc import Iterable
from typing import Final

import attrs
import trio

from masticstage import peer_pb2 as pb
from masticstage.edges.exchange import log_liveness
from masticstage.edges.gateway import Gateway
from masticstage.edges.gossip import post_message
from masticstage.edges.quota_messages import (
    decode_asks,
    decode_grants,
    encode_ask,
    encode_grant,
)
from masticstage.forwarding.quotas.messages import Ask, Grant
from masticstage.forwarding.quotas.ranks import (
    Peer,
    count_shards,
    rank_keepers,
    shard_of,
)
from masticstage.membership import Liveness, Member

QUOTA_PATH: Final = b'/quota'
#: Longest wait for the answer of a keeper of this region, and of another.
_KEEPER_TIMEOUT_S: Final = 0.1
_LOAN_TIMEOUT_S: Final = 0.3
#: Instances that are asked in turn until one keeps the team's limit.
_MAX_ASKED: Final = 2
#: Time between two messages to an absent instance that may still be a keeper.
_RIVALS_INTERVAL_S: Final = 0.5
_ABSENT_STATES: Final = frozenset((Liveness.SUSPECT, Liveness.GONE))


def observe_members(gateway: Gateway) -> None:
    """Learns who keeps which limits, while any team has one."""
    quotas = gateway.quotas
    table = gateway.views.fleet.table
    if table is None or table.teams is None or not table.teams.has_limits:
        return
    now_s = gateway.elapsed_s()
    local = _members_of(gateway, gateway.region)
    live = [member for member in local if member.liveness is Liveness.LIVE]
    peers = {
        member.identity.name: Peer(
            member.identity.incarnation, member.data_centre
        )
        for member in live
    }
    absent = [
        member.identity.name
        for member in local
        if member.liveness in _ABSENT_STATES
    ]
    quotas.ranking.update(now_s, peers, absent)
    quotas.keeper.observe(quotas.ranking.tenures())
    quotas.balances.refill_allowances(
        max(gateway.live_count(), quotas.least_instances)
    )
    if now_s >= quotas.rivals_due_s:
        quotas.rivals_due_s = now_s + _RIVALS_INTERVAL_S
        for rival in quotas.ranking.rivals():
            gateway.spawn(_check_rival, gateway, rival)


async def _check_rival(gateway: Gateway, name: str) -> None:
    """Asks an instance that this one replaces; it is live if it answers."""
    members = gateway.views.members
    member = members.find(name)
    if member is None:
        return
    grants = await _send(gateway, member, [], is_keeper=False)
    if grants is not None:
        log_liveness(gateway, members.confirm_live(name))


async def ask_keeper(gateway: Gateway, team: str) -> None:
    """Asks for the tokens of all requests that wait, or waits for an answer."""
    await _start_asking(gateway, team).wait()


def ask_ahead(gateway: Gateway, team: str) -> None:
    """Asks for tokens of requests that are expected, if that is due."""
    if gateway.quotas.balances.wants_ahead(team):
        _start_asking(gateway, team)


def answer_quota_request(
    gateway: Gateway, message: pb.QuotaRequest
) -> pb.QuotaReply:
    """Answers another instance as keeper of some teams."""
    asks = decode_asks(message)
    if message.is_keeper:
        grants = gateway.quotas.keeper.lend(message.region, asks)
    else:
        grants = _serve(gateway, message.sender, asks)
    return pb.QuotaReply(grants=map(encode_grant, grants))


def _start_asking(gateway: Gateway, team: str) -> trio.Event:
    """Returns an event that is set when the keeper of a team has answered."""
    quotas = gateway.quotas
    shard = quotas.ranking.shard(team)
    if shard not in quotas.flights:
        quotas.flights[shard] = trio.Event()
        gateway.spawn(_ask_once, gateway, shard, team)
    return quotas.flights[shard]


async def _ask_once(gateway: Gateway, shard: int, team: str) -> None:
    quotas = gateway.quotas
    teams = {team, *quotas.waiting, *quotas.balances.active_teams()}
    try:
        await _exchange(
            gateway,
            team,
            [name for name in teams if quotas.ranking.shard(name) == shard],
        )
    finally:
        quotas.flights.pop(shard).set()


async def _exchange(gateway: Gateway, team: str, teams: list[str]) -> None:
    balances, waiting = gateway.quotas.balances, gateway.quotas.waiting
    asked_s = gateway.elapsed_s()
    asks = [
        balances.compose(name, *_needs(waiting.get(name, ()))) for name in teams
    ]
    grants = await _ask_in_turn(gateway, team, asks)
    for ask in asks:
        grant = grants.get(ask.team)
        if grant is None:
            balances.record_unreachable(ask)
        else:
            balances.apply(grant, ask, asked_s)


def _needs(waiting: Iterable[float]) -> tuple[float, float]:
    """Returns the sum of the tokens of waiting requests, and the least."""
    tokens = list(waiting)
    return sum(tokens), min(tokens, default=0)


async def _ask_in_turn(
    gateway: Gateway, team: str, asks: list[Ask]
) -> dict[str, Grant]:
    """Asks the keeper, then the next instance in the order."""
    grants: dict[str, Grant] = {}
    for name in gateway.quotas.ranking.order(team)[:_MAX_ASKED]:
        missing = [ask for ask in asks if ask.team not in grants]
        if not missing:
            break
        for grant in await _ask_instance(gateway, name, missing):
            if not grant.is_declined:
                grants[grant.team] = grant
    return grants


async def _ask_instance(
    gateway: Gateway, name: str, asks: list[Ask]
) -> list[Grant]:
    if name == gateway.name:
        return _serve(gateway, name, asks)
    member = gateway.views.members.find(name)
    if member is None:
        return []
    gateway.metrics.count('quota_messages')
    return await _send(gateway, member, asks, is_keeper=False) or []


def _serve(gateway: Gateway, sender: str, asks: list[Ask]) -> list[Grant]:
    grants = gateway.quotas.keeper.serve(sender, asks)
    loans = gateway.quotas.keeper.start_loans()
    if loans:
        gateway.spawn(_borrow, gateway, loans)
    return grants


async def _borrow(gateway: Gateway, loans: list[Ask]) -> None:
    """Asks the keepers of other regions for tokens, all at once."""
    received = dict.fromkeys((loan.team for loan in loans), float())
    try:
        async with trio.open_nursery() as nursery:
            for keeper, asks in _divide_loans(gateway, loans).items():
                nursery.start_soon(
                    _borrow_from, gateway, keeper, asks, received
                )
    finally:
        for loan in loans:
            gateway.quotas.keeper.end_loan(loan, received[loan.team])


async def _borrow_from(
    gateway: Gateway,
    keeper: str,
    asks: list[Ask],
    received: dict[str, float],
) -> None:
    member = gateway.views.members.find(keeper)
    if member is None:
        return
    gateway.metrics.count('quota_loans')
    grants = await _send(gateway, member, asks, is_keeper=True)
    for grant in grants or ():
        received[grant.team] += grant.granted


def _divide_loans(gateway: Gateway, loans: list[Ask]) -> dict[str, list[Ask]]:
    """Returns what to ask of each keeper of another region, by its name."""
    places = gateway.settings.places
    regions = {place.region for place in places} - {gateway.region}
    asks: dict[str, list[Ask]] = {}
    for region in regions:
        for loan in loans:
            part = attrs.evolve(loan, needed=loan.needed / len(regions))
            for keeper in _rank_region(gateway, region, loan.team)[:1]:
                asks.setdefault(keeper, []).append(part)
    return asks


def _rank_region(gateway: Gateway, region: str, team: str) -> list[str]:
    """Returns the instances of another region that may keep a team's limit."""
    known = _members_of(gateway, region)
    live = [
        member.identity.name
        for member in known
        if member.liveness is Liveness.LIVE
    ]
    shards = count_shards(len(known))
    return rank_keepers(shard_of(team, shards), live)


async def _send(
    gateway: Gateway, member: Member, asks: list[Ask], *, is_keeper: bool
) -> list[Grant] | None:
    """Sends a message; returns None if it is not answered in time."""
    message = pb.QuotaRequest(
        sender=gateway.name,
        region=gateway.region,
        is_keeper=is_keeper,
        asks=map(encode_ask, asks),
    )
    body = await post_message(
        gateway,
        member.peer_address,
        QUOTA_PATH,
        message.SerializeToString(),
        _LOAN_TIMEOUT_S if is_keeper else _KEEPER_TIMEOUT_S,
    )
    if body is None:
        gateway.metrics.count('quota_unanswered')
        return None
    return decode_grants(pb.QuotaReply.FromString(body))


def _members_of(gateway: Gateway, region: str) -> list[Member]:
    """Returns the known instances of a region, live or not."""
    members = gateway.views.members
    known = (*members.others(), *members.gone(), members.own)
    return [member for member in known if member.region == region]
