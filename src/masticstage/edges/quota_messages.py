"""Conversions between messages about limits of teams and internal types."""

from math import isfinite
from typing import Final

from masticstage import peer_pb2 as pb
from masticstage.forwarding.quotas.messages import Ask, Grant

_MS_PER_S: Final = 1000


def encode_ask(ask: Ask) -> pb.QuotaAsk:
    """Returns the message for what is asked for one team."""
    return pb.QuotaAsk(
        team=ask.team,
        needed=ask.needed,
        least=ask.least,
        ahead=ask.ahead,
        least_ahead=ask.least_ahead,
        returned=ask.returned,
    )


def decode_asks(message: pb.QuotaRequest) -> list[Ask]:
    """Returns what is asked for.

    Raises ValueError if an amount is no sensible number.
    """
    return [
        Ask(
            ask.team,
            _read_tokens(ask.needed),
            _read_tokens(ask.least),
            _read_tokens(ask.ahead),
            _read_tokens(ask.least_ahead),
            _read_tokens(ask.returned),
        )
        for ask in message.asks
    ]


def encode_grant(grant: Grant) -> pb.QuotaGrant:
    """Returns the message for what one team gets."""
    return pb.QuotaGrant(
        team=grant.team,
        granted=grant.granted,
        wait_ms=round(grant.wait_s * _MS_PER_S),
        level=grant.level,
        is_declined=grant.is_declined,
        excess=grant.excess,
    )


def decode_grants(message: pb.QuotaReply) -> list[Grant]:
    """Returns what was granted."""
    return [
        Grant(
            grant.team,
            _read_tokens(grant.granted),
            grant.wait_ms / _MS_PER_S,
            grant.level,
            grant.is_declined,
            _read_tokens(grant.excess) or 1,
        )
        for grant in message.grants
    ]


def _read_tokens(tokens: float) -> float:
    if not isfinite(tokens) or tokens < 0:
        raise ValueError('tokens out of range')
    return tokens
