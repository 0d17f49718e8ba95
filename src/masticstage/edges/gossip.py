"""Gossip between instances, which also spreads published records.

In each round an instance exchanges members, loads, crashes and the revision of
its records with a few others.  An instance whose records are behind fetches
the updates.  An instance that fails to answer twice in a row is suspected.
"""

from http import HTTPStatus
from random import Random
from typing import Final

import attrs
import trio

from masticstage import peer_pb2 as pb
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_client import OutgoingRequest
from masticstage.edges.messages import (
    decode_load,
    decode_updates,
    encode_load,
)
from masticstage.edges.records import apply_updates
from masticstage.exceptions import BrokenConnectionError, ConnectError
from masticstage.member_messages import decode_member, encode_member
from masticstage.membership import Liveness, Member

#: Time between rounds. A load is out of date after about the time that a short
#: answer takes.
_INTERVAL_S: Final = 0.25
#: Partners in each round from the own region. On average each instance is also
#: asked as often, and the loads of 45 upstreams cost each side 0.8 ms in
#: addition to the call itself.
_LOCAL_PARTNERS: Final = 1
#: Rounds between exchanges with another region. Traffic between regions has a
#: price, so only sums over a region are exchanged.
_REMOTE_INTERVAL_ROUNDS: Final = 2
#: Timeout of an exchange: some round trips between regions.
_EXCHANGE_TIMEOUT_S: Final = 0.7
#: Timeout of fetching updates, which may hold all records.
_FETCH_TIMEOUT_S: Final = 2.0
#: Unanswered exchanges in a row after which an instance is suspected.
_MISSES_TO_SUSPECT: Final = 2
#: Member records passed on in one exchange.
_MAX_CHANGES: Final = 16
#: Probability, in each round, of an exchange with an instance that is marked as
#: gone, so that its return is noticed.
_GONE_EXCHANGE_PROBABILITY: Final = 0.1
#: Rounds between exchanges with the seeds that are not known as members.
_SEED_INTERVAL_ROUNDS: Final = 4
#: Longest idle time of a reused connection; the pool has its own limit.
_MAX_IDLE_S: Final = 30


@attrs.define
class _GossipState:
    """State that is kept from round to round.

    `misses` counts unanswered exchanges in a row, by instance.
    """

    random: Random = attrs.field(factory=Random)
    misses: dict[str, int] = attrs.field(factory=dict)
    round_number: int = 0
    is_fetching: bool = False


async def run_gossip(gateway: Gateway) -> None:
    """Exchanges views with some instances in each round, until cancelled."""
    state = _GossipState()
    while True:
        for gone in gateway.views.members.expire():
            _log_liveness(gateway, gone)
        for member in _pick_partners(gateway, state):
            gateway.spawn(_exchange_with, gateway, state, member)
        if state.round_number % _SEED_INTERVAL_ROUNDS == 0:
            for seed in _unknown_seeds(gateway):
                gateway.spawn(_join_through, gateway, state, seed)
        state.round_number += 1
        gateway.views.retry_budget.record_instances(gateway.live_count())
        await trio.sleep(_INTERVAL_S)


async def notify_all_peers(gateway: Gateway) -> None:
    """Exchanges views with every other instance at once, as when leaving."""
    state = _GossipState()
    for member in gateway.views.members.others():
        gateway.spawn(_exchange_with, gateway, state, member)


def answer_gossip(
    gateway: Gateway,
    message: pb.FleetExchange,
) -> pb.FleetExchange:
    """Applies a message of another instance; returns the answer to it."""
    _apply_message(gateway, message)
    sender = gateway.views.members.find(message.sender.name)
    region = sender.region if sender else gateway.region
    return _compose_message(gateway, region, is_full=message.is_joining)


def _compose_message(
    gateway: Gateway,
    region: str,
    *,
    is_full: bool,
) -> pb.FleetExchange:
    """Returns this instance's view for an instance of a region.

    Instances of the same region get only the loads of this instance, and add up
    those of all.  Instances of another region do not ask every instance here,
    so they get the sums over this region.  `is_full` includes all members.
    """
    views = gateway.views
    is_own_region = region == gateway.region
    loads = views.loads
    reported = loads.own_loads() if is_own_region else loads.region_loads()
    own = views.members.own.identity
    members = (
        views.members.all_records()
        if is_full
        else views.members.changes(_MAX_CHANGES)
    )
    return pb.FleetExchange(
        sender=pb.Incarnation(name=own.name, number=own.incarnation),
        members=[encode_member(member) for member in members],
        published_revision=views.records.revision,
        loads=[encode_load(load) for load in reported],
        summed_region='' if is_own_region else gateway.region,
        strikes=[
            pb.Strike(fingerprint=report.fingerprint, upstream=report.upstream)
            for report in views.quarantine.crash_reports()
        ],
    )


def _apply_message(gateway: Gateway, message: pb.FleetExchange) -> None:
    """Merges the sender's view into the own one; logs changed members."""
    views = gateway.views
    for member in views.members.merge(
        decode_member(record) for record in message.members
    ):
        _log_liveness(gateway, member)
    loads = tuple(decode_load(record) for record in message.loads)
    if message.summed_region:
        views.loads.replace_region_loads(message.summed_region, loads)
    else:
        views.loads.replace_peer_loads(message.sender.name, loads)
    for strike in message.strikes:
        views.quarantine.record_crash(strike.fingerprint, strike.upstream)


