"""Finds what began a stream that a caller takes up again."""

from http import HTTPStatus
from typing import Final

import attrs

from masticstage.edges.dispatch_outcome import RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.origins.questions import find_origin_of
from masticstage.edges.refusals import Refusal
from masticstage.forwarding.origins.origin import Origin

_UNKNOWN_ORIGIN: Final = 'it is unknown which software began the stream'
_MOVED: Final = 'the service that began the stream is not on the route'


async def find_origin(
    gateway: Gateway, routed: RoutedRequest
) -> RoutedRequest | Refusal:
    """Returns the request with the origin of its stream.

    A stream whose origin is unknown cannot go on, whenever the caller comes
    back, so the refusal names the whole time that it waits.
    """
    request = routed.request
    is_take_up = routed.route.is_resumable and bool(request.last_event_id)
    if not routed.is_stream or not is_take_up:
        return routed
    # Shares of a route choose by the request that began the stream.
    service = routed.route.service_for(request.resumes)
    origin = await find_origin_of(gateway, request.resumes, service)
    _log_take_up(gateway, routed, origin)
    if origin is None or origin.software is None:
        return _refuse(routed, _UNKNOWN_ORIGIN)
    if origin.service not in routed.route.services:
        return _refuse(routed, _MOVED)
    return attrs.evolve(routed, origin=origin, service=origin.service)


def _refuse(routed: RoutedRequest, reason: str) -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        reason,
        routed.request.allowance,
        routed.team_name,
    )


def _log_take_up(
    gateway: Gateway, routed: RoutedRequest, origin: Origin | None
) -> None:
    """Logs what is known of the origin, and counts it."""
    gateway.metrics.count('take_ups' if origin else 'take_ups_unknown')
    gateway.log.record(
        'stream_taken_up',
        routed.request.request_id,
        resumes=routed.request.resumes,
        last_event=routed.request.last_event_id,
        service=origin.service if origin else '',
        software=origin.software if origin else None,
    )
