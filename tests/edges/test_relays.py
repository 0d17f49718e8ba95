"""Two entry instances: one relays to the upstreams of the other's region."""

from standins.replica import Fault
from tests.edges.entry import run_briefly, two_regions


def _crowd(gateway, upstream):
    gateway.beliefs.loads.state(upstream).direct.in_flight = 200


def _crowd_far(gateway, upstream):
    gateway.beliefs.loads.state(upstream).relayed.in_flight = 200


def _known(gateway, upstream):
    loads = gateway.beliefs.loads
    return loads.outcomes(loads.state(upstream))


@run_briefly
async def test_an_answer_comes_through_the_other_region():
    async with two_regions() as (one, _):
        status, headers, body = await one.ask(b'/stock/1')

    assert status == 200
    assert body.startswith(b'answer of shop-')
    assert headers[b'x-response-signature'].endswith(b'r-1')


@run_briefly
async def test_a_relay_takes_what_is_better_by_its_own_view():
    async with two_regions() as (one, far):
        _crowd_far(one.gateway, 'shop-2')
        _crowd(far, 'shop-1')
        status, _, body = await one.ask(b'/stock/1')

    assert status == 200
    assert body.startswith(b'answer of shop-2')


@run_briefly
async def test_nothing_is_learnt_of_an_upstream_that_a_relay_left_out():
    async with two_regions() as (one, far):
        _crowd_far(one.gateway, 'shop-2')
        _crowd(far, 'shop-1')
        await one.ask(b'/stock/1')

        assert not _known(one.gateway, 'shop-1').total
        assert _known(far, 'shop-2').total


@run_briefly
async def test_failures_of_relays_are_known_but_not_told():
    async with two_regions() as (one, _):
        _crowd_far(one.gateway, 'shop-2')
        one.break_with(Fault.ERROR, name='shop-1')
        status, _, _ = await one.ask(b'/stock/1')

        assert status == 200
        assert _known(one.gateway, 'shop-1').failed
        assert not one.gateway.beliefs.loads.region_loads()
