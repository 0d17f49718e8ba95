"""Tests of streams that go on at the software version that began them.

The replicas of the model have versions; a stream has six events.
"""

from contextlib import contextmanager
from datetime import timedelta
from unittest.mock import patch

import attrs
import pytest
import trio

from masticstage.clock import milliseconds
from masticstage.forwarding.origins.origin import Origin
from masticstage.forwarding.outage import OutageTracker
from masticstage.forwarding.routes import Share
from standins.faults import Fault
from tests.edges.deployment import (
    Deployment,
    deploy_entry,
    deploy_two_instances,
    deploy_two_regions,
    run_with_timeout,
)
from tests.forwarding_builders import build_stream_route, build_table

_STREAM = (
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)
#: Longer than the interval at which notes are sent to other instances.
_SPREAD_S = 0.6
#: Longer than the streams of short routes last.
_PROVED_S = 0.9


def _set_versions(gateway, **versions):
    """Publishes versions of the model's replicas: model_1='v1' and so on."""
    for known in gateway.views.fleet.all_upstreams():
        record = known.record
        version = versions.get(record.name.replace('-', '_'))
        if version is not None:
            changed = attrs.evolve(record, software=version)
            gateway.views.fleet.apply(f'u/{record.name}', changed)


def _observe_all(gateway):
    history = gateway.views.origins.history
    for known in gateway.views.fleet.all_upstreams():
        history.observe(known.record)


def _take_up(request_id, last_event=3):
    return (
        *_STREAM,
        (b'last-event-id', b'%d' % last_event),
        (b'resumes', request_id.encode()),
    )


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


def _leave(gateway, name):
    """Makes an upstream leave, so that it gets no new requests."""
    for known in gateway.views.fleet.all_upstreams():
        if known.record.name == name:
            gone = attrs.evolve(known.record, is_leaving=True)
            gateway.views.fleet.apply(f'u/{name}', gone)


async def _begin(deployment):
    """Begins a stream as request r-1; returns the replica that served it."""
    await deployment.request(b'/ask/1', b'', *_STREAM)
    return _served(deployment).pop()


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
async def test_a_take_up_goes_on_at_the_version_that_began():
    """Guards against a take-up that is sent by load alone."""
    async with deploy_entry(replica_count=4) as deployment:
        _set_versions(
            deployment.gateway,
            model_1='v1',
            model_2='v2',
            model_3='v1',
            model_4='v2',
        )
        began = await _begin(deployment)
        _leave(deployment.gateway, began)
        same = {
            'model-1': 'model-3',
            'model-3': 'model-1',
            'model-2': 'model-4',
            'model-4': 'model-2',
        }

        status, _, body = await deployment.request(
            b'/ask/1', b'', *_take_up('r-1')
        )

        assert status == 200
        assert body.count(b'piece') == 3
        assert _served(deployment) == {began, same[began]}


@run_with_timeout
async def test_a_take_up_is_refused_if_only_another_version_is_left():
    """Guards against a joined text where a refusal is due."""
    async with deploy_entry() as deployment:
        _set_versions(deployment.gateway, model_1='v1', model_2='v2')
        began = await _begin(deployment)
        _leave(deployment.gateway, began)

        status, headers, _ = await deployment.request(
            b'/ask/1', b'', *_take_up('r-1')
        )

        assert status == 503
        # Nothing helps within the time that the caller waits.
        assert float(headers[b'retry-after']) > 2
        assert _served(deployment) == {began}


@run_with_timeout
async def test_a_second_take_up_goes_on_at_the_first_version():
    """Guards against the version of the last attempt in place of the first."""
    async with deploy_entry() as deployment:
        _set_versions(deployment.gateway, model_1='v1', model_2='v2')
        began = await _begin(deployment)
        await deployment.request(b'/ask/1', b'', *_take_up('r-1', 2))
        _leave(deployment.gateway, began)

        for resumed in ('r-1', 'r-2'):
            status, _, _ = await deployment.request(
                b'/ask/1', b'', *_take_up(resumed)
            )
            assert status == 503


@run_with_timeout
async def test_another_instance_asks_which_version_began():
    """Guards against a take-up at an instance that did not begin the stream."""
    async with deploy_two_instances() as (deployment, second):
        for gateway in (deployment.gateway, second):
            _set_versions(gateway, model_1='v1', model_2='v2')
        began = await _begin(deployment)
        await trio.sleep(_SPREAD_S)
        # As if the notes had been lost on the way.
        second.views.origins.notes.drop_older(timedelta())
        elsewhere = Deployment(second, deployment.replicas, last_id=10)

        status, _, _ = await elsewhere.request(b'/ask/1', b'', *_take_up('r-1'))
        assert status == 200
        assert _served(deployment) == {began}

        _leave(second, began)
        status, _, _ = await elsewhere.request(b'/ask/1', b'', *_take_up('r-1'))
        assert status == 503


@run_with_timeout
async def test_notes_survive_the_loss_of_the_instance_that_began_the_stream():
    """Guards against an origin that only one instance knows."""
    async with deploy_two_instances() as (deployment, second):
        for gateway in (deployment.gateway, second):
            _set_versions(gateway, model_1='v1', model_2='v2')
        await _begin(deployment)
        await trio.sleep(_SPREAD_S)

        origin = second.views.origins.notes.find('r-1')

        assert origin is not None
        assert origin.service == 'model'
        assert origin.software in {'v1', 'v2'}


