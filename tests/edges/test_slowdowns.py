"""Tests of the slowdown that upstreams report with their answers."""

import pytest

from masticstage.edges.dispatch_log import _record_times
from masticstage.edges.dispatch_outcome import RoutedRequest
from masticstage.edges.health_checks import is_healthy
from masticstage.forwarding.slowdowns import Slowdown
from tests.edges.deployment import deploy_entry, run_with_timeout
from tests.forwarding_builders import build_request, build_route


def _state(gateway):
    known = gateway.views.fleet.find('shop-1')
    record = known.record
    return known, gateway.views.loads.state(record.name, record.started_at_ms)


@pytest.mark.parametrize(
    ('load', 'ratio'), [('1,0,6,250', 2.5), ('1,0,6', 1), ('1,0,6,x', 1)]
)
def test_a_health_check_tells_the_slowdown(load, ratio):
    """Guards against a recovered upstream whose slow moment is not known."""

    @run_with_timeout
    async def check():
        async with deploy_entry(replica_count=1) as deployment:
            known, state = _state(deployment.gateway)
            deployment.replicas['shop-1'].load = load
            assert await is_healthy(deployment.gateway, known)
            assert state.slowdown.ratio == ratio
            assert (state.reported is not None) == (ratio != 1)

    check()


@run_with_timeout
async def test_a_slow_moment_does_not_enter_the_latency_ratio():
    """Guards against a slow moment taken for a slow upstream."""
    async with deploy_entry(replica_count=1) as deployment:
        gateway = deployment.gateway
        _, state = _state(gateway)
        request, route = build_request(), build_route()
        choice = gateway.views.chooser.choose(request, route, 'shop')
        routed = RoutedRequest(request, route, 'shop', '', frozenset())

        state.slowdown = Slowdown(2.5, gateway.elapsed_s())
        _record_times(gateway, routed, choice, 2.5 * choice.expected_s)

        assert state.latency_ratio == pytest.approx(1, abs=0.05)
