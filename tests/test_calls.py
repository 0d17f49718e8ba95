"""Tests of at-most-once calls, with fake peers and upstreams."""

import json
from datetime import timedelta

import attrs

from masticstage import peer_pb2 as pb
from masticstage.exceptions import UpstreamFailedError, UpstreamRefusedError
from masticstage.outcomes import Outcome
from masticstage.peer_messages import encode_witness_answer
from masticstage.requests import TICKET_TARGET
from masticstage.serving import serve
from masticstage.tickets import Verdict, WitnessAnswer
from tests.builders import build_call, build_ticket
from tests.fakes import add_member, run_with_instance

ACKNOWLEDGED = pb.WitnessReply.ACKNOWLEDGED
SEALED = pb.WitnessReply.SEALED


async def request_ticket(instance):
    request = build_call(instance.catalogue(), 'once')
    ticket_request = attrs.evolve(request, target=TICKET_TARGET)
    reply = await serve(instance, ticket_request)
    return reply.body.decode()


async def send_call(instance, ticket):
    request = build_call(instance.catalogue(), 'once', ticket=ticket)
    return await serve(instance, request)


def read_problem_code(reply):
    return json.loads(reply.body)['type'].rpartition(':')[2]


def test_retried_call_runs_once_and_gets_the_same_answer():
    async def check(instance):
        upstreams = instance.connections.upstreams
        upstreams.answers = [b'done']
        ticket = await request_ticket(instance)
        first = await send_call(instance, ticket)
        second = await send_call(instance, ticket)
        assert first.body == second.body == b'done'
        assert len(upstreams.called) == 1

    run_with_instance(check)


def test_call_without_an_acknowledgement_is_sealed_and_not_run():
    async def check(instance):
        add_member(instance, 'a-1')
        ticket = await request_ticket(instance)
        for _ in range(2):
            assert (
                read_problem_code(await send_call(instance, ticket)) == 'sealed'
            )
        assert not instance.connections.upstreams.called

    run_with_instance(check)


def test_call_is_dispatched_after_an_acknowledgement():
    async def check(instance):
        add_member(instance, 'a-1')
        instance.connections.peers.intend_verdict = ACKNOWLEDGED
        instance.connections.upstreams.answers = [b'done']
        ticket = await request_ticket(instance)
        reply = await send_call(instance, ticket)
        assert reply.body == b'done'
        copied = instance.connections.peers.copied
        assert [outcome.body for outcome in copied] == [b'done']

    run_with_instance(check)


def test_call_cut_off_by_its_upstream_stays_unknown_and_is_not_run_again():
    async def check(instance):
        upstreams = instance.connections.upstreams
        upstreams.answers = [UpstreamFailedError('a-shop-0', 'cut'), b'done']
        ticket = await request_ticket(instance)
        for _ in range(2):
            reply = await send_call(instance, ticket)
            assert read_problem_code(reply) == 'outcome-unknown'
        assert len(upstreams.called) == 1

    run_with_instance(check)


def test_refused_connection_proves_not_run():
    async def check(instance):
        upstreams = instance.connections.upstreams
        upstreams.answers = [UpstreamRefusedError('a-shop-0')]
        ticket = await request_ticket(instance)
        reply = await send_call(instance, ticket)
        assert read_problem_code(reply) == 'sealed'

    run_with_instance(check)


def test_draining_owner_seals_a_call_that_was_not_started():
    async def check(instance):
        ticket = await request_ticket(instance)
        instance.drain.request()
        assert read_problem_code(await send_call(instance, ticket)) == 'sealed'
        assert not instance.connections.upstreams.called

    run_with_instance(check)


def test_witness_answers_for_an_owner_that_has_stopped():
    async def check(instance):
        add_member(instance, 'a-1')
        ticket = build_ticket(instance.clock)
        signed = instance.signer.sign_ticket(ticket)
        peers = instance.connections.peers
        assert (
            read_problem_code(await send_call(instance, signed))
            == 'outcome-unknown'
        )
        sealed = WitnessAnswer(Verdict.SEALED)
        peers.ask_reply = encode_witness_answer(sealed)
        peers.ask_reply.outcome.kind = pb.NOT_RUN
        assert read_problem_code(await send_call(instance, signed)) == 'sealed'

    run_with_instance(check)


def test_refused_ticket_of_another_team_has_an_unknown_outcome():
    async def check(instance):
        ticket = await request_ticket(instance)
        south = instance.catalogue().teams['team-south']
        request = build_call(
            instance.catalogue(),
            'once',
            ticket=ticket,
            team=south,
        )
        reply = await serve(instance, request)
        assert json.loads(reply.body)['outcome'] == Outcome.UNKNOWN.value
        assert not instance.connections.upstreams.called

    run_with_instance(check)


def test_call_past_its_deadline_is_not_dispatched():
    async def check(instance):
        ticket = await request_ticket(instance)
        past = timedelta(seconds=-1)
        request = build_call(
            instance.catalogue(),
            'once',
            ticket=ticket,
            deadline=past,
        )
        await serve(instance, request)
        reply = await send_call(instance, ticket)
        assert read_problem_code(reply) == 'sealed'
        assert not instance.connections.upstreams.called

    run_with_instance(check)
