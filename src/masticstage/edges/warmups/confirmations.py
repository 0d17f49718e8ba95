"""Asks an upstream that is in doubt before it gets a request.

The check is shared by all requests that wait for it.  An upstream that fails it
is suspected, one that is cold is limited, so another may be chosen then.
"""

from collections.abc import Callable

import trio

from masticstage.edges.gateway import Gateway
from masticstage.edges.health_checks import is_healthy
from masticstage.edges.warmups.findings import record_doubt
from masticstage.forwarding.candidates import Choice
from masticstage.forwarding.view import KnownUpstream


async def choose_confirmed(
    gateway: Gateway, choose: Callable[[], Choice | None]
) -> Choice | None:
    """Returns the first choice that is not in doubt, None without any.

    Whatever is in doubt is asked, and `choose` is called again.
    """
    while True:
        choice = choose()
        if choice is None or not _is_in_doubt(gateway, choice):
            return choice
        await _ask(gateway, choice.candidate.known_upstream)


def _is_in_doubt(gateway: Gateway, choice: Choice) -> bool:
    """Returns whether to ask the chosen upstream first.

    Peers ask those that they relay to. Without a limit there is no need.
    """
    candidate = choice.candidate
    if candidate.via is not None or not candidate.service_config.cold_rate:
        return False
    address = candidate.known_upstream.record.address
    if gateway.connections.upstreams.has_lost(address):
        record_doubt(gateway, choice.upstream, 'connections ended')
    return gateway.views.fleet.doubts.includes(choice.upstream)


async def _ask(gateway: Gateway, upstream: KnownUpstream) -> None:
    """Waits for a health check, which others may have started."""
    asked = gateway.activity.confirmations
    name = upstream.record.name
    if name not in asked:
        asked[name] = trio.Event()
        gateway.spawn(_check, gateway, upstream, asked[name])
    await asked[name].wait()


async def _check(
    gateway: Gateway, upstream: KnownUpstream, checked: trio.Event
) -> None:
    record = upstream.record
    try:
        is_up = await is_healthy(gateway, upstream)
        if is_up and gateway.views.fleet.doubts.includes(record.name):
            # It rejected the check, so nothing is known of its warm-up.
            state = gateway.views.loads.state(record.name, record.started_at_ms)
            state.health.suspect(gateway.elapsed_s())
    finally:
        gateway.activity.confirmations.pop(record.name)
        checked.set()
