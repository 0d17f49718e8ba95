"""Sends notes of origins to instances that can answer after a loss.

One of the own region gets them, and one of another.  That is only needed while
several software versions of a service may be in service.
"""

from collections.abc import Iterable, Iterator
from typing import Final

from masticstage import peer_pb2 as pb
from masticstage.edges.gateway import Gateway
from masticstage.forwarding.origins.known import stream_lifetime
from masticstage.forwarding.origins.notes import OriginNote
from masticstage.forwarding.origins.origin import Origin
from masticstage.forwarding.rendezvous import choose_by_hash
from masticstage.membership import Liveness, Member

#: Notes sent at a time, and in one datagram.
_MAX_NOTES: Final = 512
_NOTES_PER_MESSAGE: Final = 16


def spread_origins(gateway: Gateway) -> None:
    """Sends the notes that others need and do not have."""
    datagrams = gateway.gossip.datagrams
    services = _services_of_several_versions(gateway)
    if datagrams is None or not services:
        return
    holders = list(_holders(gateway))
    if not holders:
        return
    notes = gateway.views.origins.notes.take_unsent(services, _MAX_NOTES)
    for start in range(0, len(notes), _NOTES_PER_MESSAGE):
        end = start + _NOTES_PER_MESSAGE
        batch = notes[start:end]
        encoded = _encode(gateway, batch).SerializeToString()
        for holder in holders:
            datagrams.send(encoded, holder.gossip_address)


def learn_origins(gateway: Gateway, messages: Iterable[pb.OriginNote]) -> None:
    """Keeps the notes of another instance."""
    for message in messages:
        software = message.software if message.HasField('software') else None
        origin = Origin(message.service, software)
        note = OriginNote(message.request_id, origin)
        gateway.views.origins.notes.learn(note)


def drop_old_origins(gateway: Gateway) -> None:
    """Drops notes of ended streams; notes which versions are in service."""
    origins = gateway.views.origins
    origins.notes.drop_older(stream_lifetime(gateway.views.fleet.table))
    for upstream in gateway.views.fleet.all_upstreams():
        origins.history.observe(upstream.record)


def _services_of_several_versions(gateway: Gateway) -> set[str]:
    """Returns the services that may have had several versions lately."""
    table = gateway.views.fleet.table
    lifetime = stream_lifetime(table)
    history = gateway.views.origins.history
    services = table.services if table else ()
    return {
        service
        for service in services
        if history.sole_version(service, lifetime) is None
    }


def _holders(gateway: Gateway) -> Iterator[Member]:
    """Yields an instance of this region and one of another, if there are."""
    takers = [
        member
        for member in gateway.views.members.others()
        if member.liveness is Liveness.LIVE and member.gossip_address
    ]
    for is_near in (True, False):
        by_name = {
            member.identity.name: member
            for member in takers
            if (member.region == gateway.region) is is_near
        }
        if by_name:
            yield by_name[choose_by_hash(gateway.name, by_name)]


def _encode(gateway: Gateway, notes: Iterable[OriginNote]) -> pb.FleetExchange:
    message = pb.FleetExchange(news_from=gateway.name)
    message.origins.extend(
        pb.OriginNote(
            request_id=note.request_id,
            service=note.origin.service,
            software=note.origin.software,
        )
        for note in notes
    )
    return message
