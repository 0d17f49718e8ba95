"""Exchange of views with other instances.

Each period an instance exchanges recent changes with one random instance of
its own data centre and one of another; a new configuration is announced at
once.  Exchanges double as heartbeats: an instance that does not answer is
suspected.
"""

import json
from collections.abc import Iterator
from typing import Final

import trio

from masticstage import peer_pb2 as pb
from masticstage.audit import Event
from masticstage.clock import to_milliseconds
from masticstage.configuration_schema import Upstream
from masticstage.exceptions import PeerUnreachableError
from masticstage.instance import Instance
from masticstage.member_messages import decode_member, encode_member
from masticstage.membership import Liveness, Member
from masticstage.peer_messages import (
    decode_report,
    decode_summary,
    encode_report,
    encode_summary,
)
from masticstage.rollout import Adoption, Decision, Offer
from masticstage.summaries import Summary

#: Member records passed on in one exchange.
_MAX_CHANGES: Final = 16
#: Load reports passed on in one exchange; older ones are left out.
_MAX_REPORTS: Final = 16
#: Instances told at once about a new configuration.
_ANNOUNCE_FANOUT: Final = 4
_MS_PER_S: Final = 1000
#: Chance of probing an instance that is believed gone, each period.
_GONE_PROBE_CHANCE: Final = 0.2


_ServiceUpstreams = tuple[str, tuple[Upstream, ...]]


async def run_gossip(instance: Instance) -> None:
    """Exchanges views every period, for the life of the process."""
    period_s = instance.settings.timing.gossip_ms / _MS_PER_S
    await _join(instance)
    while True:
        await trio.sleep(period_s)
        for gone in instance.views.members.expire():
            _audit_member(instance, gone)
        instance.books.owner.discard_expired()
        instance.books.witness.discard_expired()
        for member in _pick_partners(instance):
            instance.nursery.start_soon(exchange_with, instance, member)


async def exchange_with(
    instance: Instance,
    member: Member,
    *,
    is_joining: bool = False,
) -> bool:
    """Exchanges views with one instance; False when it did not answer."""
    gossip = compose_gossip(instance, member, is_joining=is_joining)
    try:
        answer = await instance.connections.peers.exchange(
            member.peer_address,
            gossip,
        )
    except PeerUnreachableError:
        _note_silence(instance, member)
        return False
    take_gossip(instance, answer)
    recovered = instance.views.members.confirm_live(answer.sender.name)
    if recovered is not None:
        _audit_member(instance, recovered)
    return True


def compose_gossip(
    instance: Instance,
    receiver: Member | None,
    *,
    is_joining: bool = False,
    is_full: bool = False,
) -> pb.Gossip:
    """Returns what this instance tells another one.

    Loads of single upstreams are told inside a data centre only.
    """
    views = instance.views
    is_near = receiver and receiver.data_centre == instance.data_centre
    members = (
        views.members.all_records()
        if is_full
        else views.members.changes(_MAX_CHANGES)
    )
    return pb.Gossip(
        sender=pb.Incarnation(
            name=instance.identity.name,
            number=instance.identity.incarnation,
        ),
        configuration=pb.ConfigurationMark(
            version=views.rollout.version,
            digest=views.rollout.digest,
        ),
        members=[encode_member(member) for member in members],
        upstreams=_local_reports(instance) if is_near else [],
        strikes=[
            pb.Strike(fingerprint=one.fingerprint, upstream=one.upstream)
            for one in instance.books.quarantine.crash_reports()
        ],
        summaries=[
            encode_summary(summary) for summary in _own_summaries(instance)
        ],
        is_joining=is_joining,
    )


def take_gossip(instance: Instance, gossip: pb.Gossip) -> None:
    """Takes over what another instance has told."""
    for member in instance.views.members.merge(
        decode_member(record) for record in gossip.members
    ):
        _audit_member(instance, member)
    for name in instance.views.upstreams.merge(
        decode_report(record) for record in gossip.upstreams
    ):
        instance.audit.record(Event.UPSTREAM_LEAVING, name, 'told by a peer')
    for strike in gossip.strikes:
        _take_strike(instance, strike)
    instance.views.summaries.merge(
        decode_summary(one) for one in gossip.summaries
    )
    _compare_configuration(instance, gossip)


