"""Tests of answers in which upstreams say that they leave or want a rest."""

import pytest
import trio

from masticstage.edges.exchange import answer_message, compose_message
from masticstage.edges.health_checks import is_healthy
from masticstage.edges.notices import find_record
from masticstage.platform.upstreams import read_answer
from standins.faults import Fault
from tests.edges.deployment import (
    deploy_entry,
    deploy_two_regions,
    run_with_timeout,
)

_STREAM = (
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)


def _notices(gateway):
    return gateway.views.fleet.notices


def _record(gateway, name):
    return find_record(gateway.views.fleet, name)


def _sent_to(deployment, name):
    return len(deployment.replicas[name].requests)


@pytest.mark.parametrize(
    ('path', 'service', 'headers', 'fault'),
    [
        (b'/stock/1', 'shop', (), Fault.NONE),
        (b'/stock/1', 'shop', (), Fault.NOT_RUN),
        (b'/stock/1', 'shop', (), Fault.ERROR),
        (b'/ask/1', 'model', _STREAM, Fault.NONE),
    ],
)
def test_after_an_answer_that_says_so_a_leaving_upstream_gets_nothing(
    path, service, headers, fault
):
    """Guards against requests to an upstream that said that it leaves."""

    @run_with_timeout
    async def check():
        async with deploy_entry(replica_count=1) as deployment:
            leaving = f'{service}-1'
            deployment.replicas[leaving].is_leaving = True
            deployment.inject_faults(fault, prefix=leaving)
            await deployment.request(path, b'', *headers)
            for _ in range(5):
                status, _, _ = await deployment.request(path, b'', *headers)
                assert status == 503
            assert _sent_to(deployment, leaving) == 1

    check()


@run_with_timeout
async def test_a_relayed_answer_tells_both_instances():
    async with deploy_two_regions() as (deployment, far):
        for replica in deployment.replicas.values():
            replica.is_leaving = True
        status, _, _ = await deployment.request(b'/stock/1')
        assert status == 200
        near = deployment.gateway
        leaving = {
            known.record.name
            for known in near.views.fleet.all_upstreams()
            if _notices(near).is_leaving(known.record)
        }
        assert len(leaving) == 1
        record = _record(far, leaving.pop())
        assert 'itself' in _notices(far).describe(record)


@run_with_timeout
async def test_a_health_check_tells_that_an_upstream_leaves():
    async with deploy_entry() as deployment:
        gateway = deployment.gateway
        deployment.replicas['shop-1'].is_leaving = True
        known = gateway.views.fleet.find('shop-1')
        assert known is not None

        await is_healthy(gateway, known)

        assert gateway.views.fleet.find('shop-1') is None


@run_with_timeout
async def test_peers_learn_of_a_leaving_upstream_as_a_hint():
    async with deploy_two_regions() as (deployment, far):
        near = deployment.gateway
        record = _record(far, 'shop-1')
        _notices(far).record_leaving(record, is_own=True)
        answer_message(near, compose_message(far, 'north'))

        assert near.views.fleet.find('shop-1') is None
        assert 'a peer' in _notices(near).describe(_record(near, 'shop-1'))


@run_with_timeout
async def test_a_resting_upstream_gets_neither_requests_nor_checks():
    """Guards against requests in the rest that an upstream asked for."""
    async with deploy_entry(replica_count=1) as deployment:
        deployment.inject_faults(Fault.REST, prefix='shop')
        gateway = deployment.gateway
        for _ in range(5):
            status, _, _ = await deployment.request(b'/stock/1')
            assert status == 503
        assert _sent_to(deployment, 'shop-1') == 1
        resting = _record(gateway, 'shop-1')
        assert _notices(gateway).rest_left(resting)

        await trio.sleep(1.05)

        status, _, _ = await deployment.request(b'/stock/1')
        assert status == 200


@run_with_timeout
async def test_a_relay_does_not_reach_a_resting_upstream():
    """Guards against a rest that is not applied to relayed requests."""
    async with deploy_two_regions(replica_count=1) as (deployment, far):
        deployment.inject_faults(Fault.REST, prefix='shop-1')
        await deployment.request(b'/stock/1')
        assert _notices(far).rest_left(_record(far, 'shop-1'))
        assert not _notices(deployment.gateway).rest_left(
            _record(deployment.gateway, 'shop-1')
        )
        for _ in range(10):
            await deployment.request(b'/stock/1')
        assert _sent_to(deployment, 'shop-1') == 1


@run_with_timeout
async def test_callers_are_told_when_all_upstreams_rest():
    async with deploy_entry() as deployment:
        deployment.inject_faults(Fault.REST, prefix='shop')
        status, headers, _ = await deployment.request(b'/stock/1')
        assert status == 503
        assert 0.5 < float(headers[b'retry-after']) < 2.1


@pytest.mark.parametrize(
    ('status', 'field', 'rest_s'),
    [
        (503, b'1.5', 1.5),
        (503, b'0', 0),
        (503, b'-1', 0),
        (503, b'1e400', 0),
        (503, b'nan', 0),
        (503, b'soon', 0),
        (503, b'999999999', 0),
        (503, b'Wed, 21 Oct 2026 07:28:00 GMT', 0),
        (429, b'2', 0),
        (200, b'2', 0),
    ],
)
def test_only_a_sensible_rest_in_a_refusal_counts(status, field, rest_s):
    facts = read_answer(status, ((b'retry-after', field),), 'r-1', 'i-7')
    assert facts.rest.total_seconds() == rest_s


@pytest.mark.parametrize(
    ('status', 'field', 'is_leaving'),
    [
        (200, b'1', True),
        (503, b'1', True),
        (421, b'1', False),
        (200, b'0', False),
    ],
)
def test_only_the_target_says_that_it_leaves(status, field, is_leaving):
    facts = read_answer(status, ((b'server-leaving', field),), 'r-1', 'i-7')
    assert facts.is_leaving is is_leaving
