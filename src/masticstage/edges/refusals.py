"""Finds the route of a caller's request, or the refusal to send instead."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final

import attrs

from masticstage.edges.catch_up import catch_up, may_be_behind
from masticstage.edges.dispatch_outcome import RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_server import Reply
from masticstage.edges.team_keys import count_team, name_team, team_fields
from masticstage.forwarding.crashes.causes import possible_causes
from masticstage.forwarding.requests import CallerRequest
from masticstage.forwarding.routes import Route, RouteTable
from masticstage.forwarding.teams import Team

#: Sent as Retry-After while the instance has no current configuration. Reading
#: it from the platform takes less time.
_NOT_READY_RETRY_AFTER: Final = timedelta(milliseconds=400)
#: Sent as Retry-After by a draining instance: callers can retry almost at once,
#: since they use another instance.
DRAINING_RETRY_AFTER: Final = timedelta(milliseconds=150)
#: Sent as Retry-After while it is unknown whether a key exists. The records are
#: fetched again after this time.
_KEY_RETRY_AFTER: Final = timedelta(milliseconds=500)
#: What a caller has to send, as every refusal with this status states.
_CHALLENGE: Final = ((b'www-authenticate', b'Bearer'),)
_NO_KEY: Final = 'a key is required, as "Authorization: Bearer KEY"'
#: Reason for refusing a request that is expected to crash an upstream.
QUARANTINED: Final = 'crashed upstreams'


@attrs.frozen
class Refusal:
    """An error that the gateway answers itself, without an upstream."""

    status: HTTPStatus
    reason: str
    retry_after: timedelta | None = None
    team_name: str = ''


async def find_route(
    gateway: Gateway,
    request: CallerRequest,
) -> RoutedRequest | Refusal:
    """Returns the request with its route, or the refusal to send.

    A key that is unknown here may be known to others, whose records are fetched
    before the request is refused.
    """
    routed = _find_route(gateway, request)
    if not _is_for_unknown_key(routed, request) or not may_be_behind(gateway):
        return routed
    is_current = await catch_up(gateway)
    routed = _find_route(gateway, request)
    if is_current or not _is_for_unknown_key(routed, request):
        return routed
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'unknown key, and later records cannot be fetched',
        _KEY_RETRY_AFTER,
    )


def _is_for_unknown_key(
    routed: RoutedRequest | Refusal,
    request: CallerRequest,
) -> bool:
    return (
        isinstance(routed, Refusal)
        and routed.status is HTTPStatus.UNAUTHORIZED
        and bool(request.key)
    )


def _find_route(
    gateway: Gateway,
    request: CallerRequest,
) -> RoutedRequest | Refusal:
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
    return _route_by_key(gateway, request, table, route)


def _route_by_key(
    gateway: Gateway,
    request: CallerRequest,
    table: RouteTable,
    route: Route,
) -> RoutedRequest | Refusal:
    if table.teams is None:
        return _route(gateway, request, route, None)
    team = table.teams.find(request.key) if request.key else None
    if team is None and not route.is_public:
        reason = 'unknown key' if request.key else _NO_KEY
        return Refusal(HTTPStatus.UNAUTHORIZED, reason)
    return _route_for_team(gateway, request, table, route, team)


def _route_for_team(
    gateway: Gateway,
    request: CallerRequest,
    table: RouteTable,
    route: Route,
    team: Team | None,
) -> RoutedRequest | Refusal:
    team_name = team.name if team else ''
    count_team(gateway, 'team_requests', team_name)
    effective = table.effective_route(route, team)
    if effective is None:
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f'no region may serve both team {team_name} and route {route.name}',
            request.allowance,
            team_name,
        )
    named = name_team(gateway, request, team)
    return _route(gateway, named, effective, team)


def _route(
    gateway: Gateway,
    request: CallerRequest,
    route: Route,
    team: Team | None,
) -> RoutedRequest | Refusal:
    fingerprint = request.fingerprint()
    causes = possible_causes(request, fingerprint)
    if gateway.views.crash_causes.find_quarantined(causes):
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            QUARANTINED,
            request.allowance,
            team.name if team else '',
        )
    service = route.service_for(request.request_id)
    return RoutedRequest(
        request, route, service, fingerprint, causes, team=team
    )


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
        **team_fields(refusal.team_name),
    )
    event = f'refused_{refusal.status.value}'
    gateway.metrics.count(event)
    count_team(gateway, f'team_{event}', refusal.team_name)
    headers = gateway.wire.refusal_headers(request_id, refusal.retry_after)
    if refusal.status is HTTPStatus.UNAUTHORIZED:
        headers = (*headers, *_CHALLENGE)
    body = f'{refusal.reason}\n'.encode()
    await reply.send_complete(refusal.status.value, headers, body)
