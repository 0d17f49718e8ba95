"""What health checks show about warm-ups, here and at other instances.

An instance that finds out something new tells the others of its region at once,
by one datagram each; gossip repeats it, as datagrams get lost.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import Final

from masticstage import peer_pb2 as pb
from masticstage.clock import milliseconds
from masticstage.edges.gateway import Gateway
from masticstage.edges.notices import find_record
from masticstage.forwarding.published import UpstreamRecord
from masticstage.forwarding.warmups.news import UpstreamNews
from masticstage.membership import Liveness

_MS: Final = timedelta(milliseconds=1)
#: Longest time that a message within a region takes, and waits to be read.
_MAX_TRANSIT_MS: Final = 100


def record_health_answer(
    gateway: Gateway,
    record: UpstreamRecord,
    asked_at: timedelta,
    cold_for: timedelta,
) -> None:
    """Records that an upstream answered a health check, asked `asked_at`."""
    fleet = gateway.views.fleet
    now = gateway.clock.elapsed()
    is_news = fleet.told_warm_ups.is_longer(record.name, cold_for)
    if cold_for:
        _record_warm_up(gateway, record.name, cold_for, 'health check')
    is_news |= fleet.doubts.settle(record.name, now - asked_at)
    if is_news:
        news = UpstreamNews(record.name, now - asked_at, cold_for=cold_for)
        _tell_peers(gateway, record, news)


def record_failure(gateway: Gateway, record: UpstreamRecord) -> None:
    """Records that an upstream fails, so that it is asked before it is used.

    Peers are told, unless one of them has just told it.
    """
    fleet = gateway.views.fleet
    fleet.doubts.add(record.name)
    if not fleet.news.is_failure_known(record.name):
        news = UpstreamNews(record.name, timedelta(), is_failing=True)
        _tell_peers(gateway, record, news)


def record_doubt(gateway: Gateway, upstream: str, source: str) -> None:
    """Records that an upstream has to be asked before its next request."""
    if gateway.views.fleet.doubts.add(upstream):
        _log_doubt(gateway, upstream, source)


def doubt_all(gateway: Gateway, source: str) -> None:
    """Doubts all upstreams, since what is known of them may be out of date."""
    for upstream in gateway.views.fleet.all_upstreams():
        record_doubt(gateway, upstream.record.name, source)


def learn_news(
    gateway: Gateway, reports: Iterable[pb.UpstreamNews], source: str
) -> None:
    """Takes what a peer found out.

    An upstream that fails there is not suspected here, only asked first.
    """
    for report in reports:
        if find_record(gateway.views.fleet, report.name) is None:
            continue
        if report.is_failing:
            _learn_failure(gateway, report, f'peer {source}')
        else:
            _learn_answer(gateway, report, f'peer {source}')


def encode_news(news: UpstreamNews) -> pb.UpstreamNews:
    """Returns the message for news of an upstream."""
    return pb.UpstreamNews(
        name=news.upstream,
        age_ms=news.age // _MS,
        is_failing=news.is_failing,
        cold_ms=news.cold_for // _MS,
    )


def _learn_failure(
    gateway: Gateway, report: pb.UpstreamNews, source: str
) -> None:
    fleet = gateway.views.fleet
    fleet.news.hear_failure(report.name)
    if fleet.doubts.add(report.name, milliseconds(report.age_ms)):
        _log_doubt(gateway, report.name, source)


def _learn_answer(
    gateway: Gateway, report: pb.UpstreamNews, source: str
) -> None:
    fleet = gateway.views.fleet
    # The time on the way must not let an answer settle a later doubt.
    age = milliseconds(report.age_ms) + milliseconds(_MAX_TRANSIT_MS)
    fleet.doubts.settle(report.name, age)
    cold_for = milliseconds(report.cold_ms)
    if fleet.told_warm_ups.is_longer(report.name, cold_for):
        _record_warm_up(gateway, report.name, cold_for, source)


def _record_warm_up(
    gateway: Gateway, upstream: str, cold_for: timedelta, source: str
) -> None:
    """Records that an upstream is cold; logs what was known before."""
    fleet = gateway.views.fleet
    known_left = fleet.told_warm_ups.end_of(upstream) - gateway.clock.elapsed()
    gateway.log.record(
        'upstream_cold',
        upstream=upstream,
        left_ms=cold_for // _MS,
        known_left_ms=max(timedelta(), known_left) // _MS,
        source=source,
    )
    gateway.metrics.count('upstream_cold')
    fleet.record_warm_up(upstream, cold_for)


def _log_doubt(gateway: Gateway, upstream: str, source: str) -> None:
    gateway.metrics.count('upstream_doubted')
    gateway.log.record('upstream_doubted', upstream=upstream, source=source)


def _tell_peers(
    gateway: Gateway, record: UpstreamRecord, news: UpstreamNews
) -> None:
    """Tells the instances of this region, if the upstream has a limit."""
    service_config = gateway.views.fleet.service_config(record.service)
    if service_config is None or not service_config.cold_rate:
        return
    gateway.views.fleet.news.record(news)
    datagrams = gateway.gossip.datagrams
    if datagrams is None:
        return
    message = pb.FleetExchange(news=[encode_news(news)], news_from=gateway.name)
    encoded = message.SerializeToString()
    for member in gateway.views.members.others():
        is_near = member.region == gateway.region
        is_staying = member.liveness is not Liveness.LEAVING
        if is_near and is_staying and member.gossip_address:
            datagrams.send(encoded, member.gossip_address)
