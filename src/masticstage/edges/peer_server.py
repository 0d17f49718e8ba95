"""Serves other instances: gossip, published records, relayed requests."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from google.protobuf.message import DecodeError

from masticstage import peer_pb2 as pb
from masticstage.edges.dispatch import RELAY_PATH
from masticstage.edges.exchange import answer_message
from masticstage.edges.gateway import Gateway
from masticstage.edges.http_server import Reply
from masticstage.edges.lost_records import add_lost
from masticstage.edges.messages import encode_updates
from masticstage.edges.origins.questions import (
    ORIGIN_PATH,
    answer_origin_question,
)
from masticstage.edges.quotas import QUOTA_PATH, answer_quota_request
from masticstage.edges.relay_server import serve_relay
from masticstage.exceptions import InvalidRequestError
from masticstage.forwarding.wire import RawRequest

_PROTOBUF_HEADERS: Final = ((b'content-type', b'application/x-protobuf'),)
_BAD_MESSAGE_ERRORS: Final = (DecodeError, InvalidRequestError, ValueError)

_PeerHandler = Callable[[Gateway, RawRequest, Reply], Awaitable[None]]


async def serve_peer(gateway: Gateway, raw: RawRequest, reply: Reply) -> None:
    """Answers one request of another instance."""
    respond = _PEER_HANDLERS.get(raw.target)
    if respond is None:
        await reply.send_complete(HTTPStatus.NOT_FOUND, (), b'')
        return
    try:
        await respond(gateway, raw, reply)
    except _BAD_MESSAGE_ERRORS as error:
        gateway.log.record('peer_message_refused', reason=str(error))
        await reply.send_complete(HTTPStatus.BAD_REQUEST, (), b'')


async def _handle_gossip(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    message = pb.FleetExchange.FromString(raw.body)
    answer = answer_message(gateway, message)
    await reply.send_complete(
        HTTPStatus.OK,
        _PROTOBUF_HEADERS,
        answer.SerializeToString(),
    )


async def _handle_updates_request(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    request = pb.PublishedNews.FromString(raw.body)
    updates = gateway.views.records.updates_since(request.revision, request.era)
    is_outage = gateway.views.outage.is_ongoing
    message = encode_updates(updates, is_outage=is_outage)
    add_lost(gateway, message)
    encoded = message.SerializeToString()
    await reply.send_complete(HTTPStatus.OK, _PROTOBUF_HEADERS, encoded)


async def _handle_quota_request(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    message = pb.QuotaRequest.FromString(raw.body)
    answer = answer_quota_request(gateway, message)
    await reply.send_complete(
        HTTPStatus.OK, _PROTOBUF_HEADERS, answer.SerializeToString()
    )


async def _handle_origin_question(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    question = pb.OriginQuestion.FromString(raw.body)
    answer = answer_origin_question(gateway, question)
    await reply.send_complete(
        HTTPStatus.OK, _PROTOBUF_HEADERS, answer.SerializeToString()
    )


_PEER_HANDLERS: Final = MappingProxyType[bytes, _PeerHandler](
    {
        b'/exchange': _handle_gossip,
        b'/news': _handle_updates_request,
        QUOTA_PATH: _handle_quota_request,
        ORIGIN_PATH: _handle_origin_question,
        RELAY_PATH: serve_relay,
    }
)
