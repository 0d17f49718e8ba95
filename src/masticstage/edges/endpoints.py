"""Auxiliary endpoints: readiness, discovery of entry instances, metrics."""

from datetime import timedelta
from http import HTTPStatus
from itertools import islice
from typing import Final

from masticstage.edges.gateway import Gateway
from masticstage.edges.http_server import Reply
from masticstage.forwarding.entries import CallerLocation, nearest_entries
from masticstage.forwarding.wire import RawRequest
from masticstage.membership import Member

#: How long a draining instance may still be listed as accepting. It accepts
#: requests for three seconds, and callers use a list for one.
_STILL_ACCEPTING: Final = timedelta(seconds=1.8)
#: How long a draining instance may still be listed as running: the grace period
#: of 8 s less the second for which callers use a list.
_STILL_RUNNING: Final = timedelta(seconds=7)
#: Teams whose limits have gauges of their own.
_MAX_TEAMS: Final = 64
_TEXT: Final = ((b'content-type', b'text/plain; version=0.0.4'),)


async def answer_readiness(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    """Answers a readiness probe of the platform."""
    status = HTTPStatus.NOT_FOUND
    if gateway.wire.is_readiness_query(raw.target):
        is_ready = gateway.is_ready
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
    await reply.send_complete(status, (), status.phrase.encode())


async def answer_entries(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    """Answers a caller's query for the entry instances nearest to it."""
    query = gateway.wire.read_entry_query(raw.target)
    if query is None:
        await reply.send_complete(HTTPStatus.NOT_FOUND, (), b'')
        return
    members = gateway.views.members
    table = gateway.views.fleet.table
    homes = table.homes_of(query.host) if table else ()
    accepting, refusing = _draining_members(gateway)
    addresses = nearest_entries(
        [members.own, *members.others()],
        accepting,
        CallerLocation(query.data_centre, query.region, homes),
        refusing,
    )
    answer = gateway.wire.write_entries(addresses)
    headers = ((b'content-type', answer.media_type.encode()),)
    await reply.send_complete(HTTPStatus.OK, headers, answer.body)


def _draining_members(gateway: Gateway) -> tuple[list[Member], list[Member]]:
    """Returns draining instances that accept requests, and those that refuse.

    This instance is among them while it drains.
    """
    members = gateway.views.members
    accepting = list(members.recently_leaving(_STILL_ACCEPTING))
    running = members.recently_leaving(_STILL_RUNNING)
    refusing = [member for member in running if member not in accepting]
    drain_started_at = gateway.activity.drain_started_at
    if drain_started_at is not None:
        is_accepting = (
            gateway.clock.elapsed() - drain_started_at < _STILL_ACCEPTING
        )
        (accepting if is_accepting else refusing).append(members.own)
    return accepting, refusing


async def answer_metrics(
    gateway: Gateway,
    _raw: RawRequest,
    reply: Reply,
) -> None:
    """Answers with all metrics in the text format of Prometheus."""
    set_gauge = gateway.metrics.set_gauge
    views = gateway.views
    table = views.fleet.table
    set_gauge('open_requests', gateway.activity.open_requests)
    set_gauge('published_revision', views.records.revision)
    set_gauge('published_era', views.records.era)
    set_gauge('configuration_version', table.version if table else 0)
    set_gauge('platform_in_trouble', views.outage.is_ongoing)
    set_gauge('paced_upstreams', views.chooser.pacer.count)
    set_gauge('live_instances', gateway.live_count())
    set_gauge(
        'upstream_connections_opened', gateway.connections.upstreams.opened
    )
    for service in table.services if table else ():
        set_gauge(
            f'repeats_left.{service}', views.retry_budget.remaining(service)
        )
    _set_team_gauges(gateway)
    await reply.send_complete(HTTPStatus.OK, _TEXT, gateway.metrics.render())


def _set_team_gauges(gateway: Gateway) -> None:
    """Sets what this instance knows as the keeper of teams' limits."""
    levels = gateway.quotas.keeper.levels()
    for name, (level, asked, granted) in islice(levels.items(), _MAX_TEAMS):
        gateway.metrics.set_gauge(f'team_level.{name}', level)
        gateway.metrics.set_gauge(f'team_asked_per_s.{name}', asked)
        gateway.metrics.set_gauge(f'team_granted_per_s.{name}', granted)
