"""Tests of serving while an odd record stands beside sound ones."""

import json

from masticstage.edges.records import apply_updates
from masticstage.forwarding.record_cache import RecordEvent, RecordUpdates
from standins.faults import Fault
from tests.edges.deployment import deploy_entry, run_with_timeout

_UPSTREAM = {
    'Service': 'shop',
    'Address': '127.0.0.1:99999',
    'Zone': 'north-a',
    'State': 'ready',
    'Slots': 4,
    'born': 1,
    'Sequence': 1,
}


def _event(name, revision, **changes):
    body = json.dumps({**_UPSTREAM, **changes}).encode()
    return RecordEvent(f'servers/{name}', revision, body)


def _apply(gateway, *events):
    last = max(event.revision for event in events)
    updates = RecordUpdates(events, last, is_snapshot=False)
    apply_updates(gateway, updates, 'platform', is_reliable=True)


@run_with_timeout
async def test_an_odd_address_ends_no_request_without_an_answer():
    """Guards against answers that are cut by an odd entry (review/1)."""
    async with deploy_entry(replica_count=1) as deployment:
        _apply(deployment.gateway, _event('odd', 1))
        for _ in range(5):
            deployment.inject_faults(Fault.ERROR, prefix='shop')
            status, _, _, is_complete = await deployment.request_partial(
                b'/stock/1'
            )
            assert is_complete
            assert status in {200, 500}


class _Undescribed:
    """A function whose description would be long."""

    def __init__(self):
        self.calls = 0

    async def __call__(self):
        self.calls += 1

    def __repr__(self):
        raise AssertionError('described although it did not fail')


@run_with_timeout
async def test_a_task_that_does_not_fail_is_not_described():
    """Guards against a fifth more processor time for each request."""
    async with deploy_entry(replica_count=0) as deployment:
        function = _Undescribed()
        await deployment.gateway.run_guarded(function)
        assert function.calls == 1


@run_with_timeout
async def test_an_odd_record_does_not_stop_its_batch():
    """Guards against changes that are lost behind an odd entry."""
    async with deploy_entry() as deployment:
        gateway = deployment.gateway
        _apply(
            gateway,
            _event('odd', 1, WarmupLeftMs=86_399_999_913_600_000),
            _event('sound', 2, Address='127.0.0.1:9'),
        )
        assert gateway.views.fleet.find('sound') is not None
        assert gateway.views.fleet.find('odd') is None
