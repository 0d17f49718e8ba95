"""Tests of the pace of upstreams after a recovery."""

import json

import pytest

from masticstage.edges.health_checks import _mark_suspect, _recheck
from masticstage.edges.pacing import log_pace_changes
from tests.edges.deployment import deploy_entry, run_with_timeout


@pytest.mark.parametrize('is_healthy', [True, False])
def test_a_recovered_upstream_is_paced(is_healthy, capfd):
    """Guards against all waiting requests at an upstream that has recovered."""

    @run_with_timeout
    async def check():
        async with deploy_entry(replica_count=1) as deployment:
            gateway = deployment.gateway
            upstream = gateway.views.fleet.find('shop-1')
            deployment.replicas['shop-1'].is_healthy = is_healthy
            _mark_suspect(gateway, upstream, 'refused')
            await _recheck(gateway, upstream)
            await deployment.request(b'/stock/1')
            assert gateway.views.chooser.pacer.count == is_healthy
            log_pace_changes(gateway)

    check()
    lines = map(json.loads, capfd.readouterr().out.splitlines())
    paced = [line for line in lines if line['event'] == 'upstream_paced']
    assert len(paced) == is_healthy
    assert all(line['upstream'] == 'shop-1' for line in paced)
