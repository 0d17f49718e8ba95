"""Forwarding of requests to other instances."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from datetime import timedelta
from typing import Final

import trio

from masticstage import peer_pb2 as pb
from masticstage.audit import Event
from masticstage.clock import milliseconds
from masticstage.configuration_schema import Kind
from masticstage.exceptions import (
    PeerUnreachableError,
    UnauthenticatedError,
    UnknownServiceError,
)
from masticstage.instance import Instance
from masticstage.membership import Member
from masticstage.requests import Reply, Request
from masticstage.results import unwrap_or_raise
from masticstage.tokens import Session

#: Longest duration of a forwarded model answer.
_STREAM_TIMEOUT: Final = timedelta(hours=1)


async def forward(
    instance: Instance,
    request: Request,
    member: Member,
) -> Reply:
    """Sends a request to an instance and returns its reply.

    Raises `PeerUnreachableError` when no reply begins before the deadline.
    The request may have been served all the same.
    """
    instance.audit.record(
        Event.TRANSFERRED,
        request.request_id,
        _describe_target(request, member),
    )
    chunks = instance.connections.peers.relay(
        member.peer_address,
        encode_request(instance, request),
    )
    remaining = request.deadline - instance.clock.elapsed()
    head = None
    with trio.move_on_after(max(remaining.total_seconds(), 0)):
        head = await anext(chunks, None)
    if head is None:
        raise PeerUnreachableError(member.identity.name)
    headers = tuple((header.name, header.value) for header in head.headers)
    return Reply(
        head.status,
        head.content_type,
        chunks=_body_chunks(head, chunks),
        headers=headers,
    )


async def buffer_reply(reply: Reply) -> Reply:
    """Returns a reply with its complete body in place of chunks."""
    if reply.chunks is None:
        return reply
    body = b''.join([chunk async for chunk in reply.chunks])
    return Reply(
        reply.status,
        reply.content_type,
        body,
        headers=reply.headers,
    )


def encode_request(instance: Instance, request: Request) -> pb.RelayRequest:
    """Returns the message that forwards a request."""
    timeout = request.deadline - instance.clock.elapsed()
    # Kinds without a path are those of model services.
    if not request.kind.path:
        timeout = _STREAM_TIMEOUT
    return pb.RelayRequest(
        request_id=request.request_id,
        path=(*request.path, instance.data_centre),
        team=request.team.name,
        service=request.service,
        kind=request.kind.name,
        method=request.method,
        target=request.target,
        content_type=request.content_type,
        body=request.body,
        ticket=request.ticket,
        session=request.session_token,
        last_index=request.last_index,
        timeout_ms=max(round(timeout / milliseconds(1)), 1),
        configuration_version=instance.configuration_version,
    )


def decode_request(instance: Instance, message: pb.RelayRequest) -> Request:
    """Returns the forwarded request, checked against the configuration.

    Raises `UnauthenticatedError`, `UnknownServiceError` or
    `InvalidTokenError` when its team, service, kind or session is not valid.
    """
    catalogue = instance.catalogue()
    team = catalogue.teams.get(message.team)
    if team is None:
        raise UnauthenticatedError
    kind = catalogue.find_kind(message.service, message.kind)
    if kind is None:
        raise UnknownServiceError(message.service, message.kind)
    return Request(
        message.request_id,
        team,
        message.service,
        kind,
        message.method,
        message.target,
        message.body,
        instance.clock.elapsed() + _request_timeout(message, kind),
        content_type=message.content_type,
        path=tuple(message.path),
        ticket=message.ticket,
        session=_verify_session(instance, message.session),
        session_token=message.session,
        last_index=message.last_index,
        configuration_version=message.configuration_version,
    )


async def write_reply(
    reply: Reply,
    write: Callable[[pb.RelayChunk], Awaitable[None]],
) -> None:
    """Sends a reply to the instance that forwarded the request."""
    headers = [
        pb.Header(name=name, value=header) for name, header in reply.headers
    ]
    head = pb.RelayChunk(
        status=reply.status,
        content_type=reply.content_type,
        headers=headers,
        body=reply.body,
    )
    await write(head)
    if reply.chunks is None:
        return
    async with aclosing(reply.chunks) as chunks:
        async for chunk in chunks:
            await write(pb.RelayChunk(body=chunk))


def _describe_target(request: Request, member: Member) -> str:
    name = member.identity.name
    return f'{name} path {",".join(request.path)}' if request.path else name


async def _body_chunks(
    head: pb.RelayChunk,
    chunks: AsyncGenerator[pb.RelayChunk],
) -> AsyncGenerator[bytes]:
    if head.body:
        yield head.body
    async with aclosing(chunks) as open_chunks:
        async for chunk in open_chunks:
            yield chunk.body


def _request_timeout(message: pb.RelayRequest, kind: Kind) -> timedelta:
    return milliseconds(min(message.timeout_ms, kind.timeout_ms))


def _verify_session(instance: Instance, token: str) -> Session | None:
    if not token:
        return None
    return unwrap_or_raise(instance.signer.verify_session(token))
