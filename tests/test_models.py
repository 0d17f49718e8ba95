"""Tests of model requests, with fake peers and upstreams."""

from datetime import timedelta

from masticstage.models import serve_model_request
from masticstage.serving import serve
from tests.builders import (
    build_event,
    build_request,
)
from tests.fakes import add_member, report_leaving, run_with_instance


def test_abandoned_answer_is_not_counted_as_open():
    async def check(instance):
        events = [build_event(index) for index in range(100)]
        instance.connections.upstreams.starts = [events]
        request = build_request(instance.catalogue())
        reply = await serve_model_request(instance, request)
        await anext(reply.chunks)
        assert instance.local_state.stream_admission.total == 1
        await reply.chunks.aclose()
        assert not instance.local_state.stream_admission.total

    run_with_instance(check)


def test_request_bound_to_another_region_is_refused():
    async def check(instance):
        south = instance.catalogue().teams['team-south']
        request = build_request(instance.catalogue(), 'private', team=south)
        reply = await serve(instance, request)
        assert reply.status == 421
        assert not instance.connections.upstreams.started

    run_with_instance(check)


def test_forwarded_request_is_not_forwarded_again():
    async def check(instance):
        add_member(instance, 'b-0', 'b')
        for number in range(2):
            report_leaving(instance, f'a-model-{number}')
        request = build_request(instance.catalogue(), path=('b',))
        reply = await serve(instance, request)
        assert reply.status == 503
        assert not instance.connections.peers.relayed

    run_with_instance(check)


def test_paused_instance_refuses_until_its_views_are_refreshed():
    async def check(instance):
        request = build_request(instance.catalogue())
        instance.clock.advance(timedelta(seconds=10))
        reply = await serve(instance, request)
        assert reply.status == 503
        assert b'not-ready' in reply.body

    run_with_instance(check)
