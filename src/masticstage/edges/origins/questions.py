"""Asks other instances what began a stream, and answers them."""

from collections.abc import Iterable
from typing import Final

import trio

from masticstage import peer_pb2 as pb
from masticstage.edges.gateway import Gateway
from masticstage.edges.gossip import post_message
from masticstage.forwarding.origins.known import stream_lifetime
from masticstage.forwarding.origins.origin import Origin
from masticstage.membership import Liveness, Member

ORIGIN_PATH: Final = b'/origin'
#: Timeouts of questions to instances of this region, and of others.
_NEAR_TIMEOUT_S: Final = 0.15
_FAR_TIMEOUT_S: Final = 0.35


def find_known(
    gateway: Gateway, request_id: str, service: str
) -> Origin | None:
    """Returns what this instance knows of a stream's origin.

    While the platform does not answer, other versions may be in service.
    """
    origins = gateway.views.origins
    if gateway.views.outage.is_ongoing:
        return origins.notes.find(request_id)
    lifetime = stream_lifetime(gateway.views.fleet.table)
    return origins.find(request_id, service, lifetime)


async def ask_peers(
    gateway: Gateway, request_id: str, service: str
) -> Origin | None:
    """Returns what any instance knows, those of this region first."""
    question = pb.OriginQuestion(request_id=request_id, service=service)
    live = [
        member
        for member in gateway.views.members.others()
        if member.liveness is not Liveness.SUSPECT
    ]
    near = [member for member in live if member.region == gateway.region]
    far = [member for member in live if member.region != gateway.region]
    origin = await _ask_all(gateway, near, question, _NEAR_TIMEOUT_S)
    if origin is not None:
        return origin
    return await _ask_all(gateway, far, question, _FAR_TIMEOUT_S)


def answer_origin_question(
    gateway: Gateway, question: pb.OriginQuestion
) -> pb.OriginAnswer:
    """Returns what this instance knows of a stream's origin."""
    origin = find_known(gateway, question.request_id, question.service)
    if origin is None:
        return pb.OriginAnswer()
    return pb.OriginAnswer(service=origin.service, software=origin.software)


async def _ask_all(
    gateway: Gateway,
    members: Iterable[Member],
    question: pb.OriginQuestion,
    timeout_s: float,
) -> Origin | None:
    """Asks instances at the same time; returns the first answer that knows."""
    found: list[Origin] = []
    encoded = question.SerializeToString()

    async def ask(member: Member) -> None:
        body = await post_message(
            gateway, member.peer_address, ORIGIN_PATH, encoded, timeout_s
        )
        answer = pb.OriginAnswer.FromString(body or b'')
        if answer.HasField('software'):
            found.append(Origin(answer.service, answer.software))
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(ask, member)
    return found[0] if found else None
