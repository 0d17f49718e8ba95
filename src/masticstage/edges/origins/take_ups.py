"""Finds what began a stream that a caller takes up again."""

from http import HTTPStatus
from typing import Final

import attrs

from masticstage.edges.dispatch_outcome import RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.origins.questions import ask_peers, find_known
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
    origin, source = find_known(gateway, request.resumes, routed.service), 'own'
    if origin is None:
        origin = await ask_peers(gateway, request.resumes, routed.service)
        source = 'peer'
    _log_take_up(gateway, routed, origin, source)
    if origin is None or origin.service not in routed.route.services:
        return Refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _MOVED if origin else _UNKNOWN_ORIGIN,
            request.allowance,
            routed.team_name,
        )
    return attrs.evolve(routed, origin=origin, service=origin.service)


def _log_take_up(
    gateway: Gateway,
    routed: RoutedRequest,
    origin: Origin | None,
    source: str,
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
        source=source if origin else '',
    )
