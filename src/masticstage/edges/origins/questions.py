"""Asks other instances what began a stream, and answers them."""

from collections.abc import Sequence
from typing import Final

import trio
from google.protobuf.message import DecodeError

from masticstage import peer_pb2 as pb
from masticstage.edges.gateway import Gateway
from masticstage.edges.gossip import post_message
from masticstage.forwarding.origins.known import (
    Statement,
    conclude,
    stream_lifetime,
)
from masticstage.forwarding.origins.origin import Origin
from masticstage.membership import Member

ORIGIN_PATH: Final = b'/origin'
#: Timeouts of questions to instances of this region, and of others.
_NEAR_TIMEOUT_S: Final = 0.15
_FAR_TIMEOUT_S: Final = 0.35


async def find_origin_of(
    gateway: Gateway, request_id: str, service: str
) -> Origin | None:
    """Returns what began a stream, None if that cannot be told.

    Others are asked too, since one may have a note, or know of a version that
    is not known here yet: instances of this region, then, if none of them
    settles it, those of others.
    """
    own = _state(gateway, request_id, service)
    if own.is_noted:
        return own.origin
    question = pb.OriginQuestion(request_id=request_id, service=service)
    others = gateway.views.members.others()
    near = [member for member in others if member.region == gateway.region]
    far = [member for member in others if member.region != gateway.region]
    statements = await _ask_all(gateway, near, question, _NEAR_TIMEOUT_S)
    origin = conclude([own, *statements]) if statements else None
    if origin is None:
        statements += await _ask_all(gateway, far, question, _FAR_TIMEOUT_S)
        origin = conclude([own, *statements])
    return origin


def answer_origin_question(
    gateway: Gateway, question: pb.OriginQuestion
) -> pb.OriginAnswer:
    """Returns what this instance knows of a stream's origin."""
    statement = _state(gateway, question.request_id, question.service)
    origin = statement.origin
    return pb.OriginAnswer(
        service=origin.service if origin else '',
        software=origin.software if origin else None,
        is_noted=statement.is_noted,
        has_several=statement.has_several,
    )


def _state(gateway: Gateway, request_id: str, service: str) -> Statement:
    """Returns what this instance states.

    While it cannot know of later versions, only notes count.
    """
    origins = gateway.views.origins
    if gateway.views.outage.is_ongoing or gateway.pause_detector.is_overdue():
        noted = origins.notes.find(request_id)
        return Statement(noted, is_noted=noted is not None)
    lifetime = stream_lifetime(gateway.views.fleet.table)
    return origins.state(request_id, service, lifetime)


async def _ask_all(
    gateway: Gateway,
    members: Sequence[Member],
    question: pb.OriginQuestion,
    timeout_s: float,
) -> list[Statement]:
    """Asks instances at the same time; returns what they state.

    Does not wait for the others once one has a note; they are not cancelled,
    since that would close connections that gossip uses as well.
    """
    statements: list[Statement] = []
    waiting = {member.identity.name for member in members}
    is_done = trio.Event()
    encoded = question.SerializeToString()

    async def ask(member: Member) -> None:
        body = await post_message(
            gateway, member.peer_address, ORIGIN_PATH, encoded, timeout_s
        )
        waiting.discard(member.identity.name)
        statement = None if body is None else _decode(body)
        if statement is not None:
            statements.append(statement)
        if not waiting or (statement is not None and statement.is_noted):
            is_done.set()

    for member in members:
        gateway.spawn(ask, member)
    if waiting:
        # Each question has a timeout of its own; this one is for its rest.
        with trio.move_on_after(2 * timeout_s):
            await is_done.wait()
    return statements


def _decode(body: bytes) -> Statement | None:
    """Returns what an instance states, None if it cannot be read."""
    try:
        answer = pb.OriginAnswer.FromString(body)
    except DecodeError:
        return None
    software = answer.software if answer.HasField('software') else None
    origin = Origin(answer.service, software) if answer.service else None
    return Statement(origin, answer.is_noted, answer.has_several)
