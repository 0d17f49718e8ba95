"""Exchange of views with other instances, and news of published records.

Every period an instance exchanges with some others: members, load, crashes
and the revision of the records that it knows.  Whoever is behind fetches the
news.  An instance that did not answer twice in a row is suspected.
"""

from http import HTTPStatus
from random import Random
from typing import Final

import attrs
import trio

from masticstage import peer_pb2 as pb
from masticstage.edges.connections import Outgoing
from masticstage.edges.gateway import Gateway
from masticstage.edges.messages import (
    decode_load,
    decode_news,
    encode_load,
)
from masticstage.edges.records import take_news
from masticstage.exceptions import BrokenConnectionError, ConnectError
from masticstage.member_messages import decode_member, encode_member
from masticstage.membership import Liveness, Member

#: Period of exchanges. Loads are useful for about as long as a short answer.
_PERIOD_S: Final = 0.25
#: Instances asked each period in the own region: each gets as many questions,
#: and the loads of 45 upstreams take each side 0.8 ms beside the call itself.
_NEAR: Final = 1
#: Periods between two questions to an instance elsewhere, where bytes have a
#: price: each is answered with the sums of a region.
_FAR_PERIODS: Final = 2
#: Time for an exchange: some round trips between regions.
_EXCHANGE_S: Final = 0.7
#: Time for the news, which may hold all records.
_NEWS_S: Final = 2.0
#: Exchanges in a row without an answer that make an instance suspect.
_MISSES: Final = 2
#: Member records passed on in one exchange.
_MAX_CHANGES: Final = 16
#: Chance, each period, of asking an instance that is believed gone.
_GONE_CHANCE: Final = 0.1
#: Periods between two questions to the seeds that are not known as members.
_SEED_PERIODS: Final = 4
_KEPT_S: Final = 30


@attrs.define
class _Rounds:
    """Exchanges without an answer, in a row, by instance."""

    random: Random = attrs.field(factory=Random)
    misses: dict[str, int] = attrs.field(factory=dict)
    count: int = 0
    is_fetching: bool = False


async def run_exchanges(gateway: Gateway) -> None:
    """Exchanges views every period, for the life of the process."""
    rounds = _Rounds()
    while True:
        for gone in gateway.beliefs.members.expire():
            _log_member(gateway, gone)
        for member in _partners(gateway, rounds):
            gateway.spawn(_ask, gateway, rounds, member)
        if rounds.count % _SEED_PERIODS == 0:
            for seed in _unknown_seeds(gateway):
                gateway.spawn(_ask_seed, gateway, rounds, seed)
        rounds.count += 1
        gateway.beliefs.budget.note_instances(gateway.live_count())
        await trio.sleep(_PERIOD_S)


async def tell_all(gateway: Gateway) -> None:
    """Tells every other instance at once, as when leaving."""
    rounds = _Rounds()
    for member in gateway.beliefs.members.others():
        gateway.spawn(_ask, gateway, rounds, member)


def answer_exchange(
    gateway: Gateway,
    message: pb.FleetExchange,
) -> pb.FleetExchange:
    """Takes over what another instance tells; returns own views."""
    _take(gateway, message)
    sender = gateway.beliefs.members.find(message.sender.name)
    region = sender.region if sender else gateway.region
    return _compose(gateway, region, is_full=message.is_joining)


def _compose(
    gateway: Gateway,
    region: str,
    *,
    is_full: bool,
) -> pb.FleetExchange:
    """Returns own views for an instance of a region.

    Those of this region get own counts and sum them up; each of them tells
    the sums elsewhere, where nobody can ask all of them.
    """
    beliefs = gateway.beliefs
    is_near = region == gateway.region
    loads = beliefs.loads
    told = loads.shared() if is_near else loads.shared_region()
    own = beliefs.members.own.identity
    members = (
        beliefs.members.all_records()
        if is_full
        else beliefs.members.changes(_MAX_CHANGES)
    )
    return pb.FleetExchange(
        sender=pb.Incarnation(name=own.name, number=own.incarnation),
        members=[encode_member(member) for member in members],
        published_revision=beliefs.image.revision,
        loads=[encode_load(load) for load in told],
        summed_region='' if is_near else gateway.region,
        strikes=[
            pb.Strike(fingerprint=one.fingerprint, upstream=one.upstream)
            for one in beliefs.quarantine.crash_reports()
        ],
    )