async def offer_configuration(
    instance: Instance,
    offer: Offer,
    source: str,
) -> Decision:
    """Offers a configuration to the rollout and announces a new one."""
    decision = instance.views.rollout.offer(offer)
    if decision.adoption is Adoption.UNCHANGED:
        return decision
    faults = '; '.join(
        f'{fault.key}: {fault.expected}' for fault in decision.faults
    )
    instance.audit.record(
        Event.CONFIGURATION,
        str(offer.version),
        f'{decision.adoption.value} from {source} {faults}'.strip(),
    )
    if decision.adoption is Adoption.ADOPTED:
        catalogue = instance.views.rollout.catalogue
        released = catalogue.configuration.released if catalogue else ()
        instance.books.quarantine.release(released)
        instance.nursery.start_soon(announce, instance)
    return decision


async def pull_configuration(instance: Instance, member: Member) -> None:
    """Fetches a newer configuration from an instance."""
    try:
        reply = await instance.connections.peers.fetch_configuration(
            member.peer_address,
            instance.version - 1,
        )
    except PeerUnreachableError:
        return
    if not reply.value_json:
        return
    offer = Offer(reply.version, json.loads(reply.value_json))
    await offer_configuration(instance, offer, member.identity.name)


async def announce(instance: Instance) -> None:
    """Tells news to some live instances at once; waits for their answers."""
    others = [
        member
        for member in instance.views.members.others()
        if member.liveness is Liveness.LIVE
    ]
    count = min(_ANNOUNCE_FANOUT, len(others))
    async with trio.open_nursery() as nursery:
        for member in instance.random.sample(others, count):
            nursery.start_soon(exchange_with, instance, member)


async def _join(instance: Instance) -> None:
    """Asks all known instances for their views, before the platform."""
    async with trio.open_nursery() as nursery:
        for member in instance.views.members.others():
            nursery.start_soon(_join_member, instance, member)


async def _join_member(instance: Instance, member: Member) -> None:
    await exchange_with(instance, member, is_joining=True)


def _pick_partners(instance: Instance) -> list[Member]:
    members = instance.views.members
    own = instance.data_centre
    near = [one for one in members.others() if one.data_centre == own]
    far = [one for one in members.others() if one.data_centre != own]
    partners = [instance.random.choice(group) for group in (near, far) if group]
    gone = members.gone()
    if gone and instance.random.random() < _GONE_PROBE_CHANCE:
        partners.append(instance.random.choice(gone))
    return partners


def _note_silence(instance: Instance, member: Member) -> None:
    suspected = instance.views.members.suspect(member.identity.name)
    if suspected is not None:
        _audit_member(instance, suspected)


def _audit_member(instance: Instance, member: Member) -> None:
    instance.audit.record(
        Event.MEMBER,
        member.identity.name,
        f'{member.liveness.name.lower()}, '
        f'incarnation {member.identity.incarnation}',
    )


def _take_strike(instance: Instance, strike: pb.Strike) -> None:
    fingerprint = strike.fingerprint
    if instance.books.quarantine.record_crash(fingerprint, strike.upstream):
        instance.audit.record(Event.QUARANTINED, fingerprint, 'told by a peer')


def _own_summaries(instance: Instance) -> list[Summary]:
    now_ms = to_milliseconds(instance.clock.now())
    table = instance.views.upstreams
    summaries = [
        table.summarize(instance.data_centre, service, upstreams, now_ms)
        for service, upstreams in _local_upstreams(instance)
    ]
    return [summary for summary in summaries if summary is not None]


def _local_upstreams(
    instance: Instance,
) -> Iterator[_ServiceUpstreams]:
    catalogue = instance.views.rollout.catalogue
    places = catalogue.local_upstreams if catalogue else {}
    for (data_centre, service), upstreams in places.items():
        if data_centre == instance.data_centre:
            yield service, upstreams


def _local_reports(instance: Instance) -> list[pb.UpstreamRecord]:
    names = [
        one.name
        for _, upstreams in _local_upstreams(instance)
        for one in upstreams
    ]
    news = instance.views.upstreams.updates(names, _MAX_REPORTS)
    return [encode_report(report) for report in news]


def _compare_configuration(instance: Instance, gossip: pb.Gossip) -> None:
    mark = gossip.configuration
    rollout = instance.views.rollout
    if mark.version == rollout.version and mark.digest == rollout.digest:
        rollout.confirm(mark.version)
        return
    is_newer = mark.version > rollout.version
    conflicts = mark.version == rollout.version and mark.digest > rollout.digest
    sender = instance.views.members.find(gossip.sender.name)
    if sender is not None and (is_newer or conflicts):
        instance.nursery.start_soon(pull_configuration, instance, sender)
