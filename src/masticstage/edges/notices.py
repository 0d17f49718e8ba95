"""Records and describes what upstreams say of themselves in their answers."""

from datetime import timedelta
from typing import Final

from masticstage.edges.gateway import Gateway
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.published import UpstreamRecord
from masticstage.forwarding.view import FleetView
from masticstage.forwarding.wire import AnswerFacts

_MS: Final = timedelta(milliseconds=1)


def record_notices_of_dispatch(
    gateway: Gateway,
    choice: Choice,
    upstream: str,
    facts: AnswerFacts,
    request_id: str,
) -> None:
    """Records what the upstream that answered a dispatch says of itself.

    For a direct dispatch that is the record that was chosen, since the
    published one may have been replaced meanwhile. A peer that relayed is the
    one that is asked for a rest.
    """
    record: UpstreamRecord | None = choice.candidate.known_upstream.record
    if record is not None and record.name != upstream:
        record = find_record(gateway.views.fleet, upstream)
    if record is None:
        return
    record_leaving(gateway, record, facts, request_id)
    if choice.candidate.via is None:
        record_rest(gateway, record, facts, request_id)


def record_leaving(
    gateway: Gateway,
    record: UpstreamRecord,
    facts: AnswerFacts,
    request_id: str = '',
) -> None:
    """Records that an upstream leaves, if its answer says so."""
    notices = gateway.views.fleet.notices
    if not facts.is_leaving or not notices.record_leaving(record, is_own=True):
        return
    gateway.metrics.count('upstream_leaving')
    log_leaving(gateway, record, 'answer', request_id)


def record_rest(
    gateway: Gateway,
    record: UpstreamRecord,
    facts: AnswerFacts,
    request_id: str = '',
) -> None:
    """Records the rest that an upstream asks for in its answer, if any."""
    notices = gateway.views.fleet.notices
    if not facts.rest or not notices.record_rest(record, facts.rest):
        return
    gateway.metrics.count('upstream_rest')
    gateway.log.record(
        'upstream_rest',
        request_id,
        upstream=record.name,
        started_at_ms=record.started_at_ms,
        rest_ms=facts.rest // _MS,
    )


def log_leaving(
    gateway: Gateway, record: UpstreamRecord, source: str, request_id: str = ''
) -> None:
    """Logs that an upstream leaves; `source` tells who said so."""
    gateway.log.record(
        'upstream_leaving',
        request_id,
        upstream=record.name,
        started_at_ms=record.started_at_ms,
        source=source,
    )


def find_record(fleet: FleetView, name: str) -> UpstreamRecord | None:
    """Returns the published record of an upstream, also of one that leaves."""
    records = (upstream.record for upstream in fleet.all_upstreams())
    return next((record for record in records if record.name == name), None)


def describe_notices(fleet: FleetView, service: str) -> dict[str, str]:
    """Returns what upstreams of a service said, by name, for the log."""
    if fleet.notices.is_empty:
        return {}
    described = {
        record.name: fleet.notices.describe(record)
        for record in _records_of(fleet, service)
    }
    return {name: text for name, text in described.items() if text}


def rests_of(fleet: FleetView, service: str) -> list[timedelta]:
    """Returns the rests of the upstreams of a service that do not leave."""
    return [
        fleet.notices.rest_left(record)
        for record in _records_of(fleet, service)
        if record.data_centre not in fleet.evacuated
        and not fleet.is_leaving(record.name)
    ]


def _records_of(fleet: FleetView, service: str) -> list[UpstreamRecord]:
    records = (upstream.record for upstream in fleet.all_upstreams())
    return [record for record in records if record.service == service]
