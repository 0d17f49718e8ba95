"""Fetches records at once when others may have later ones."""

from typing import Final

import trio

from masticstage.edges.gateway import Gateway
from masticstage.edges.gossip import fetch_records
from masticstage.edges.records import refresh_records
from masticstage.membership import Liveness, Member

#: Shortest time between the starts of two fetches, however many requests with
#: unknown keys arrive.
_INTERVAL_S: Final = 0.4
#: Longest time that a request waits for a fetch.
_TIMEOUT_S: Final = 0.8
#: Position of an instance without records.
_NO_POSITION: Final = (0, 0)


async def catch_up(gateway: Gateway) -> bool:
    """Fetches later records; returns whether all of them are known.

    Requests that wait for the start of a fetch share it.
    """
    state = gateway.gossip.catch_up
    asked_at_s = gateway.elapsed_s()
    with trio.move_on_after(_TIMEOUT_S):
        async with state.lock:
            if state.started_at_s < asked_at_s:
                await _start_fetch(gateway)
            return state.is_current
    return False


def may_be_behind(gateway: Gateway) -> bool:
    """Returns whether a peer or the platform may have later records."""
    return gateway.views.outage.is_ongoing or bool(_peers_ahead(gateway))


async def _start_fetch(gateway: Gateway) -> None:
    state = gateway.gossip.catch_up
    pause_s = state.started_at_s + _INTERVAL_S - gateway.elapsed_s()
    await trio.sleep(max(0, pause_s))
    state.started_at_s = gateway.elapsed_s()
    state.is_current = False
    state.is_current = await _fetch_later_records(gateway)


async def _fetch_later_records(gateway: Gateway) -> bool:
    """Returns whether all records are known after it."""
    ahead = _peers_ahead(gateway)
    if ahead:
        nearest = min(ahead, key=lambda peer: peer.region != gateway.region)
        name = nearest.identity.name
        if await fetch_records(gateway, nearest.peer_address, name):
            return not may_be_behind(gateway)
    return await refresh_records(gateway)


def _peers_ahead(gateway: Gateway) -> list[Member]:
    """Returns the live instances that have later records."""
    known = gateway.gossip.peer_positions
    own_position = gateway.views.records.position
    return [
        member
        for member in gateway.views.members.others()
        if known.get(member.identity.name, _NO_POSITION) > own_position
        and member.liveness is Liveness.LIVE
    ]
