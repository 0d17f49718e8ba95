"""Finds the route of a caller's request, or the refusal to send instead."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final

import attrs

from masticstage.edges.dispatch_outcome import RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_server import Reply
from masticstage.forwarding.crash_causes import possible_causes
from masticstage.forwarding.requests import CallerRequest

#: Sent as Retry-After while the instance has no current configuration. Reading
#: it from the platform takes less time.
_NOT_READY_RETRY_AFTER: Final = timedelta(milliseconds=400)
#: Sent as Retry-After by a draining instance: callers can retry almost at once,
#: since they use another instance.
DRAINING_RETRY_AFTER: Final = timedelta(milliseconds=150)
#: Reason for refusing a request that is expected to crash an upstream.
QUARANTINED: Final = 'crashed upstreams'


@attrs.frozen
class Refusal:
    """An error that the gateway answers itself, without an upstream."""

    status: HTTPStatus
    reason: str
    retry_after: timedelta | None = None


def find_route(
    gateway: Gateway,
    request: CallerRequest,
) -> RoutedRequest | Refusal:
    """Returns the request with its route, or the refusal to send."""
    table = gateway.views.fleet.table
    if table is None or gateway.pause_detector.is_overdue():
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'no current configuration',
            _NOT_READY_RETRY_AFTER,
        )
    if not gateway.accepts_requests():
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'stopping',
            DRAINING_RETRY_AFTER,
        )
    route = table.find(request.host, request.path)
    if route is None:
        return Refusal(HTTPStatus.NOT_FOUND, f'no route in {table.version}')
    fingerprint = request.fingerprint()
    causes = possible_causes(request, fingerprint)
    if gateway.views.crash_causes.find_quarantined(causes):
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            QUARANTINED,
            request.allowance,
        )
    service = route.service_for(request.request_id)
    return RoutedRequest(request, route, service, fingerprint, causes)


async def send_refusal(
    gateway: Gateway,
    reply: Reply,
    request_id: str,
    refusal: Refusal,
) -> None:
    """Sends a refusal to the caller; logs and counts it."""
    gateway.log.record(
        'refused',
        request_id,
        status=refusal.status.value,
        reason=refusal.reason,
        revision=gateway.views.records.revision,
    )
    gateway.metrics.count(f'refused_{refusal.status.value}')
    headers = gateway.wire.refusal_headers(request_id, refusal.retry_after)
    body = f'{refusal.reason}\n'.encode()
    await reply.send_complete(refusal.status.value, headers, body)
