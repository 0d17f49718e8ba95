"""Tests of teams' limits over real sockets."""

import attrs
import pytest
import trio

from masticstage import peer_pb2 as pb
from masticstage.edges.quota_messages import decode_asks
from masticstage.forwarding.quotas.messages import Ask
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.teams import Team, TeamLimit
from standins.faults import Fault
from tests.edges.deployment import (
    deploy_entry,
    deploy_two_instances,
    deploy_two_regions,
    run_with_timeout,
)
from tests.forwarding_builders import build_route, build_team_table

_KEY = 'key-of-red-0123456789'
_BEARER = (b'authorization', b'Bearer ' + _KEY.encode())
_ROUTE = build_route(kind=CallKind.UNSAFE)


def _table(limit, version=1):
    team = Team('red', limit=limit)
    return build_team_table({_KEY: team}, version, _ROUTE)


def _level(gateway):
    """Returns the tokens that the keeper of a region has."""
    return gateway.quotas.keeper.serve('probe', [Ask('red')])[0].level


async def _fill(level, *gateways):
    """Waits until the keepers have a number of tokens."""
    with trio.fail_after(9):
        for gateway in gateways:
            while _level(gateway) < level:
                await trio.sleep(0.1)


async def _request(deployment, tokens):
    counts = (b'x-token-counts', tokens)
    return await deployment.request(b'/stock/1', b'', _BEARER, counts)


@run_with_timeout
async def test_a_team_beyond_its_limit_is_refused_with_the_time_to_wait():
    async with deploy_entry(_table(TeamLimit(1000, 4000, 1))) as deployment:
        await _fill(1500, deployment.gateway)
        statuses, headers = [], {}
        for _ in range(8):
            status, fields, _ = await _request(deployment, b'600,400')
            statuses.append(status)
            headers = fields if status == 429 else headers
        assert statuses[0] == 200
        assert statuses[-1] == 429
        assert 0 < float(headers[b'retry-after']) <= 8
        assert len(deployment.executed_ids()) == statuses.count(200)
        rendered = deployment.gateway.metrics.render().decode()
        assert 'team_refused_429.red' in rendered
        assert 'team_tokens.red' in rendered


@run_with_timeout
async def test_a_request_is_served_again_after_its_retry_after():
    async with deploy_entry(_table(TeamLimit(4000, 4000, 1))) as deployment:
        await _fill(1500, deployment.gateway)
        status = 200
        while status == 200:
            status, fields, _ = await _request(deployment, b'600,400')
        await trio.sleep(float(fields[b'retry-after']) + 0.1)
        status, _, _ = await _request(deployment, b'600,400')
        assert status == 200


@pytest.mark.parametrize(
    'counts', [b'', b'1', b'-5,5', b'x,1', b'2000000000,1', b'1,2,3']
)
def test_a_request_with_unusable_counts_counts_as_plain(counts):
    @run_with_timeout
    async def serve():
        limit = TeamLimit(1, 1, 1_000_000)
        async with deploy_entry(_table(limit)) as deployment:
            status, _, _ = await _request(deployment, counts)
            assert status == 429

    serve()


@run_with_timeout
async def test_a_team_without_a_limit_exchanges_no_messages():
    async with deploy_entry(_table(None)) as deployment:
        status, _, _ = await _request(deployment, b'600,400')
        assert status == 200
        assert not deployment.gateway.quotas.keeper.levels()


@run_with_timeout
async def test_tokens_of_a_request_that_no_upstream_ran_are_returned():
    async with deploy_entry(_table(TeamLimit(1000, 4000, 1))) as deployment:
        gateway = deployment.gateway
        await _fill(1500, gateway)
        deployment.inject_faults(*(Fault.NOT_RUN for _ in range(40)))
        statuses = [
            (await _request(deployment, b'1000,0'))[0] for _ in range(6)
        ]
        assert statuses == [503] * 6
        assert not deployment.executed_ids()


@run_with_timeout
async def test_a_keeper_borrows_from_the_other_region():
    """Each region has some 12,000 tokens and a rate of 500 tokens/s."""
    limit = TeamLimit(1000, 20_000, 1)
    async with deploy_two_regions(_table(limit)) as (deployment, far):
        near = deployment.gateway
        await _fill(500, near, far)
        before = _level(near) + _level(far)
        near.quotas.keeper.end_loan(Ask('red'), 5000)
        far.quotas.keeper.end_loan(Ask('red'), 8000)
        served = 0
        for _ in range(60):
            status, _, _ = await _request(deployment, b'1000,0')
            served += status == 200
            await trio.sleep(0.03)
        assert before < 4000
        assert near.metrics.render().count(b'quota_loans')
        assert served > 8


@run_with_timeout
async def test_an_instance_asks_the_keeper_of_its_region():
    limit = TeamLimit(4000, 20_000, 1)
    async with deploy_two_instances(_table(limit)) as (deployment, second):
        own = deployment.gateway
        await _fill(2000, second)
        assert own.quotas.ranking.order('red')[0] == second.name
        before = _level(second)
        status, _, _ = await _request(deployment, b'2000,0')
        assert status == 200
        assert own.quotas.balances.explain('red').level > 0
        assert _level(second) < before


@run_with_timeout
async def test_the_next_instance_serves_while_the_keeper_is_unreachable():
    limit = TeamLimit(4000, 20_000, 1)
    async with deploy_two_instances(_table(limit)) as (deployment, second):
        own = deployment.gateway
        await _fill(2000, second)
        lost = attrs.evolve(
            second.views.members.own, peer_address='127.0.0.1:9', heartbeat=9
        )
        own.views.members.merge([lost])
        status, _, _ = await _request(deployment, b'100,0')
        assert status == 200
        assert own.quotas.ranking.order('red')[0] == second.name


def test_amounts_that_are_no_sensible_numbers_are_refused():
    for tokens in (-1, float('nan'), float('inf')):
        message = pb.QuotaRequest(asks=[pb.QuotaAsk(returned=tokens)])
        with pytest.raises(ValueError, match='tokens'):
            decode_asks(message)
