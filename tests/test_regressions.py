"""Regression tests, one for each failure found by bench.prove or other runs."""

import json
from datetime import timedelta

import httpx
import trio

from masticstage import peer_pb2 as pb
from masticstage.caller import read_outcome
from masticstage.caller_api import create_app
from masticstage.clock import ManualClock
from masticstage.exceptions import (
    PeerUnreachableError,
    UpstreamFailedError,
)
from masticstage.models import serve_model_request
from masticstage.outcomes import Outcome
from masticstage.peer_server import PeerService
from masticstage.relays import buffer_reply, forward
from masticstage.serving import serve
from masticstage.streams import RESUME
from masticstage.summaries import Summary
from masticstage.upstream_table import UpstreamTable
from tests.builders import (
    TEAM_KEY,
    build_call,
    build_end,
    build_event,
    build_request,
)
from tests.fakes import add_member, run_with_instance


async def _read_answer(reply):
    return b''.join([chunk async for chunk in reply.chunks])


def test_body_in_the_first_chunk_of_a_forwarded_reply_is_kept():
    async def check(instance):
        member = add_member(instance, 'b-0', 'b')
        peers = instance.connections.peers
        peers.chunks = [pb.RelayChunk(status=200, body=b'whole')]
        request = build_request(instance.catalogue())
        reply = await buffer_reply(await forward(instance, request, member))
        assert reply.body == b'whole'

    run_with_instance(check)


def test_refused_reconnection_counts_as_a_crash():
    async def check(instance):
        upstreams = instance.connections.upstreams
        broken = [build_event(0), UpstreamFailedError('a-model-0', 'cut')]
        upstreams.starts = [broken, broken]
        request = build_request(instance.catalogue())
        text = await _read_answer(await serve_model_request(instance, request))
        assert b'urn:masticstage:quarantined' in text
        assert len(upstreams.started) == 2

    run_with_instance(check)


def test_answer_that_failed_after_its_start_has_an_unknown_outcome():
    async def check(instance):
        upstreams = instance.connections.upstreams
        broken = [UpstreamFailedError('a-model-0', 'cut')]
        upstreams.starts = [broken, broken]
        request = build_request(instance.catalogue())
        text = await _read_answer(await serve_model_request(instance, request))
        failure = text.rpartition(b'event: error\ndata: ')[2]
        assert json.loads(failure)['outcome'] == 'unknown'

    run_with_instance(check)


def test_restarted_answer_has_a_new_stream_id():
    async def check(instance):
        upstreams = instance.connections.upstreams
        broken = [build_event(0), UpstreamFailedError('a-model-0', 'cut')]
        upstreams.starts = [broken, [build_event(0), build_end(1)]]
        request = build_request(instance.catalogue())
        text = await _read_answer(await serve_model_request(instance, request))
        answer_events = [
            json.loads(part.partition(b'\n\n')[0])
            for part in text.split(b'event: answer\ndata: ')[1:]
        ]
        assert [fields['answer'] for fields in answer_events] == [1, 2]
        assert answer_events[0]['stream_id'] != answer_events[1]['stream_id']

    run_with_instance(check)


def test_model_requests_fill_the_retry_budget():
    async def check(instance):
        budget = instance.local_state.retry_budget
        while budget.try_retry():
            await trio.lowlevel.checkpoint()
        upstreams = instance.connections.upstreams
        for _ in range(11):
            upstreams.starts = [[build_event(0), build_end(1)]]
            request = build_request(instance.catalogue())
            await _read_answer(await serve_model_request(instance, request))
        assert budget.try_retry()

    run_with_instance(check)


def test_caller_is_asked_to_resume_when_a_peer_stops_answering():
    async def check(instance):
        add_member(instance, 'b-0', 'b')
        instance.views.summaries.merge([Summary('b', 'model', 1, 0)])
        for number in range(2):
            name = f'a-model-{number}'
            instance.views.upstreams.avoid(name)
        instance.connections.peers.chunks = [
            pb.RelayChunk(status=200),
            pb.RelayChunk(body=build_event(0)),
            PeerUnreachableError('b-0'),
        ]
        request = build_request(instance.catalogue())
        text = await _read_answer(await serve_model_request(instance, request))
        assert text == build_event(0) + RESUME

    run_with_instance(check)


def test_refused_call_with_a_ticket_has_an_unknown_outcome():
    async def check(instance):
        request = build_call(instance.catalogue(), 'once', ticket='forged')
        reply = await serve(instance, request)
        assert json.loads(reply.body)['outcome'] == 'unknown'

    run_with_instance(check)


def test_dispatch_at_the_time_of_the_last_report_counts_as_backlog():
    table = UpstreamTable(ManualClock())
    table.begin_request('x')
    assert table.backlog('x') == 1


def test_dispatches_without_load_reports_use_bounded_memory():
    clock = ManualClock()
    table = UpstreamTable(clock)
    for _ in range(1000):
        clock.advance(timedelta(seconds=1))
        table.begin_request('x')
        table.end_request('x', None)
    assert len(table.state('x').dispatched_at) < 10


def test_refusal_before_serving_does_not_prove_not_run():
    async def check(instance):
        client = create_app(instance).test_client()
        instance.clock.advance(timedelta(seconds=10))
        response = await client.post(
            '/v1/services/shop/orders',
            json={},
            headers={
                'Authorization': f'Bearer {TEAM_KEY}',
                'Idempotency-Key': 'ticket',
            },
        )
        problem = await response.get_json(force=True)
        assert problem['type'] == 'urn:masticstage:ticket-undecided'
        assert problem['outcome'] == 'unknown'

    run_with_instance(check)


def test_refusal_of_a_forwarded_call_does_not_prove_not_run():
    async def check(instance):
        written = []

        async def write(chunk):
            written.append(chunk)

        instance.clock.advance(timedelta(seconds=10))
        service = PeerService(instance)
        message = pb.RelayRequest(ticket='ticket', team='team-north')
        await service.relay(message, write)
        problem = json.loads(written[0].body)
        assert problem['outcome'] == 'unknown'

    run_with_instance(check)


def test_caller_accepts_only_a_seal_as_proof_of_not_run():
    def answer(code):
        problem = {'type': f'urn:masticstage:{code}', 'outcome': 'not_run'}
        return read_outcome(httpx.Response(503, json=problem))

    assert answer('not-ready').outcome is Outcome.UNKNOWN
    assert answer('sealed').outcome is Outcome.NOT_RUN
