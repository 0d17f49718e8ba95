"""Tests of teams and their keys, over real sockets."""

import json
from unittest import mock

import pytest
import trio

from masticstage.clock import SystemClock
from masticstage.edges.http_client import OutgoingRequest, connect
from masticstage.edges.messages import decode_relay_request
from masticstage.edges.records import apply_updates
from masticstage.exceptions import BrokenConnectionError
from masticstage.explain import steps_of
from masticstage.forwarding.record_cache import RecordEvent, RecordUpdates
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.teams import Team
from standins.serving import serve_app
from standins.store import Store, create_app
from tests.edges.deployment import (
    deploy_entry,
    deploy_two_regions,
    run_with_timeout,
)
from tests.forwarding_builders import (
    build_route,
    build_stream_route,
    build_table,
    build_team_table,
)

_KEY = 'key-of-red-0123456789'
_BEARER = (b'authorization', b'Bearer ' + _KEY.encode())
_UNKNOWN = (b'authorization', b'Bearer unknown-0123456789')
_FORGED = (b'x-tenant', b'blue')
_RED = Team('red', 1)
_OPEN = build_route(path_prefix='/open/', is_public=True)


def _team_table(team=_RED, key=_KEY, version=1):
    return build_team_table({key: team}, version, build_route(), _OPEN)


def _received(deployment):
    """Returns the headers that upstreams received, of each request."""
    replicas = deployment.replicas.values()
    return [fields for replica in replicas for fields in replica.requests]


def _teams_received(deployment):
    """Returns the teams that upstreams were told; checks that no key was."""
    received = _received(deployment)
    assert not any('authorization' in fields for fields in received)
    return [fields.get('x-tenant') for fields in received]


async def _serve_store(nursery, gateway):
    """Serves an empty store to a gateway, which then can reach it."""
    app = create_app(Store())
    nursery.start_soon(serve_app, app, gateway.settings.store.address)
    while gateway.views.outage.since_answer.total_seconds() <= 0:
        await trio.sleep(0.05)


def _configuration(key):
    """Returns the published configuration of version 2, with one key."""
    fields = {
        'Version': 2,
        'Routes': [
            {
                'Name': 'look-up',
                'Host': 'shop.example',
                'PathPrefix': '/stock/',
                'Kind': 'safe',
                'TimeoutMs': 1500,
                'Service': 'shop',
            }
        ],
        'Services': [
            {'Name': 'shop', 'HealthPath': '/health', 'MaxConnections': 100}
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 'red', 'ApiKeys': [key]}],
    }
    body = json.dumps(fields).encode()
    return RecordUpdates(
        (RecordEvent('op/config', 9, body),), 9, is_snapshot=False
    )


@run_with_timeout
async def test_the_upstream_gets_the_team_and_not_the_key():
    async with deploy_entry(_team_table()) as deployment:
        listed = (b'connection', b'x-tenant, authorization')
        for headers in ((_BEARER,), (_BEARER, _FORGED, _FORGED, listed)):
            status, _, _ = await deployment.request(b'/stock/1', b'', *headers)
            assert status == 200

        assert _teams_received(deployment) == ['red', 'red']
        metrics = deployment.gateway.metrics.render()
        assert b'"team_requests.red"} 2.0' in metrics


@run_with_timeout
async def test_a_request_without_a_known_key_is_refused():
    key = _KEY.encode()
    rejected = (
        (),
        (_UNKNOWN,),
        (_FORGED,),
        ((b'authorization', b'Basic ' + key),),
        ((b'authorization', key),),
        ((b'authorization', b'Bearer'),),
        (_BEARER, _BEARER),
        (_BEARER, _UNKNOWN),
    )
    async with (
        deploy_entry(_team_table()) as deployment,
        trio.open_nursery() as nursery,
    ):
        await _serve_store(nursery, deployment.gateway)
        for headers in rejected:
            status, fields, body = await deployment.request(
                b'/stock/1', b'', *headers
            )
            assert status == 401
            assert fields[b'www-authenticate'] == b'Bearer'
            assert b'key' in body
        nursery.cancel_scope.cancel()

    assert not deployment.executed_ids()


@run_with_timeout
async def test_a_public_route_needs_no_key():
    async with deploy_entry(_team_table()) as deployment:
        for headers in ((), (_UNKNOWN, _FORGED), (_BEARER, _FORGED)):
            status, _, _ = await deployment.request(b'/open/1', b'', *headers)
            assert status == 200

        named = [name or '' for name in _teams_received(deployment)]
        assert sorted(named) == ['', '', 'red']