def _take(gateway: Gateway, message: pb.FleetExchange) -> None:
    beliefs = gateway.beliefs
    for member in beliefs.members.merge(
        decode_member(record) for record in message.members
    ):
        _log_member(gateway, member)
    loads = tuple(decode_load(record) for record in message.loads)
    if message.summed_region:
        beliefs.loads.take_region(message.summed_region, loads)
    else:
        beliefs.loads.take_shared(message.sender.name, loads)
    for strike in message.strikes:
        beliefs.quarantine.record_crash(strike.fingerprint, strike.upstream)


async def _ask(gateway: Gateway, rounds: _Rounds, member: Member) -> None:
    """Exchanges views with one instance and draws the consequences."""
    name = member.identity.name
    started_s = gateway.elapsed_s()
    message = _compose(gateway, member.region, is_full=False)
    answer = await _call(gateway, member.peer_address, message)
    members = gateway.beliefs.members
    if answer is None or answer.sender.name != name:
        rounds.misses[name] = rounds.misses.get(name, 0) + 1
        if rounds.misses[name] >= _MISSES:
            _log_member(gateway, members.suspect(name))
        return
    rounds.misses[name] = 0
    took_s = gateway.elapsed_s() - started_s
    gateway.beliefs.chooser.note_hop(member.region, took_s)
    _log_member(gateway, members.confirm_live(name))
    await _catch_up(gateway, rounds, member.peer_address, answer)


async def _ask_seed(gateway: Gateway, rounds: _Rounds, address: str) -> None:
    message = _compose(gateway, gateway.region, is_full=False)
    message.is_joining = True
    answer = await _call(gateway, address, message)
    if answer is not None:
        await _catch_up(gateway, rounds, address, answer)


async def _call(
    gateway: Gateway,
    address: str,
    message: pb.FleetExchange,
) -> pb.FleetExchange | None:
    body = await _post(
        gateway,
        address,
        b'/exchange',
        message.SerializeToString(),
        _EXCHANGE_S,
    )
    if body is None:
        return None
    answer = pb.FleetExchange.FromString(body)
    _take(gateway, answer)
    return answer


async def _catch_up(
    gateway: Gateway,
    rounds: _Rounds,
    address: str,
    answer: pb.FleetExchange,
) -> None:
    """Fetches records that another instance knows and this one does not."""
    known = gateway.beliefs.image.revision
    if answer.published_revision <= known or rounds.is_fetching:
        return
    rounds.is_fetching = True
    try:
        body = await _post(
            gateway,
            address,
            b'/news',
            pb.PublishedNews(revision=known).SerializeToString(),
            _NEWS_S,
        )
    finally:
        rounds.is_fetching = False
    if body is not None:
        message = pb.PublishedNews.FromString(body)
        news = decode_news(message)
        source = f'peer {answer.sender.name}'
        is_sound = not message.is_in_trouble
        take_news(gateway, news, source, is_sound=is_sound)


async def _post(
    gateway: Gateway,
    address: str,
    target: bytes,
    body: bytes,
    timeout_s: float,
) -> bytes | None:
    """Sends a message to an instance; None when no answer came in time."""
    with trio.move_on_after(timeout_s):
        try:
            connection = await gateway.links.exchanges.take(address, _KEPT_S)
        except ConnectError:
            return None
        try:
            await connection.send(
                Outgoing(b'POST', target, ((b'host', b'peer'),), body),
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
        gateway.links.exchanges.give_back(connection)
        return answer if head.status == HTTPStatus.OK else None
    return None


def _partners(gateway: Gateway, rounds: _Rounds) -> list[Member]:
    members = gateway.beliefs.members
    others = [
        member
        for member in members.others()
        if member.liveness is not Liveness.LEAVING
    ]
    near = [one for one in others if one.region == gateway.region]
    far = [one for one in others if one.region != gateway.region]
    chosen = _draw(rounds.random, near, _NEAR)
    if rounds.count % _FAR_PERIODS == 0:
        chosen.extend(_draw(rounds.random, far, 1))
    gone = members.gone()
    if gone and rounds.random.random() < _GONE_CHANCE:
        chosen.append(rounds.random.choice(gone))
    return chosen


def _draw(random: Random, group: list[Member], count: int) -> list[Member]:
    return random.sample(group, min(count, len(group)))


def _unknown_seeds(gateway: Gateway) -> list[str]:
    members = gateway.beliefs.members
    known = {one.peer_address for one in members.others()}
    known.add(members.own.peer_address)
    return [seed for seed in gateway.settings.seeds if seed not in known]


def _log_member(gateway: Gateway, member: Member | None) -> None:
    if member is None:
        return
    event = 'peer_regained' if member.liveness is Liveness.LIVE else 'peer_lost'
    gateway.log.record(
        event,
        peer=member.identity.name,
        liveness=member.liveness.name.lower(),
        heartbeat=member.heartbeat,
    )
