"""The peers' edge: exchanges of views, published records, relayed requests."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from google.protobuf.message import DecodeError

from masticstage import peer_pb2 as pb
from masticstage.edges.checks import suspect
from masticstage.edges.dispatch import (
    EVIDENCE,
    RELAY_TARGET,
    UPSTREAM,
    Dispatched,
    Task,
    dispatch,
    occupying,
)
from masticstage.edges.events import Patience, is_reachable, pass_events
from masticstage.edges.exchanges import answer_exchange
from masticstage.edges.gateway import Gateway
from masticstage.edges.listeners import Reply
from masticstage.edges.messages import (
    decode_relay_request,
    decode_relay_route,
    encode_news,
)
from masticstage.exceptions import InvalidRequestError
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.events import EventFramer
from masticstage.forwarding.evidence import Evidence
from masticstage.forwarding.requests import Headers
from masticstage.forwarding.routes import Route
from masticstage.forwarding.wire import DispatchOptions, RawRequest

#: Silence of a resumable stream after which its upstream is checked: three
#: of the pauses that the users' routes call on time.
_SILENCE: Final = timedelta(seconds=1.2)
_MESSAGE: Final = ((b'content-type', b'application/x-protobuf'),)
_BAD: Final = (DecodeError, InvalidRequestError, ValueError)

_Answer = Callable[[Gateway, RawRequest, Reply], Awaitable[None]]


async def serve_peer(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    """Answers one request of another instance."""
    answer = _ANSWERS.get(raw.target)
    if answer is None:
        await reply.whole(HTTPStatus.NOT_FOUND, (), b'')
        return
    try:
        await answer(gateway, raw, reply)
    except _BAD as error:
        gateway.log.record('peer_message_refused', reason=str(error))
        await reply.whole(HTTPStatus.BAD_REQUEST, (), b'')


async def _exchange(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    message = pb.FleetExchange.FromString(raw.body)
    answer = answer_exchange(gateway, message)
    await reply.whole(HTTPStatus.OK, _MESSAGE, answer.SerializeToString())


async def _news(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    known = pb.PublishedNews.FromString(raw.body)
    news = gateway.beliefs.image.updates_since(known.revision)
    is_in_trouble = gateway.beliefs.trouble.is_ongoing
    encoded = encode_news(news, is_in_trouble=is_in_trouble)
    await reply.whole(HTTPStatus.OK, _MESSAGE, encoded)


async def _relay(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    message = pb.RoutedRelay.FromString(raw.body)
    request = gateway.wire.read_request(
        decode_relay_request(message, raw.arrived),
    )
    route = decode_relay_route(message)
    task = Task(
        request,
        route,
        message.service,
        request.fingerprint(),
        frozenset(message.tried),
    )
    gateway.activity.open_requests += 1
    try:
        await _relay_task(gateway, task, message, reply)
    finally:
        gateway.activity.open_requests -= 1


async def _relay_task(
    gateway: Gateway,
    task: Task,
    message: pb.RoutedRelay,
    reply: Reply,
) -> None:
    choice = _choose(gateway, task, message.upstream)
    if choice is None:
        unsent = Dispatched(Evidence.NOT_SENT, message.upstream, 'no upstream')
        gateway.log.record('relay_refused', task.request.request_id)
        await _answer_unrun(reply, unsent)
        return
    if gateway.beliefs.chooser.is_cold(choice.candidate.known):
        gateway.beliefs.chooser.record_cold_dispatch(choice)
    with occupying(choice):
        await _relay_to(gateway, task, choice, message, reply)


def _choose(gateway: Gateway, task: Task, preferred: str) -> Choice | None:
    is_current = not gateway.pause.is_overdue()
    is_wanted = not gateway.beliefs.quarantine.contains(task.fingerprint)
    if not is_current or not is_wanted:
        return None
    return gateway.beliefs.chooser.choose_local(
        task.request,
        task.route,
        preferred,
        task.tried,
    )


async def _relay_to(
    gateway: Gateway,
    task: Task,
    choice: Choice,
    message: pb.RoutedRelay,
    reply: Reply,
) -> None:
    route = task.route
    passed = gateway.clock.elapsed() - task.request.arrived
    order = DispatchOptions(
        choice.upstream,
        route.limit - passed,
        route.priority,
        message.last_event_id,
        _fetch_from(message, choice),
    )
    framer = EventFramer(message.last_event_id)
    # The sender bounds the wait; it ends this relay by closing.
    ended = await dispatch(gateway, task, choice, order, framer, route.limit)
    suspect(gateway, task, choice, ended)
    try:
        patience = _patience(gateway, choice, route)
        await _pass_answer(gateway, ended, framer, reply, patience)
    finally:
        ended.close()


def _fetch_from(message: pb.RoutedRelay, choice: Choice) -> str:
    """Returns the source of shared parts: the sender's for its own choice."""
    if choice.upstream != message.upstream:
        return choice.fetch_from
    is_source = choice.candidate.known.record.address == message.fetch_from
    return '' if is_source else message.fetch_from


async def _pass_answer(
    gateway: Gateway,
    ended: Dispatched,
    framer: EventFramer,
    reply: Reply,
    patience: Patience,
) -> None:
    if ended.head is None:
        await _answer_unrun(reply, ended)
        return
    headers = (*ended.head.headers, *_marks(ended))
    if ended.connection is None:
        await reply.whole(ended.head.status, headers, ended.body)
        return
    await reply.start(ended.head.status, headers, ended.body)
    reason = await pass_events(ended, framer, reply, patience)
    if reason:
        # The sender sees the relay's connection close without the end.
        gateway.log.record(
            'relay_broken',
            upstream=ended.upstream,
            reason=reason,
        )
        return
    await reply.finish()
    ended.release()


def _patience(gateway: Gateway, choice: Choice, route: Route) -> Patience:
    """Waits as long as the upstream lives; the sender bounds the whole."""

    async def goes_on() -> bool:
        return await is_reachable(gateway, choice)

    bound = _SILENCE if route.is_resumable else route.limit
    return Patience(lambda: bound, goes_on, _note_nothing)


def _note_nothing() -> None:
    """Leaves the times of events to the sender, who knows the caller's."""


async def _answer_unrun(reply: Reply, ended: Dispatched) -> None:
    await reply.whole(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _marks(ended),
        ended.reason.encode(),
    )


def _marks(ended: Dispatched) -> Headers:
    return (
        (EVIDENCE, ended.evidence.value.encode()),
        (UPSTREAM, ended.upstream.encode('latin-1')),
    )


_ANSWERS: Final = MappingProxyType[bytes, _Answer](
    {
        b'/exchange': _exchange,
        b'/news': _news,
        RELAY_TARGET: _relay,
    }
)
