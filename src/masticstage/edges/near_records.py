"""Lets peers of the own region provide missing records first.

Bytes between regions have a price, and all instances of a region need the same
records.
"""

from typing import Final

import trio

from masticstage.edges.gateway import Gateway

#: Time for which an instance that lacks records leaves it to near peers to
#: provide them.
_NEAR_FIRST_S: Final = 0.5


async def wait_for_near_peers(gateway: Gateway, peer: str) -> bool:
    """Waits before records are fetched from a peer of another region.

    Returns whether to fetch then; False if another task is waiting already.
    There is no wait for a near peer, nor without records or near peers.
    """
    state, members = gateway.gossip, gateway.views.members
    sender = members.find(peer)
    is_far = sender is not None and sender.region != gateway.region
    if not is_far or not gateway.views.records.revision:
        return True
    if not members.live_in_place(gateway.region):
        return True
    if state.is_waiting_for_near:
        return False
    state.is_waiting_for_near = True
    try:
        await trio.sleep(_NEAR_FIRST_S)
    finally:
        state.is_waiting_for_near = False
    return True
