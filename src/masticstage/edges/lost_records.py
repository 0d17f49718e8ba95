"""Passes on what the platform lost when it was restored from a copy.

An instance that starts just then would know only the copy: an older
configuration, and not the upstreams that were added since.
"""

from datetime import timedelta
from typing import Final

from masticstage import peer_pb2 as pb
from masticstage.edges.gateway import Gateway
from masticstage.edges.messages import decode_record, encode_record
from masticstage.edges.notices import find_record
from masticstage.forwarding.published import (
    Evacuation,
    Published,
    UpstreamRecord,
)
from masticstage.forwarding.removals import is_older
from masticstage.forwarding.routes import RouteTable
from masticstage.forwarding.view import FleetView

_MS: Final = timedelta(milliseconds=1)


def has_lost(gateway: Gateway) -> bool:
    """Returns whether this instance knows lost records that are still kept."""
    is_keeping = gateway.views.fleet.removals.kept_for() > timedelta()
    return is_keeping and bool(gateway.views.records.lost_records())


def add_lost(gateway: Gateway, message: pb.PublishedNews) -> None:
    """Adds the lost records that are still kept to a message."""
    if has_lost(gateway):
        lost = gateway.views.records.lost_records()
        message.lost.extend(map(encode_record, lost))
        message.lost_for_ms = gateway.views.fleet.removals.kept_for() // _MS


def apply_lost(
    gateway: Gateway,
    message: pb.PublishedNews,
    source: str,
) -> None:
    """Applies the lost records that a peer knows, once in each era."""
    records = gateway.views.records
    if message.era != records.era or not message.lost:
        return
    gateway.gossip.lost_era = message.era
    keep_until = gateway.clock.elapsed() + message.lost_for_ms * _MS
    for event in map(decode_record, message.lost):
        if event.body is None or records.has_deleted(event.key):
            continue
        with gateway.guard(f'lost record {event.key}'):
            published = gateway.wire.decode_record(event.key, event.body)
            if not _is_missing(gateway.views.fleet, published):
                continue
            change = gateway.views.fleet.apply(event.key, published)
            if not isinstance(published, RouteTable):
                gateway.views.fleet.removals.keep(event.key, keep_until)
            gateway.log.record(
                'lost_record_learnt',
                key=event.key,
                change=change,
                source=source,
            )


def _is_missing(fleet: FleetView, lost: Published) -> bool:
    """Returns whether a lost record is later than what is in use."""
    match lost:
        case RouteTable():
            return fleet.table is None or fleet.table.version < lost.version
        case Evacuation():
            return lost.data_centre not in fleet.evacuated
        case UpstreamRecord():
            known = find_record(fleet, lost.name)
            if known is not None:
                return is_older(known, lost)
            return not fleet.removals.ended.includes(lost)
    return False