@run_with_timeout
async def test_without_teams_the_headers_of_callers_are_passed_on():
    async with deploy_entry(build_table()) as deployment:
        await deployment.request(b'/stock/1', b'', _UNKNOWN, _FORGED)

        fields = _received(deployment)[0]
        assert fields['authorization'] == _UNKNOWN[1].decode()
        assert fields['x-tenant'] == 'blue'


@run_with_timeout
async def test_a_revoked_key_is_refused_on_an_open_connection():
    async with (
        deploy_entry(_team_table()) as deployment,
        trio.open_nursery() as nursery,
    ):
        await _serve_store(nursery, deployment.gateway)
        connection = await deployment.open()
        request = OutgoingRequest(
            b'GET',
            b'/stock/1',
            ((b'host', b'shop.example'), (b'x-request-id', b'r'), _BEARER),
            b'',
        )
        statuses = []
        for version in (1, 2):
            key = _KEY if version == 1 else 'another'
            table = _team_table(key=key, version=version)
            deployment.gateway.views.fleet.apply('c', table)
            await connection.send(request, deployment.gateway.spawn)
            statuses.append((await connection.read_head()).status)
            await connection.read_body()
        nursery.cancel_scope.cancel()

    assert statuses == [200, 401]


@run_with_timeout
async def test_a_relay_carries_the_team_and_not_the_key():
    relays = []

    def record_relay(message, arrived):
        relays.append(message.SerializeToString())
        return decode_relay_request(message, arrived)

    async with deploy_two_regions(_team_table()) as (deployment, far):
        with mock.patch(
            'masticstage.edges.relay_server.decode_relay_request', record_relay
        ):
            status, _, _ = await deployment.request(
                b'/stock/1', b'', _BEARER, _FORGED
            )

        assert status == 200
        assert _teams_received(deployment) == ['red']
        assert b'"team_relayed.red"} 1.0' in far.metrics.render()
    assert relays
    assert not any(_KEY.encode() in relay for relay in relays)


@run_with_timeout
async def test_engines_get_the_priority_of_team_and_route_in_one_number():
    """Guards against relays that lose the team's priority."""
    route = build_stream_route(priority=1)
    table = build_team_table({_KEY: _RED}, 1, route)
    counts = (b'x-token-counts', b'900,50')
    for deploy in (deploy_entry, deploy_two_regions):
        async with deploy(table) as deployed:
            deployment = (
                deployed[0] if deploy is deploy_two_regions else deployed
            )
            await deployment.request(b'/ask/1', b'question', _BEARER, counts)

            received = _received(deployment)
            assert [fields['x-request-priority'] for fields in received] == [
                '4'
            ]


@run_with_timeout
async def test_a_key_that_a_peer_relays_goes_no_further():
    """Guards against peers that have not read the teams, or are older."""
    async with deploy_two_regions() as (deployment, far):
        far.views.fleet.apply('c', _team_table(version=2))
        await deployment.request(b'/stock/1', b'', _BEARER, _FORGED)
        await deployment.request(b'/stock/1', b'', _UNKNOWN, _FORGED)

        named = [name or '' for name in _teams_received(deployment)]
        assert sorted(named) == ['', 'red']


@run_with_timeout
async def test_a_team_without_a_region_of_its_route_is_refused():
    """Guards against a relay to a region that only the route allows."""
    route = build_route(homes=frozenset(('south',)))
    team = Team('red', homes=frozenset(('north',)))
    table = build_team_table({_KEY: team}, 1, route)
    async with deploy_two_regions(table) as (deployment, far):
        status, headers, body = await deployment.request(
            b'/stock/1', b'', _BEARER
        )

        assert status == 503
        assert b'retry-after' in headers
        assert b'red' in body
        assert not deployment.executed_ids()
        assert b'team_relayed' not in far.metrics.render()


@run_with_timeout
async def test_the_regions_of_a_team_bind_relays():
    """Guards against relays to a region that the team does not allow."""
    table = _team_table(Team('red', homes=frozenset(('north',))))
    async with deploy_two_regions(table) as (deployment, _):
        status, _, _ = await deployment.request(b'/stock/1', b'', _BEARER)

        assert status == 503
        assert not deployment.executed_ids()


@run_with_timeout
async def test_a_key_that_a_peer_knows_is_fetched_before_the_request():
    table = _team_table(key='another')
    async with deploy_two_regions(table) as (deployment, far):
        updates = _configuration(_KEY)
        apply_updates(far, updates, 'test', is_reliable=True)
        near = deployment.gateway
        near.gossip.peer_positions[far.name] = (0, updates.revision)
        status, _, _ = await deployment.request(b'/stock/1', b'', _BEARER)

        assert status == 200
        assert near.views.records.revision == updates.revision


