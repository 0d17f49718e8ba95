"""Tests of calls that run at most once, with fakes around an instance."""

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


async def take_ticket(instance):
    request = build_call(instance.catalogue(), 'once')
    asked = attrs.evolve(request, target=TICKET_TARGET)
    reply = await serve(instance, asked)
    return reply.body.decode()


async def send(instance, ticket):
    request = build_call(instance.catalogue(), 'once', ticket=ticket)
    return await serve(instance, request)


def read_code(reply):
    return json.loads(reply.body)['type'].rpartition(':')[2]


def test_repeated_call_runs_once_and_gets_the_same_answer():
    async def check(instance):
        upstreams = instance.connections.upstreams
        upstreams.answers = [b'done']
        ticket = await take_ticket(instance)
        first = await send(instance, ticket)
        second = await send(instance, ticket)
        assert first.body == second.body == b'done'
        assert len(upstreams.called) == 1

    run_with_instance(check)


def test_call_without_an_acknowledgement_is_sealed():
    async def check(instance):
        add_member(instance, 'a-1')
        ticket = await take_ticket(instance)
        for _ in range(2):
            assert read_code(await send(instance, ticket)) == 'sealed'
        assert not instance.connections.upstreams.called

    run_with_instance(check)


def test_call_is_dispatched_after_an_acknowledgement():
    async def check(instance):
        add_member(instance, 'a-1')
        instance.connections.peers.intend_verdict = ACKNOWLEDGED
        instance.connections.upstreams.answers = [b'done']
        ticket = await take_ticket(instance)
        reply = await send(instance, ticket)
        assert reply.body == b'done'
        copied = instance.connections.peers.copied
        assert [outcome.body for outcome in copied] == [b'done']

    run_with_instance(check)


def test_broken_call_stays_unknown_and_is_not_run_again():
    async def check(instance):
        upstreams = instance.connections.upstreams
        upstreams.answers = [UpstreamFailedError('a-shop-0', 'cut'), b'done']
        ticket = await take_ticket(instance)
        for _ in range(2):
            reply = await send(instance, ticket)
            assert read_code(reply) == 'outcome-unknown'
        assert len(upstreams.called) == 1

    run_with_instance(check)


def test_refused_connection_proves_not_run():
    async def check(instance):
        upstreams = instance.connections.upstreams
        upstreams.answers = [UpstreamRefusedError('a-shop-0')]
        ticket = await take_ticket(instance)
        reply = await send(instance, ticket)
        assert read_code(reply) == 'sealed'

    run_with_instance(check)


def test_draining_owner_seals_what_it_has_not_begun():
    async def check(instance):
        ticket = await take_ticket(instance)
        instance.drain.request()
        assert read_code(await send(instance, ticket)) == 'sealed'
        assert not instance.connections.upstreams.called

    run_with_instance(check)


def test_witness_answers_for_an_owner_that_is_gone():
    async def check(instance):
        add_member(instance, 'a-1')
        ticket = build_ticket(instance.clock)
        signed = instance.signer.sign_ticket(ticket)
        peers = instance.connections.peers
        assert read_code(await send(instance, signed)) == 'outcome-unknown'
        sealed = WitnessAnswer(Verdict.SEALED)
        peers.ask_reply = encode_witness_answer(sealed)
        peers.ask_reply.outcome.kind = pb.NOT_RUN
        assert read_code(await send(instance, signed)) == 'sealed'

    run_with_instance(check)


def test_ticket_of_another_team_is_undecided():
    async def check(instance):
        ticket = await take_ticket(instance)
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
        ticket = await take_ticket(instance)
        late = timedelta(seconds=-1)
        request = build_call(
            instance.catalogue(),
            'once',
            ticket=ticket,
            deadline=late,
        )
        await serve(instance, request)
        reply = await send(instance, ticket)
        assert read_code(reply) == 'sealed'
        assert not instance.connections.upstreams.called

    run_with_instance(check)
