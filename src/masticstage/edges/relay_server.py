"""Serves requests that instances of other regions relay."""

from datetime import timedelta
from functools import partial
from http import HTTPStatus
from typing import Final

import trio

from masticstage import peer_pb2 as pb
from masticstage.edges.dispatch import (
    EVIDENCE_HEADER,
    UPSTREAM_HEADER,
    count_in_flight,
    dispatch,
)
from masticstage.edges.dispatch_outcome import DispatchOutcome, RoutedRequest
from masticstage.edges.gateway import Gateway
from masticstage.edges.health_checks import update_upstream_health
from masticstage.edges.http_server import Reply
from masticstage.edges.messages import decode_relay_request, decode_relay_route
from masticstage.edges.origins.software import software_header
from masticstage.edges.streaming import IdlePolicy, forward_stream, is_reachable
from masticstage.edges.team_keys import count_team, name_relayed_team
from masticstage.edges.warmups.confirmations import choose_confirmed
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.crashes.causes import possible_causes
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.origins.origin import Origin
from masticstage.forwarding.requests import Headers
from masticstage.forwarding.routes import Route
from masticstage.forwarding.wire import DispatchOptions, RawRequest

#: Idle time of a resumable stream after which its upstream is checked: three
#: times the longest pause that the routes of users count as on time.
_IDLE_TIMEOUT_S: Final = 1.2
_MS: Final = timedelta(milliseconds=1)


