"""Conversion of member records to and from protobuf messages."""

from masticstage import peer_pb2 as pb
from masticstage.membership import Liveness, Member, MemberId


def encode_member(member: Member) -> pb.MemberRecord:
    """Encodes a member record."""
    return pb.MemberRecord(
        member=pb.Incarnation(
            name=member.identity.name,
            number=member.identity.incarnation,
        ),
        data_centre=member.data_centre,
        region=member.region,
        peer_address=member.peer_address,
        caller_address=member.caller_address,
        liveness=pb.Liveness.ValueType(member.liveness.value),
        heartbeat=member.heartbeat,
        gossip_address=member.gossip_address,
        takes_compressed=member.takes_compressed,
    )


def decode_member(record: pb.MemberRecord) -> Member:
    """Decodes a member record."""
    return Member(
        MemberId(record.member.name, record.member.number),
        record.data_centre,
        record.region,
        record.peer_address,
        record.caller_address,
        Liveness(record.liveness),
        record.heartbeat,
        record.gossip_address,
        record.takes_compressed,
    )