@pytest.mark.parametrize('second_version', ['v1', 'v2'])
def test_what_no_instance_remembers_is_refused_at_once(second_version):
    """Guards against joined streams after a loss of all instances."""

    @run_with_timeout
    async def check():
        async with deploy_entry() as deployment:
            _set_versions(
                deployment.gateway, model_1='v1', model_2=second_version
            )
            started_at = trio.current_time()

            status, headers, body = await deployment.request(
                b'/ask/1', b'', *_take_up('before')
            )

            assert status == 503
            assert b'which software began' in body
            assert float(headers[b'retry-after']) > 2
            assert trio.current_time() - started_at < 0.5
            assert not _served(deployment)

    check()


@run_with_timeout
async def test_a_take_up_stays_at_the_service_that_began_the_stream():
    """Guards against a route whose shares send the take-up elsewhere."""
    shares = (Share('model', 1), Share('shop', 1))
    table = build_table(1, build_stream_route(shares=shares))
    async with deploy_entry(table, replica_count=1) as deployment:
        await deployment.request(b'/ask/1', b'', *_STREAM)
        began = [
            name
            for name, replica in deployment.replicas.items()
            if replica.requests
        ]
        for _ in range(8):
            await deployment.request(b'/ask/1', b'', *_take_up('r-1'))
        assert [
            name
            for name, replica in deployment.replicas.items()
            if replica.requests
        ] == began


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


@contextmanager
def _store_answers():
    """Makes instances take their view of the fleet for the latest."""
    with patch.object(OutageTracker, 'is_ongoing', new=False):
        yield


def _short_streams():
    """Returns a configuration whose streams last for less than a second."""
    return build_table(1, build_stream_route(limit=milliseconds(400)))


@run_with_timeout
async def test_a_take_up_goes_on_if_there_was_only_one_version():
    """Guards against refusals on an ordinary day (LOST)."""
    with _store_answers():
        async with deploy_entry(_short_streams()) as deployment:
            _set_versions(deployment.gateway, model_1='v1', model_2='v1')
            await trio.sleep(_PROVED_S)
            _observe_all(deployment.gateway)

            status, _, _ = await deployment.request(
                b'/ask/1', b'', *_take_up('before', 5)
            )

            assert status == 200


@run_with_timeout
async def test_a_note_of_a_peer_goes_before_the_only_version_seen_here():
    """Guards against a view that is a moment behind."""
    with _store_answers():
        async with deploy_two_instances(_short_streams()) as pair:
            deployment, second = pair
            _set_versions(second, model_1='v1', model_2='v1')
            await trio.sleep(_PROVED_S)
            _observe_all(second)
            notes = deployment.gateway.views.origins.notes
            notes.record('r-9', Origin('model', 'v2'))
            elsewhere = Deployment(second, deployment.replicas, last_id=10)

            status, _, body = await elsewhere.request(
                b'/ask/1', b'', *_take_up('r-9', 5)
            )

            assert status == 503
            assert b'has left' in body
            assert not _served(deployment)


@run_with_timeout
async def test_an_answer_that_cannot_be_read_is_none():
    """Guards against a take-up that ends without an answer."""
    async with deploy_two_instances() as (deployment, second):
        await trio.sleep(_SPREAD_S)
        assert second.name == 'second'
        with patch(
            'masticstage.edges.origins.questions.post_message',
            return_value=b'\xff',
        ):
            status, _, _ = await deployment.request(
                b'/ask/1', b'', *_take_up('before')
            )
        assert status == 503


@run_with_timeout
async def test_a_version_that_changes_before_the_answer_is_unknown():
    """Guards against a note of the version that was chosen."""
    async with deploy_entry(replica_count=1) as deployment:
        gateway = deployment.gateway

        def start_anew(_request_id):
            for known in gateway.views.fleet.all_upstreams():
                record = attrs.evolve(
                    known.record, software='v2', started_at_ms=9
                )
                gateway.views.fleet.apply(f'u/{record.name}', record)

        deployment.replicas['model-1'].on_run = start_anew
        await _begin(deployment)

        origin = gateway.views.origins.notes.find('r-1')
        assert origin == Origin('model', None)


@run_with_timeout
async def test_resumes_without_an_event_changes_no_note():
    """Guards against a new stream that names another one."""
    async with deploy_entry() as deployment:
        notes = deployment.gateway.views.origins.notes
        notes.record('r-0', Origin('model', 'v1'))
        _set_versions(deployment.gateway, model_1='v2', model_2='v2')

        await deployment.request(b'/ask/1', b'', *_STREAM, (b'resumes', b'r-0'))

        assert notes.find('r-0') == Origin('model', 'v1')


@run_with_timeout
async def test_a_process_that_started_after_its_record_has_no_known_version():
    """Guards against a start under the old name with other software."""
    async with deploy_entry(replica_count=1) as deployment:
        _set_versions(deployment.gateway, model_1='v1')
        await deployment.restart_replicas('model-1', cold_ms=3000)

        await _begin(deployment)

        notes = deployment.gateway.views.origins.notes
        assert notes.find('r-1') == Origin('model', None)
