"""Gossip: periodic exchange of views with other instances.

Each period an instance exchanges recent changes with one random instance of
its own data centre and one of another data centre.  After the adoption of a
configuration or a crash of an upstream it exchanges views with several
instances at once.  Exchanges double as heartbeats: an instance that does not
answer becomes suspect.
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

#: Changed member records sent in one exchange.
_MAX_CHANGES: Final = 16
#: Load reports sent in one exchange: leaving upstreams, then the most recent.
_MAX_REPORTS: Final = 16
#: Instances to which a change is announced at once; gossip reaches the rest.
_ANNOUNCE_FANOUT: Final = 4
_MS_PER_S: Final = 1000
#: Probability, each period, of an exchange with an instance that is marked as
#: gone, so that its return is noticed.
_GONE_EXCHANGE_PROBABILITY: Final = 0.2


#: Name of a service, and its upstreams.
_ServiceUpstreams = tuple[str, tuple[Upstream, ...]]


async def run_gossip(instance: Instance) -> None:
    """Exchanges views every period until it is cancelled."""
    period_s = instance.settings.timing.gossip_ms / _MS_PER_S
    await _join(instance)
    while True:
        await trio.sleep(period_s)
        for gone in instance.views.members.expire():
            _record_member_change(instance, gone)
        instance.local_state.owned_tickets.discard_expired()
        instance.local_state.witnessed_tickets.discard_expired()
        for member in _pick_partners(instance):
            instance.nursery.start_soon(exchange_with, instance, member)


async def exchange_with(
    instance: Instance,
    member: Member,
    *,
    is_joining: bool = False,
) -> bool:
    """Exchanges views with one instance.

    Returns False when the instance did not answer, which makes it suspect.
    `is_joining` asks it for all its member records.
    """
    gossip = compose_gossip(instance, member, is_joining=is_joining)
    try:
        answer = await instance.connections.peers.exchange(
            member.peer_address,
            gossip,
        )
    except PeerUnreachableError:
        _suspect_member(instance, member)
        return False
    apply_gossip(instance, answer)
    recovered = instance.views.members.confirm_live(answer.sender.name)
    if recovered is not None:
        _record_member_change(instance, recovered)
    return True


def compose_gossip(
    instance: Instance,
    receiver: Member | None,
    *,
    is_joining: bool = False,
    is_full: bool = False,
) -> pb.Gossip:
    """Returns the gossip message for another instance.

    Load reports of upstreams are sent inside a data centre only; other data
    centres receive a summary for each service.  `is_full` sends all member
    records instead of the recent changes.
    """
    views = instance.views
    is_same_data_centre = (
        receiver and receiver.data_centre == instance.data_centre
    )
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
        upstreams=_reports_to_send(instance) if is_same_data_centre else [],
        strikes=[
            pb.Strike(fingerprint=crash.fingerprint, upstream=crash.upstream)
            for crash in instance.local_state.quarantine.crash_reports()
        ],
        summaries=[
            encode_summary(summary) for summary in _service_summaries(instance)
        ],
        is_joining=is_joining,
    )


def apply_gossip(instance: Instance, gossip: pb.Gossip) -> None:
    """Merges a message from another instance into the views of this one."""
    for member in instance.views.members.merge(
        decode_member(record) for record in gossip.members
    ):
        _record_member_change(instance, member)
    for name in instance.views.upstreams.merge(
        decode_report(record) for record in gossip.upstreams
    ):
        instance.audit.record(
            Event.UPSTREAM_LEAVING, name, 'reported by a peer'
        )
    for strike in gossip.strikes:
        _apply_crash_report(instance, strike)
    instance.views.summaries.merge(
        decode_summary(summary) for summary in gossip.summaries
    )
    _reconcile_configuration(instance, gossip)


async def offer_configuration(
    instance: Instance,
    offer: Offer,
    source: str,
) -> Decision:
    """Offers a configuration to the rollout; announces it when adopted.

    `source` names its origin in the audit trail.
    """
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
        instance.local_state.quarantine.release(released)
        instance.nursery.start_soon(announce_changes, instance)
    return decision


async def pull_configuration(instance: Instance, member: Member) -> None:
    """Fetches the configuration of an instance and offers it to the rollout.

    A document of the version in force is fetched as well, since it may differ
    from the document that this instance holds.
    """
    try:
        reply = await instance.connections.peers.fetch_configuration(
            member.peer_address,
            instance.configuration_version - 1,
        )
    except PeerUnreachableError:
        return
    if not reply.value_json:
        return
    offer = Offer(reply.version, json.loads(reply.value_json))
    await offer_configuration(instance, offer, member.identity.name)


async def announce_changes(instance: Instance) -> None:
    """Exchanges views with a few live instances and waits for the answers."""
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
    """Returns a random local and remote member, and sometimes a gone one."""
    members = instance.views.members
    own = instance.data_centre
    local = [peer for peer in members.others() if peer.data_centre == own]
    remote = [peer for peer in members.others() if peer.data_centre != own]
    partners = [
        instance.random.choice(group) for group in (local, remote) if group
    ]
    gone = members.gone()
    if gone and instance.random.random() < _GONE_EXCHANGE_PROBABILITY:
        partners.append(instance.random.choice(gone))
    return partners


def _suspect_member(instance: Instance, member: Member) -> None:
    suspected = instance.views.members.suspect(member.identity.name)
    if suspected is not None:
        _record_member_change(instance, suspected)


def _record_member_change(instance: Instance, member: Member) -> None:
    instance.audit.record(
        Event.MEMBER,
        member.identity.name,
        f'{member.liveness.name.lower()}, '
        f'incarnation {member.identity.incarnation}',
    )


def _apply_crash_report(instance: Instance, strike: pb.Strike) -> None:
    fingerprint = strike.fingerprint
    if instance.local_state.quarantine.record_crash(
        fingerprint, strike.upstream
    ):
        instance.audit.record(
            Event.QUARANTINED, fingerprint, 'reported by a peer'
        )


def _service_summaries(instance: Instance) -> list[Summary]:
    now_ms = to_milliseconds(instance.clock.now())
    table = instance.views.upstreams
    summaries = [
        table.summarize(instance.data_centre, service, upstreams, now_ms)
        for service, upstreams in _local_services(instance)
    ]
    return [summary for summary in summaries if summary is not None]


def _local_services(
    instance: Instance,
) -> Iterator[_ServiceUpstreams]:
    """Yields the services of this data centre with their upstreams."""
    catalogue = instance.views.rollout.catalogue
    by_service = catalogue.local_upstreams if catalogue else {}
    for (data_centre, service), upstreams in by_service.items():
        if data_centre == instance.data_centre:
            yield service, upstreams


def _reports_to_send(instance: Instance) -> list[pb.UpstreamRecord]:
    """Returns reports on local upstreams for peers of this data centre."""
    names = [
        upstream.name
        for _, upstreams in _local_services(instance)
        for upstream in upstreams
    ]
    reports = instance.views.upstreams.updates(names, _MAX_REPORTS)
    return [encode_report(report) for report in reports]


def _reconcile_configuration(instance: Instance, gossip: pb.Gossip) -> None:
    """Confirms the configuration in force, or fetches one that supersedes it.

    The higher version supersedes; of an equal version, the greater digest.
    """
    mark = gossip.configuration
    rollout = instance.views.rollout
    if mark.version == rollout.version and mark.digest == rollout.digest:
        rollout.confirm(mark.version)
        return
    is_newer = mark.version > rollout.version
    has_greater_digest = (
        mark.version == rollout.version and mark.digest > rollout.digest
    )
    sender = instance.views.members.find(gossip.sender.name)
    if sender is not None and (is_newer or has_greater_digest):
        instance.nursery.start_soon(pull_configuration, instance, sender)