@run_with_timeout
async def test_without_the_platform_an_unknown_key_is_not_called_unknown():
    async with deploy_entry(_team_table()) as deployment:
        while not deployment.gateway.views.outage.is_ongoing:
            await trio.sleep(0.05)
        status, headers, _ = await deployment.request(
            b'/stock/1', b'', _UNKNOWN
        )
        no_key_status, _, _ = await deployment.request(b'/stock/1')

    assert status == 503
    assert float(headers[b'retry-after']) > 0
    assert no_key_status == 401


@run_with_timeout
async def test_unknown_keys_share_a_fetch():
    """Guards against a call to the platform for each of many requests."""
    statuses = []
    async with deploy_entry(_team_table()) as deployment:
        while not deployment.gateway.views.outage.is_ongoing:
            await trio.sleep(0.05)

        async def request():
            status, _, _ = await deployment.request(b'/stock/1', b'', _UNKNOWN)
            statuses.append(status)

        with mock.patch(
            'masticstage.edges.catch_up.refresh_records',
            mock.AsyncMock(return_value=True),
        ) as refresh:
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(request)

    assert statuses == [401] * 20
    assert 1 <= refresh.await_count < 10


@run_with_timeout
async def test_a_platform_that_answers_again_settles_that_a_key_is_unknown():
    """Guards against 503 for wrong keys after one failed call."""
    async with (
        deploy_entry(_team_table()) as deployment,
        trio.open_nursery() as nursery,
    ):
        gateway = deployment.gateway
        await _serve_store(nursery, gateway)
        gateway.views.outage.record_failure(gateway.clock.elapsed())
        status, _, _ = await deployment.request(b'/stock/1', b'', _UNKNOWN)
        nursery.cancel_scope.cancel()

    assert status == 401


@run_with_timeout
async def test_a_key_of_a_megabyte_is_refused_with_its_head():
    async with deploy_entry(_team_table()) as deployment:
        address = deployment.gateway.settings.listen.callers
        connection = await connect(address, 1, SystemClock())
        request = OutgoingRequest(
            b'GET',
            b'/stock/1',
            (
                (b'host', b'shop.example'),
                (b'x-request-id', b'r'),
                (b'authorization', b'Bearer ' + b'k' * 1_000_000),
            ),
            b'',
        )
        await connection.send(request, deployment.gateway.spawn)
        assert (await connection.read_head()).status == 431
        assert not deployment.executed_ids()


@run_with_timeout
async def test_no_key_is_written_anywhere():
    """Guards against keys in logs, metrics, errors and explanations."""
    lines = []
    unsafe = build_route(kind=CallKind.UNSAFE, path_prefix='/order/')
    table = build_team_table(
        {_KEY: Team('red', homes=frozenset(('south',)))},
        1,
        build_route(),
        unsafe,
        build_route(path_prefix='/far/', homes=frozenset(('north',))),
    )
    other = (b'authorization', b'Basic ' + _KEY.encode())
    written = []
    with mock.patch(
        'masticstage.edges.decision_log.write_line',
        lambda line: bool(lines.append(line.decode())) or True,
    ):
        async with deploy_two_regions(table) as (deployment, far):
            for path in (b'/stock/1', b'/order/1', b'/far/1', b'/none'):
                for header in (_BEARER, other):
                    answer = await deployment.request(path, b'', header)
                    written.extend(answer)
            for replica in deployment.replicas.values():
                replica.crash()
            answer = await deployment.request(b'/stock/1', b'', _BEARER)
            written.extend(answer)
            for key in (_KEY, 5):
                apply_updates(
                    far, _configuration(key), 'test', is_reliable=True
                )
            with (
                mock.patch(
                    'masticstage.edges.serving.find_route',
                    side_effect=ValueError,
                ),
                pytest.raises(BrokenConnectionError),
            ):
                await deployment.request_partial(b'/stock/1', b'', _BEARER)
            for gateway in (deployment.gateway, far):
                written.extend((gateway.metrics.render(), repr(gateway)))

    written.extend(
        step.describe()
        for number in range(1, deployment.last_id + 1)
        for step in steps_of(f'r-{number}', lines)
    )
    assert any('internal_error' in line for line in lines)
    assert any('for team red' in str(text) for text in written)
    assert not any(_KEY in str(text) for text in (*written, *lines))
