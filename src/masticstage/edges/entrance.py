"""The small edges: readiness, the list of entries, metrics."""

from datetime import timedelta
from http import HTTPStatus
from typing import Final

from masticstage.edges.gateway import Gateway
from masticstage.edges.listeners import Reply
from masticstage.forwarding.entries import CallerPlace, nearest_entries
from masticstage.forwarding.wire import RawRequest
from masticstage.membership import Member

#: Time for which a leaving instance may still be named. It serves for three
#: seconds, and callers use a list for one.
_STILL_SERVING: Final = timedelta(seconds=1.8)
#: Time for which an instance that stops may still run: the grace of 8 s less
#: the time for which callers keep a list.
_STILL_RUNNING: Final = timedelta(seconds=7)
_TEXT: Final = ((b'content-type', b'text/plain; version=0.0.4'),)


async def answer_readiness(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    """Tells the platform whether this instance takes new callers."""
    status = HTTPStatus.NOT_FOUND
    if gateway.wire.is_readiness_query(raw.target):
        is_ready = gateway.is_ready
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
    await reply.whole(status, (), status.phrase.encode())


async def answer_entries(
    gateway: Gateway,
    raw: RawRequest,
    reply: Reply,
) -> None:
    """Tells a caller which instances to use."""
    query = gateway.wire.read_entry_query(raw.target)
    if query is None:
        await reply.whole(HTTPStatus.NOT_FOUND, (), b'')
        return
    members = gateway.beliefs.members
    table = gateway.beliefs.view.table
    homes = table.homes_of(query.host) if table else ()
    leaving, stopping = _stopping(gateway)
    addresses = nearest_entries(
        [members.own, *members.others()],
        leaving,
        CallerPlace(query.data_centre, query.region, homes),
        stopping,
    )
    answer = gateway.wire.write_entries(addresses)
    headers = ((b'content-type', answer.media_type.encode()),)
    await reply.whole(HTTPStatus.OK, headers, answer.body)


def _stopping(gateway: Gateway) -> tuple[list[Member], list[Member]]:
    """Returns instances that stop: those that still serve, and the others."""
    members = gateway.beliefs.members
    serving = list(members.recently_leaving(_STILL_SERVING))
    running = members.recently_leaving(_STILL_RUNNING)
    refusing = [one for one in running if one not in serving]
    drain_at = gateway.activity.drain_at
    if drain_at is not None:
        is_serving = gateway.clock.elapsed() - drain_at < _STILL_SERVING
        (serving if is_serving else refusing).append(members.own)
    return serving, refusing


async def answer_metrics(
    gateway: Gateway,
    _raw: RawRequest,
    reply: Reply,
) -> None:
    """Returns counters and latency percentiles in the text format."""
    show = gateway.metrics.show
    beliefs = gateway.beliefs
    table = beliefs.view.table
    show('open_requests', gateway.activity.open_requests)
    show('published_revision', beliefs.image.revision)
    show('configuration_version', table.version if table else 0)
    show('platform_in_trouble', beliefs.trouble.is_in_trouble)
    show('live_instances', gateway.live_count())
    show('upstream_connections_opened', gateway.links.upstreams.opened)
    for service in table.services if table else ():
        show(f'repeats_left.{service}', beliefs.budget.left(service))
    await reply.whole(HTTPStatus.OK, _TEXT, gateway.metrics.render())
