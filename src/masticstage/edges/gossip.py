"""Gossip between instances, which also spreads published records.

In each round an instance exchanges members, loads, crashes and the revision of
its records with a few others.  An instance whose records are behind fetches
the updates.  Exchanges use datagrams where the other instance takes them; one
that is not answered is repeated over a connection.  An instance that fails to
answer twice in a row is suspected.
"""

from http import HTTPStatus
from typing import Final

import trio
from google.protobuf.message import DecodeError

from masticstage import peer_pb2 as pb
from masticstage.edges.datagrams import DatagramSocket
from masticstage.edges.exchange import (
    answer_message,
    apply_message,
    compose_message,
    log_liveness,
)
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_client import OutgoingRequest
from masticstage.edges.lost_records import apply_lost
from masticstage.edges.messages import decode_updates
from masticstage.edges.near_records import wait_for_near_peers
from masticstage.edges.origins.spreading import learn_origins
from masticstage.edges.records import apply_updates
from masticstage.edges.timers import sleep_until_next
from masticstage.edges.warmups.findings import learn_news
from masticstage.exceptions import BrokenConnectionError, ConnectError
from masticstage.membership import Liveness, Member

#: Time between rounds. A load is out of date after about the time that a short
#: answer takes.
_INTERVAL_S: Final = 0.25
#: Rounds between exchanges with another region. Traffic between regions has a
#: price, so only sums over a region are exchanged.
_REMOTE_INTERVAL_ROUNDS: Final = 2
#: Timeout of an exchange: some round trips between regions.
_EXCHANGE_TIMEOUT_S: Final = 0.7
#: Timeout of fetching updates, which may hold all records.
_FETCH_TIMEOUT_S: Final = 2.0
#: Unanswered exchanges in a row after which an instance is suspected.
_MISSES_TO_SUSPECT: Final = 2
#: Probability, in each round, of an exchange with an instance that is marked as
#: gone, so that its return is noticed.
_GONE_EXCHANGE_PROBABILITY: Final = 0.1
#: Rounds between exchanges with the seeds that are not known as members.
_SEED_INTERVAL_ROUNDS: Final = 4
#: Longest idle time of a reused connection; the pool has its own limit.
_MAX_IDLE_S: Final = 30

_BAD_DATAGRAM_ERRORS: Final = (DecodeError, ValueError)


async def run_gossip(gateway: Gateway) -> None:
    """Exchanges views with some instances in each round, until cancelled."""
    address = gateway.settings.listen.gossip
    datagrams = _bind_datagrams(gateway, address) if address else None
    gateway.gossip.datagrams = datagrams
    try:
        async with trio.open_nursery() as nursery:
            if datagrams is not None:
                nursery.start_soon(_receive_datagrams, gateway, datagrams)
            await _run_rounds(gateway)
    finally:
        gateway.gossip.datagrams = None
        if datagrams is not None:
            datagrams.close()


async def notify_all_peers(gateway: Gateway) -> None:
    """Exchanges views with every other instance at once, as when leaving."""
    for member in gateway.views.members.others():
        _start_exchange(gateway, member)


def _bind_datagrams(gateway: Gateway, address: str) -> DatagramSocket | None:
    """Returns a socket for datagrams; None if the address cannot be used."""
    try:
        return DatagramSocket.bind(address)
    except OSError as error:
        gateway.log.record('no_datagrams', address=address, reason=str(error))
        return None


async def _run_rounds(gateway: Gateway) -> None:
    state, members = gateway.gossip, gateway.views.members
    while True:
        for gone in members.expire():
            log_liveness(gateway, gone)
        _repeat_unanswered(gateway)
        for member in _pick_partners(gateway):
            _start_exchange(gateway, member)
        if state.round_number % _SEED_INTERVAL_ROUNDS == 0:
            for seed in _unknown_seeds(gateway):
                gateway.spawn(_join_through, gateway, seed)
        state.round_number += 1
        gateway.views.retry_budget.record_instances(gateway.live_count())
        await sleep_until_next(_INTERVAL_S)


def _start_exchange(gateway: Gateway, member: Member) -> None:
    """Asks an instance by a datagram, or over a connection if it takes none."""
    state = gateway.gossip
    if state.datagrams is None or not member.gossip_address:
        gateway.spawn(_exchange_with, gateway, member)
        return
    message = compose_message(gateway, member.region, is_packed=True)
    message.question = state.questions.ask(member, gateway.elapsed_s())
    encoded = message.SerializeToString()
    if not state.datagrams.send(encoded, member.gossip_address):
        state.questions.close(message.question)
        gateway.spawn(_exchange_with, gateway, member)


def _repeat_unanswered(gateway: Gateway) -> None:
    """Repeats exchanges over a connection whose datagrams were not answered."""
    asked_before_s = gateway.elapsed_s() - _EXCHANGE_TIMEOUT_S
    for member in gateway.gossip.questions.take_overdue(asked_before_s):
        _record_miss(gateway, member.identity.name)
        gateway.spawn(_exchange_with, gateway, member)


async def _receive_datagrams(
    gateway: Gateway,
    datagrams: DatagramSocket,
) -> None:
    while True:
        received = await datagrams.receive()
        try:
            _handle_datagram(gateway, datagrams, received)
        except _BAD_DATAGRAM_ERRORS as error:
            gateway.log.record('peer_message_refused', reason=str(error))