async def _exchange_with(
    gateway: Gateway,
    state: _GossipState,
    member: Member,
) -> None:
    """Exchanges views with one instance and records whether it answered."""
    name = member.identity.name
    started_s = gateway.elapsed_s()
    message = _compose_message(gateway, member.region, is_full=False)
    answer = await _exchange(gateway, member.peer_address, message)
    members = gateway.views.members
    if answer is None or answer.sender.name != name:
        state.misses[name] = state.misses.get(name, 0) + 1
        if state.misses[name] >= _MISSES_TO_SUSPECT:
            _log_liveness(gateway, members.suspect(name))
        return
    state.misses[name] = 0
    took_s = gateway.elapsed_s() - started_s
    gateway.views.chooser.record_round_trip(member.region, took_s)
    _log_liveness(gateway, members.confirm_live(name))
    await _fetch_missing_records(gateway, state, member.peer_address, answer)


async def _join_through(
    gateway: Gateway,
    state: _GossipState,
    address: str,
) -> None:
    """Exchanges views with a seed, which answers with all members."""
    message = _compose_message(gateway, gateway.region, is_full=False)
    message.is_joining = True
    answer = await _exchange(gateway, address, message)
    if answer is not None:
        await _fetch_missing_records(gateway, state, address, answer)


async def _exchange(
    gateway: Gateway,
    address: str,
    message: pb.FleetExchange,
) -> pb.FleetExchange | None:
    """Sends a message; returns the answer after applying it, if any."""
    body = await _post(
        gateway,
        address,
        b'/exchange',
        message.SerializeToString(),
        _EXCHANGE_TIMEOUT_S,
    )
    if body is None:
        return None
    answer = pb.FleetExchange.FromString(body)
    _apply_message(gateway, answer)
    return answer


async def _fetch_missing_records(
    gateway: Gateway,
    state: _GossipState,
    address: str,
    answer: pb.FleetExchange,
) -> None:
    """Fetches records if the other instance has a later revision."""
    own_revision = gateway.views.records.revision
    if answer.published_revision <= own_revision or state.is_fetching:
        return
    state.is_fetching = True
    try:
        body = await _post(
            gateway,
            address,
            b'/news',
            pb.PublishedNews(revision=own_revision).SerializeToString(),
            _FETCH_TIMEOUT_S,
        )
    finally:
        state.is_fetching = False
    if body is not None:
        message = pb.PublishedNews.FromString(body)
        updates = decode_updates(message)
        source = f'peer {answer.sender.name}'
        is_reliable = not message.is_in_trouble
        apply_updates(gateway, updates, source, is_reliable=is_reliable)


async def _post(
    gateway: Gateway,
    address: str,
    target: bytes,
    body: bytes,
    timeout_s: float,
) -> bytes | None:
    """Sends a message to an instance; None if it fails or times out."""
    with trio.move_on_after(timeout_s):
        try:
            connection = await gateway.connections.gossip.acquire(
                address,
                _MAX_IDLE_S,
            )
        except ConnectError:
            return None
        try:
            await connection.send(
                OutgoingRequest(b'POST', target, ((b'host', b'peer'),), body),
                gateway.spawn,
            )
            head = await connection.read_head()
            answer = await connection.read_body()
        except BrokenConnectionError:
            connection.close()
            return None
        except trio.Cancelled:
            connection.close()
            raise
        gateway.connections.gossip.release(connection)
        return answer if head.status == HTTPStatus.OK else None
    return None


def _pick_partners(gateway: Gateway, state: _GossipState) -> list[Member]:
    """Returns the instances to exchange views with in this round."""
    members = gateway.views.members
    others = [
        member
        for member in members.others()
        if member.liveness is not Liveness.LEAVING
    ]
    local = [peer for peer in others if peer.region == gateway.region]
    remote = [peer for peer in others if peer.region != gateway.region]
    partners = _sample(state.random, local, _LOCAL_PARTNERS)
    if state.round_number % _REMOTE_INTERVAL_ROUNDS == 0:
        partners.extend(_sample(state.random, remote, 1))
    gone = members.gone()
    if gone and state.random.random() < _GONE_EXCHANGE_PROBABILITY:
        partners.append(state.random.choice(gone))
    return partners


def _sample(random: Random, group: list[Member], count: int) -> list[Member]:
    return random.sample(group, min(count, len(group)))


def _unknown_seeds(gateway: Gateway) -> list[str]:
    """Returns the addresses of seeds that are not among the members."""
    members = gateway.views.members
    member_addresses = {member.peer_address for member in members.others()}
    member_addresses.add(members.own.peer_address)
    return [
        seed for seed in gateway.settings.seeds if seed not in member_addresses
    ]


def _log_liveness(gateway: Gateway, member: Member | None) -> None:
    """Logs a change of a member's liveness; None means no change."""
    if member is None:
        return
    event = (
        'peer_recovered'
        if member.liveness is Liveness.LIVE
        else 'peer_not_live'
    )
    gateway.log.record(
        event,
        peer=member.identity.name,
        liveness=member.liveness.name.lower(),
        heartbeat=member.heartbeat,
    )