async def serve_relay(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    """Answers a relayed request with the answer of an upstream."""
    message = pb.RoutedRelay.FromString(raw.body)
    request = gateway.wire.read_request(
        decode_relay_request(message, raw.arrived),
    )
    request, team = name_relayed_team(gateway, request, message.team)
    count_team(gateway, 'team_relayed', team.name if team else '')
    route = decode_relay_route(message)
    fingerprint = request.fingerprint()
    routed = RoutedRequest(
        request,
        route,
        message.service,
        fingerprint,
        possible_causes(request, fingerprint),
        frozenset(message.tried),
        team,
        _origin_of(message),
    )
    gateway.activity.open_requests += 1
    try:
        await reply.stop_if_caller_left()
        await _relay_to_local_upstream(gateway, routed, message, reply)
    except trio.Cancelled:
        gateway.log.record(
            'relay_abandoned',
            request.request_id,
            took_ms=(gateway.clock.elapsed() - raw.arrived) // _MS,
        )
        raise
    finally:
        gateway.activity.open_requests -= 1


def _origin_of(message: pb.RoutedRelay) -> Origin | None:
    """Returns what began the stream of a relayed request, if it goes on."""
    if not message.HasField('software'):
        return None
    return Origin(message.service, message.software)


async def _relay_to_local_upstream(
    gateway: Gateway,
    routed: RoutedRequest,
    message: pb.RoutedRelay,
    reply: Reply,
) -> None:
    has_room = reply.take_room(len(routed.request.body))
    choose = partial(_choose_candidate, gateway, routed, message.upstream)
    choice = await choose_confirmed(gateway, choose) if has_room else None
    if choice is None:
        not_sent = DispatchOutcome(
            Evidence.NOT_SENT,
            message.upstream,
            'no upstream',
        )
        gateway.log.record('relay_refused', routed.request.request_id)
        await _answer_with_evidence(gateway, routed, reply, not_sent)
        return
    if gateway.views.chooser.is_cold(choice.candidate.known_upstream):
        gateway.views.chooser.record_cold_dispatch(choice)
    with count_in_flight(choice):
        await _dispatch_and_answer(gateway, routed, choice, message, reply)


def _choose_candidate(
    gateway: Gateway,
    routed: RoutedRequest,
    preferred: str,
) -> Choice | None:
    """Returns an upstream of this region for a relay, None to refuse it."""
    if gateway.pause_detector.is_overdue() or not gateway.accepts_requests():
        return None
    if gateway.views.crash_causes.find_quarantined(routed.causes) is not None:
        return None
    return gateway.views.chooser.choose_local(
        routed.request,
        routed.route,
        preferred,
        routed.tried,
        routed.origin,
    )


async def _dispatch_and_answer(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    message: pb.RoutedRelay,
    reply: Reply,
) -> None:
    route = routed.route
    elapsed = gateway.clock.elapsed() - routed.request.arrived
    options = DispatchOptions(
        choice.upstream,
        route.limit - elapsed,
        route.priority,
        message.last_event_id,
        _fetch_from(message, choice),
    )
    framer = EventFramer(message.last_event_id)
    # The sender has its own timeout, after which it closes the connection. That
    # cancels this relay.
    outcome = await dispatch(
        gateway,
        routed,
        choice,
        options,
        framer,
        route.limit,
        reply,
    )
    try:
        await update_upstream_health(gateway, routed, choice, outcome)
        idle_policy = _idle_policy(gateway, choice, route)
        await _forward_answer(
            gateway, routed, choice, outcome, framer, reply, idle_policy
        )
    finally:
        outcome.close()


def _fetch_from(message: pb.RoutedRelay, choice: Choice) -> str:
    """Returns the address to copy the shared prefix from, empty for none.

    The address in the message applies only to the upstream that the sender
    chose.
    """
    if choice.upstream != message.upstream:
        return choice.fetch_from
    is_own_address = (
        choice.candidate.known_upstream.record.address == message.fetch_from
    )
    return '' if is_own_address else message.fetch_from


async def _forward_answer(
    gateway: Gateway,
    routed: RoutedRequest,
    choice: Choice,
    outcome: DispatchOutcome,
    framer: EventFramer,
    reply: Reply,
    idle_policy: IdlePolicy,
) -> None:
    if outcome.head is None:
        await _answer_with_evidence(gateway, routed, reply, outcome)
        return
    headers = (*outcome.head.headers, *_evidence_headers(outcome))
    if outcome.connection is None:
        await reply.send_complete(outcome.head.status, headers, outcome.body)
        return
    await reply.start(outcome.head.status, headers, outcome.take_body())
    reason = await forward_stream(
        gateway, routed, choice, outcome, framer, reply, idle_policy
    )
    if reason:
        # The connection is closed without the last chunk, so that the sender
        # sees that the stream is incomplete.
        gateway.log.record(
            'relay_broken',
            routed.request.request_id,
            upstream=outcome.upstream,
            reason=reason,
        )
        outcome.close()
        broken = DispatchOutcome(
            Evidence.MAY_HAVE_RUN, outcome.upstream, reason
        )
        await update_upstream_health(gateway, routed, choice, broken)
        return
    await reply.finish()
    outcome.release()


def _idle_policy(gateway: Gateway, choice: Choice, route: Route) -> IdlePolicy:
    """Keeps an idle stream open while its upstream is up.

    The sender of the relay limits the total time.
    """

    async def may_continue() -> bool:
        return await is_reachable(gateway, choice)

    idle_timeout = (
        timedelta(seconds=_IDLE_TIMEOUT_S)
        if route.is_resumable
        else route.limit
    )
    return IdlePolicy(lambda: idle_timeout, may_continue, _ignore_events)


def _ignore_events() -> None:
    """Records no times, since the sender of the relay records them."""


async def _answer_with_evidence(
    gateway: Gateway,
    routed: RoutedRequest,
    reply: Reply,
    outcome: DispatchOutcome,
) -> None:
    """Answers a relay for which there is no answer of an upstream."""
    named = gateway.wire.refusal_headers(routed.request.request_id, None)
    await reply.send_complete(
        HTTPStatus.SERVICE_UNAVAILABLE,
        (*named, *_evidence_headers(outcome)),
        outcome.reason.encode(),
    )


def _evidence_headers(outcome: DispatchOutcome) -> Headers:
    return (
        (EVIDENCE_HEADER, outcome.evidence.value.encode()),
        (UPSTREAM_HEADER, outcome.upstream.encode('latin-1')),
        software_header(outcome.software),
    )
