"""Tests of relaying to upstreams of another region, with two instances."""

import trio

from masticstage.forwarding.requests import CallKind
from standins.faults import Fault
from tests.edges.deployment import deploy_two_regions, run_with_timeout
from tests.forwarding_builders import build_route, build_table

#: A question that is answered by a stream.
_ASKED = (
    b'/ask/1',
    b'question',
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)


def _load_direct(gateway, upstream):
    gateway.views.loads.state(upstream).direct.in_flight = 200


def _load_relayed(gateway, upstream):
    gateway.views.loads.state(upstream).relayed.in_flight = 200


def _recorded_outcomes(gateway, upstream):
    loads = gateway.views.loads
    return loads.outcomes(loads.state(upstream))


@run_with_timeout
async def test_a_request_is_relayed_to_another_region():
    async with deploy_two_regions() as (deployment, _):
        status, headers, body = await deployment.request(b'/stock/1')

    assert status == 200
    assert body.startswith(b'answer of shop-')
    assert headers[b'x-response-signature'].endswith(b'r-1')


@run_with_timeout
async def test_a_relay_replaces_an_upstream_that_is_overloaded_in_its_view():
    async with deploy_two_regions() as (deployment, far):
        _load_relayed(deployment.gateway, 'shop-2')
        _load_direct(far, 'shop-1')
        status, _, body = await deployment.request(b'/stock/1')

    assert status == 200
    assert body.startswith(b'answer of shop-2')


@run_with_timeout
async def test_no_outcome_is_recorded_for_an_upstream_that_a_relay_replaced():
    async with deploy_two_regions() as (deployment, far):
        _load_relayed(deployment.gateway, 'shop-2')
        _load_direct(far, 'shop-1')
        await deployment.request(b'/stock/1')

        assert not _recorded_outcomes(deployment.gateway, 'shop-1').total
        assert _recorded_outcomes(far, 'shop-2').total


@run_with_timeout
async def test_a_relayed_stream_that_breaks_is_evidence_of_a_crash():
    """Guards against crashes that count only before the first event."""
    async with deploy_two_regions() as (deployment, far):
        for replica in deployment.replicas.values():
            replica.events = 100
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deployment.request_partial, *_ASKED)
            await trio.sleep(0.2)
            for replica in deployment.replicas.values():
                replica.crash()
        await trio.sleep(0.2)

        assert far.views.crash_causes.reports()


@run_with_timeout
async def test_an_old_refusal_is_no_refusal_across_regions():
    """Guards against `not run` that belongs to another request."""
    unsafe_route = build_route(kind=CallKind.UNSAFE, max_attempts=3)
    table = build_table(1, unsafe_route)
    async with deploy_two_regions(table) as (deployment, _):
        deployment.inject_faults(Fault.OTHER_NOT_RUN)
        status, _, _ = await deployment.request(b'/stock/1', b'order')

        assert status == 502
        assert deployment.executed_ids() == ['r-1']


@run_with_timeout
async def test_failures_of_relays_are_recorded_but_not_shared():
    async with deploy_two_regions() as (deployment, _):
        _load_relayed(deployment.gateway, 'shop-2')
        deployment.inject_faults(Fault.ERROR, prefix='shop-1')
        status, _, _ = await deployment.request(b'/stock/1')

        assert status == 200
        assert _recorded_outcomes(deployment.gateway, 'shop-1').failed
        assert not deployment.gateway.views.loads.region_loads()
