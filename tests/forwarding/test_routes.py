"""Tests of routes and their lookups."""

from collections import Counter

from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.routes import Share
from tests.forwarding_builders import (
    build_route,
    build_stream_route,
    build_table,
)


def test_the_route_with_the_longest_prefix_is_found():
    short = build_route(name='short', path_prefix='/a/')
    long = build_route(name='long', path_prefix='/a/b/')
    other = build_route(name='other', path_prefix='/a/b/c/', host='x')
    table = build_table(1, short, long, other)

    assert table.find('shop.example', '/a/b/c/d') is long
    assert table.find('shop.example', '/a/c') is short


def test_unknown_host_or_path_has_no_route():
    table = build_table()

    assert table.find('shop.example', '/unknown/') is None
    assert table.find('unknown.example', '/stock/1') is None


def test_a_split_follows_weights_and_is_stable_for_a_request():
    route = build_route(shares=(Share('a', 90), Share('b', 10)))
    chosen = Counter(route.service_for(f'r-{number}') for number in range(2000))

    assert 1700 < chosen['a'] < 1890
    assert chosen['a'] + chosen['b'] == 2000
    assert route.service_for('r-7') == route.service_for('r-7')


def test_only_safe_and_resumable_routes_are_idempotent():
    assert build_route().is_idempotent
    assert build_stream_route().is_idempotent
    assert not build_route(kind=CallKind.UNSAFE).is_idempotent
    assert not build_stream_route(is_resumable=False).is_idempotent


def test_a_route_without_homes_allows_every_region():
    assert build_route().allows('anywhere')
    bound = build_route(homes=frozenset(('north',)))
    assert bound.allows('north')
    assert not bound.allows('south')