def _handle_datagram(
    gateway: Gateway,
    datagrams: DatagramSocket,
    received: bytes,
) -> None:
    """Applies a question and answers it, an answer, or mere news."""
    message = pb.FleetExchange.FromString(received)
    if message.news_from:
        learn_news(gateway, message.news, message.news_from)
        learn_origins(gateway, message.origins)
        return
    if message.question:
        answer = answer_message(gateway, message)
        sender = gateway.views.members.find(message.sender.name)
        if sender is not None and sender.gossip_address:
            datagrams.send(answer.SerializeToString(), sender.gossip_address)
    else:
        apply_message(gateway, message)
        _record_datagram_answer(gateway, message)
    if _has_news(gateway, message):
        peer = gateway.views.members.find(message.sender.name)
        if peer is not None:
            gateway.spawn(
                _fetch_missing_records, gateway, peer.peer_address, message
            )


def _record_datagram_answer(
    gateway: Gateway,
    message: pb.FleetExchange,
) -> None:
    question = gateway.gossip.questions.close(message.answer_to)
    if question is None:
        return
    if question.member.identity.name == message.sender.name:
        took_s = gateway.elapsed_s() - question.asked_at_s
        _record_answer(gateway, question.member, took_s)


def _record_answer(gateway: Gateway, member: Member, took_s: float) -> None:
    """Records that an instance answered and how long that took."""
    name = member.identity.name
    gateway.gossip.misses[name] = 0
    gateway.views.chooser.record_round_trip(member.region, took_s)
    log_liveness(gateway, gateway.views.members.confirm_live(name))


def _record_miss(gateway: Gateway, name: str) -> None:
    """Counts an unanswered exchange; suspects the instance after two."""
    misses = gateway.gossip.misses
    misses[name] = misses.get(name, 0) + 1
    if misses[name] >= _MISSES_TO_SUSPECT:
        log_liveness(gateway, gateway.views.members.suspect(name))


async def _exchange_with(gateway: Gateway, member: Member) -> None:
    """Exchanges views over a connection; records whether it was answered."""
    name = member.identity.name
    started_s = gateway.elapsed_s()
    message = compose_message(gateway, member.region)
    answer = await _exchange(gateway, member.peer_address, message)
    if answer is None or answer.sender.name != name:
        _record_miss(gateway, name)
        return
    _record_answer(gateway, member, gateway.elapsed_s() - started_s)
    await _fetch_missing_records(gateway, member.peer_address, answer)


async def _join_through(gateway: Gateway, address: str) -> None:
    """Exchanges views with a seed, which answers with all members."""
    message = compose_message(gateway, gateway.region)
    message.is_joining = True
    answer = await _exchange(gateway, address, message)
    if answer is not None:
        await _fetch_missing_records(gateway, address, answer)


async def _exchange(
    gateway: Gateway,
    address: str,
    message: pb.FleetExchange,
) -> pb.FleetExchange | None:
    """Sends a message; returns the answer after applying it, if any."""
    body = await post_message(
        gateway,
        address,
        b'/exchange',
        message.SerializeToString(),
        _EXCHANGE_TIMEOUT_S,
    )
    if body is None:
        return None
    answer = pb.FleetExchange.FromString(body)
    apply_message(gateway, answer)
    return answer


async def _fetch_missing_records(
    gateway: Gateway,
    address: str,
    answer: pb.FleetExchange,
) -> None:
    """Fetches records if the other instance has some that are missing here.

    If it is in another region, near instances get the chance to be first.
    """
    state = gateway.gossip
    if not _has_news(gateway, answer):
        return
    if not await wait_for_near_peers(gateway, answer.sender.name):
        return
    if not _has_news(gateway, answer) or state.is_fetching:
        return
    state.is_fetching = True
    try:
        await fetch_records(gateway, address, answer.sender.name)
    finally:
        state.is_fetching = False


def _has_news(gateway: Gateway, message: pb.FleetExchange) -> bool:
    """Returns whether the sender has later records, or lost ones of the era."""
    position = (message.published_era, message.published_revision)
    if position > gateway.views.records.position:
        return True
    era = gateway.views.records.era
    if message.published_era != era:
        return False
    is_known = gateway.gossip.lost_era == era
    return message.has_lost_records and not is_known


async def fetch_records(gateway: Gateway, address: str, name: str) -> bool:
    """Fetches and applies what an instance knows besides; False if it fails."""
    records = gateway.views.records
    request = pb.PublishedNews(revision=records.revision, era=records.era)
    body = await post_message(
        gateway,
        address,
        b'/news',
        request.SerializeToString(),
        _FETCH_TIMEOUT_S,
    )
    if body is None:
        return False
    message = pb.PublishedNews.FromString(body)
    updates = decode_updates(message)
    source = f'peer {name}'
    is_reliable = not message.is_in_trouble
    apply_updates(gateway, updates, source, is_reliable=is_reliable)
    apply_lost(gateway, message, source)
    return True


async def post_message(
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


def _pick_partners(gateway: Gateway) -> list[Member]:
    """Returns the instances to exchange views with in this round."""
    state, members = gateway.gossip, gateway.views.members
    others = [
        member
        for member in members.others()
        if member.liveness is not Liveness.LEAVING
    ]
    local = [peer for peer in others if peer.region == gateway.region]
    remote = [peer for peer in others if peer.region != gateway.region]
    partners = state.partners.next_partners(local)
    if remote and state.round_number % _REMOTE_INTERVAL_ROUNDS == 0:
        partners.append(state.random.choice(remote))
    gone = members.gone()
    if gone and state.random.random() < _GONE_EXCHANGE_PROBABILITY:
        partners.append(state.random.choice(gone))
    return partners


def _unknown_seeds(gateway: Gateway) -> list[str]:
    """Returns the addresses of seeds that are not among the members."""
    members = gateway.views.members
    member_addresses = {member.peer_address for member in members.others()}
    member_addresses.add(members.own.peer_address)
    return [
        seed for seed in gateway.settings.seeds if seed not in member_addresses
    ]
