"""Decides whether an answer begins a stream, or may go on with one."""

import attrs

from masticstage.edges.dispatch_outcome import DispatchOutcome
from masticstage.edges.request_context import RequestContext
from masticstage.forwarding.origins.origin import Origin


def accept_answer(context: RequestContext, outcome: DispatchOutcome) -> bool:
    """Returns whether the answer may be forwarded, and notes what it begins.

    What goes on with a stream must have its media type, which a text about an
    error has not, and be of the software version that began it.
    """
    routed = context.routed
    media_type = _media_type(outcome)
    if not context.reply.is_started:
        context.media_type = media_type
    if media_type != context.media_type:
        return False
    if routed.origin is None:
        origin = Origin(routed.service, outcome.software)
        context.routed = attrs.evolve(routed, origin=origin)
    elif not routed.origin.allows(outcome.software):
        context.gateway.metrics.count('other_software')
        return False
    _note_origin(context)
    return True


def _note_origin(context: RequestContext) -> None:
    """Notes the origin of a stream that its caller may take up again.

    The caller names the request that brought the first event, which may have
    been an earlier one of its own.
    """
    routed = context.routed
    if routed.origin is None or not routed.is_stream:
        return
    if routed.route.is_resumable:
        notes, request = context.gateway.views.origins.notes, routed.request
        notes.record(request.request_id, routed.origin)
        if request.last_event_id:
            notes.record_take_up(request.resumes, routed.origin)


def _media_type(outcome: DispatchOutcome) -> bytes:
    headers = dict(outcome.head.headers) if outcome.head else {}
    return headers.get(b'content-type', b'')
