"""Asks upstreams whether they are cold while the platform does not answer.

Their records are out of date then.  Each upstream is asked by one instance of
its region, which tells the others.
"""

from typing import Final

from masticstage.edges.gateway import Gateway
from masticstage.edges.health_checks import ask_health
from masticstage.forwarding.view import KnownUpstream
from masticstage.forwarding.warmups.senders import chosen_sender

#: Seconds between two checks of an upstream. What it gets in that time at full
#: rate should be less than what a cold one may get in a second.
_INTERVAL_S: Final = 0.4


def start_outage_checks(gateway: Gateway) -> None:
    """Starts the checks that are due, if the platform does not answer."""
    if not gateway.views.outage.is_ongoing:
        return
    members = gateway.views.members
    names = [gateway.name]
    names.extend(
        member.identity.name for member in members.live_in_place(gateway.region)
    )
    for upstream in gateway.views.fleet.all_upstreams():
        if _is_due(gateway, upstream) and gateway.name == chosen_sender(
            upstream.record.name, names
        ):
            gateway.spawn(_check, gateway, upstream)


def _is_due(gateway: Gateway, upstream: KnownUpstream) -> bool:
    record, fleet = upstream.record, gateway.views.fleet
    service_config = fleet.service_config(record.service)
    has_limit = service_config is not None and bool(service_config.cold_rate)
    if not has_limit or record.region != gateway.region:
        return False
    state = gateway.views.loads.state(record.name, record.started_at_ms)
    if state.health.is_suspected or fleet.notices.rest_left(record):
        return False
    since_question = fleet.doubts.since_question(record.name)
    return since_question.total_seconds() >= _INTERVAL_S


async def _check(gateway: Gateway, upstream: KnownUpstream) -> None:
    """Checks an upstream; one that fails is not suspected for that."""
    gateway.views.fleet.doubts.record_question(upstream.record.name)
    await ask_health(gateway, upstream)
