"""Tests of the news of upstreams that an instance passes on."""

from datetime import timedelta

from masticstage.clock import ManualClock
from masticstage.forwarding.warmups.news import RecentNews, UpstreamNews
from tests.forwarding_builders import SECOND


def _build_news():
    clock = ManualClock()
    clock.advance(10 * SECOND)
    return clock, RecentNews(clock)


def test_news_grows_older_and_warm_ups_shorter():
    clock, news = _build_news()
    news.record(UpstreamNews('u-1', SECOND, cold_for=3 * SECOND))
    clock.advance(SECOND)
    assert list(news.reports()) == [
        UpstreamNews('u-1', 2 * SECOND, cold_for=2 * SECOND)
    ]
    clock.advance(2.5 * SECOND)
    assert next(news.reports()).cold_for == timedelta()
    clock.advance(SECOND)
    assert not list(news.reports())


def test_only_the_latest_news_of_an_upstream_is_passed_on():
    _, news = _build_news()
    news.record(UpstreamNews('u-1', timedelta(), is_failing=True))
    news.record(UpstreamNews('u-1', timedelta()))
    assert list(news.reports()) == [UpstreamNews('u-1', timedelta())]


def test_news_is_bounded():
    _, news = _build_news()
    for number in range(40):
        news.record(UpstreamNews(f'u-{number}', timedelta()))
    names = [report.upstream for report in news.reports()]
    assert names == [f'u-{number}' for number in range(24, 40)]


def test_a_failure_that_a_peer_has_just_told_is_known():
    """Guards against a message of each instance to each other in a crash."""
    clock, news = _build_news()
    assert not news.is_failure_known('u-1')
    news.hear_failure('u-1')
    assert news.is_failure_known('u-1')
    clock.advance(SECOND)
    assert not news.is_failure_known('u-1')
