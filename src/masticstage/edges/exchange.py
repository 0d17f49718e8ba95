"""The message in which two instances tell each other their views."""

from collections.abc import Mapping
from typing import Final

from masticstage import peer_pb2 as pb
from masticstage.edges.crash_evidence import record_quarantined
from masticstage.edges.gateway import Gateway
from masticstage.edges.lost_records import has_lost
from masticstage.edges.messages import (
    decode_cause,
    decode_load,
    decode_prefixes,
    encode_cause,
    encode_load,
    encode_prefix,
    hash_name,
    pack_loads,
    unpack_loads,
)
from masticstage.edges.notices import find_record, log_leaving
from masticstage.edges.warmups.findings import encode_news, learn_news
from masticstage.forwarding.loads import SharedLoad
from masticstage.member_messages import decode_member, encode_member
from masticstage.membership import Liveness, Member

#: Member records passed on in one message.
_MAX_CHANGES: Final = 16


def compose_message(
    gateway: Gateway,
    region: str,
    *,
    is_full: bool = False,
    is_packed: bool = False,
) -> pb.FleetExchange:
    """Returns this instance's view for an instance of a region.

    Instances of the same region get only the loads of this instance, and add up
    those of all.  Instances of another region do not ask every instance here,
    so they get the sums over this region.  `is_full` includes all members,
    `is_packed` makes the loads smaller, which older programs cannot read.
    """
    views = gateway.views
    is_own_region = region == gateway.region
    own = views.members.own.identity
    members = (
        views.members.all_records()
        if is_full
        else views.members.changes(_MAX_CHANGES)
    )
    message = pb.FleetExchange(
        sender=pb.Incarnation(name=own.name, number=own.incarnation),
        members=[encode_member(member) for member in members],
        published_revision=views.records.revision,
        published_era=views.records.era,
        has_lost_records=has_lost(gateway),
        summed_region='' if is_own_region else gateway.region,
        crash_causes=map(encode_cause, views.crash_causes.reports()),
    )
    message.leaving.extend(
        pb.LeavingUpstream(
            name=report.upstream, started_at_ms=report.started_at_ms
        )
        for report in views.fleet.notices.reports()
    )
    if is_own_region:
        message.news.extend(map(encode_news, views.fleet.news.reports()))
    loads = _recent_loads(gateway, is_own_region=is_own_region)
    if is_packed:
        message.packed_loads.CopyFrom(pack_loads(loads))
    else:
        message.loads.extend(encode_load(load) for load in loads)
    message.prefixes.extend(
        encode_prefix(report)
        for report in views.prefix_reports.next_batch(
            is_own_region=is_own_region
        )
    )
    return message


def apply_message(gateway: Gateway, message: pb.FleetExchange) -> None:
    """Merges the sender's view into the own one; logs changed members."""
    views = gateway.views
    gateway.gossip.peer_positions[message.sender.name] = (
        message.published_era,
        message.published_revision,
    )
    for member in views.members.merge(
        decode_member(record) for record in message.members
    ):
        log_liveness(gateway, member)
    upstreams = views.loads.upstream_names()
    names = dict(zip(map(hash_name, upstreams), upstreams, strict=True))
    for report in views.prefix_reports.learn(
        decode_prefixes(message.prefixes, names)
    ):
        views.loads.state(report.upstream).cache.record_parts(report.parts)
    loads = _decode_loads(message, names)
    if message.summed_region:
        views.loads.replace_region_loads(message.summed_region, loads)
    else:
        views.loads.replace_peer_loads(message.sender.name, loads)
    _learn_leaving(gateway, message)
    learn_news(gateway, message.news, message.sender.name)
    record_quarantined(
        gateway,
        views.crash_causes.learn(map(decode_cause, message.crash_causes)),
        message.sender.name,
    )


def answer_message(
    gateway: Gateway,
    message: pb.FleetExchange,
) -> pb.FleetExchange:
    """Applies a message of another instance; returns the answer to it.

    The answer to a question, which came in a datagram, has packed loads.
    """
    apply_message(gateway, message)
    sender = gateway.views.members.find(message.sender.name)
    region = sender.region if sender else gateway.region
    answer = compose_message(
        gateway,
        region,
        is_full=message.is_joining,
        is_packed=bool(message.question),
    )
    answer.answer_to = message.question
    return answer


def log_liveness(gateway: Gateway, member: Member | None) -> None:
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


def _learn_leaving(gateway: Gateway, message: pb.FleetExchange) -> None:
    """Takes the sender's word for upstreams that leave, as a hint."""
    fleet = gateway.views.fleet
    for report in message.leaving:
        record = find_record(fleet, report.name)
        if record is None or record.started_at_ms != report.started_at_ms:
            continue
        if fleet.notices.record_leaving(record, is_own=False):
            log_leaving(gateway, record, f'peer {message.sender.name}')


def _decode_loads(
    message: pb.FleetExchange,
    names: Mapping[int, str],
) -> tuple[SharedLoad, ...]:
    if not message.HasField('packed_loads'):
        return tuple(decode_load(record) for record in message.loads)
    return unpack_loads(message.packed_loads, names)


def _recent_loads(
    gateway: Gateway,
    *,
    is_own_region: bool,
) -> tuple[SharedLoad, ...]:
    """Returns the loads for a message, as of at most a moment ago."""
    gossip, now_s = gateway.gossip, gateway.elapsed_s()
    recent = gossip.recent_loads(now_s, is_own_region=is_own_region)
    if recent is not None:
        return recent
    table = gateway.views.loads
    loads = table.own_loads() if is_own_region else table.region_loads()
    gossip.keep_loads(now_s, loads, is_own_region=is_own_region)
    return loads
