"""Tests of streams that go on at the software version that began them.

The replicas of the model have versions; a stream has six events.
"""

import attrs

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


def _set_versions(gateway, **versions):
    """Publishes versions of the model's replicas: model_1='v1' and so on."""
    for known in gateway.views.fleet.all_upstreams():
        record = known.record
        version = versions.get(record.name.replace('-', '_'))
        if version is not None:
            changed = attrs.evolve(record, software=version)
            gateway.views.fleet.apply(f'u/{record.name}', changed)


def _served(deployment):
    """Returns the names of the model's replicas that got requests."""
    return {
        name
        for name, replica in deployment.replicas.items()
        if name.startswith('model') and replica.requests
    }


def _cut_first_stream(deployment):
    """Cuts the first stream in its middle, at whichever replica it begins."""

    def forget_faults(_request_id):
        deployment.inject_faults()

    deployment.inject_faults(Fault.CUT, prefix='model')
    for replica in deployment.replicas.values():
        replica.on_run = forget_faults


@run_with_timeout
async def test_within_an_answer_no_other_version_goes_on():
    """Guards against events of two versions in one answer."""
    async with deploy_entry() as deployment:
        _set_versions(deployment.gateway, model_1='v1', model_2='v2')
        _cut_first_stream(deployment)

        _, _, body, is_complete = await deployment.request_partial(
            b'/ask/1', b'', *_STREAM
        )

        assert not is_complete
        assert b'piece 3' in body
        assert len(_served(deployment)) == 1


@run_with_timeout
async def test_within_an_answer_the_same_version_goes_on():
    async with deploy_entry(replica_count=3) as deployment:
        _set_versions(
            deployment.gateway, model_1='v1', model_2='v1', model_3='v1'
        )
        _cut_first_stream(deployment)

        _, _, body = await deployment.request(b'/ask/1', b'', *_STREAM)

        assert body.count(b'piece') == 6


@run_with_timeout
async def test_a_relayed_stream_goes_on_at_no_other_version():
    """Guards against a peer that chooses an upstream of another version."""
    async with deploy_two_regions() as (deployment, far):
        for gateway in (deployment.gateway, far):
            _set_versions(gateway, model_1='v1', model_2='v2')
        _cut_first_stream(deployment)

        _, _, _, is_complete = await deployment.request_partial(
            b'/ask/1', b'', *_STREAM
        )

        assert not is_complete
        assert len(_served(deployment)) == 1


@run_with_timeout
async def test_an_answer_of_another_version_than_was_chosen_is_not_joined():
    """Guards against a peer of an older program that ignores the version."""
    async with deploy_two_regions() as (deployment, far):
        near = deployment.gateway
        _set_versions(near, model_1='v1', model_2='v2')
        # To the far instance both are the same.
        _set_versions(far, model_1='', model_2='')
        _cut_first_stream(deployment)

        _, _, body, is_complete = await deployment.request_partial(
            b'/ask/1', b'', *_STREAM
        )

        assert not is_complete
        assert b'piece 4' not in body
