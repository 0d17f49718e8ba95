"""Tests of gossip by datagrams, with the connection as the way back."""

import attrs
import trio

from masticstage import peer_pb2 as pb
from masticstage.edges.datagrams import DatagramSocket
from masticstage.edges.exchange import compose_message
from masticstage.membership import Liveness
from tests.edges.deployment import (
    deploy_two_regions,
    free_addresses,
    run_with_timeout,
)
from tests.forwarding_builders import build_member


def _member(gateway, name):
    return gateway.views.members.find(name)


async def _wait_until(condition):
    while not condition():
        await trio.sleep(0.02)


@run_with_timeout
async def test_views_are_exchanged_by_datagrams_alone():
    async with deploy_two_regions() as (deployment, far):
        near = deployment.gateway
        await _wait_until(lambda: _member(far, 'own') is not None)
        await _wait_until(lambda: near.gossip.misses.get('south') == 0)

        assert not near.connections.gossip.opened
        assert _member(far, 'own').liveness is Liveness.LIVE


@run_with_timeout
async def test_an_unanswered_datagram_is_repeated_over_a_connection():
    async with deploy_two_regions() as (deployment, far):
        near = deployment.gateway
        silent = free_addresses(1)[0]
        own = far.views.members.own
        near.views.members.merge(
            [attrs.evolve(own, gossip_address=silent, heartbeat=9)],
        )
        await _wait_until(lambda: near.connections.gossip.opened)
        await trio.sleep(0.3)

        assert _member(near, 'south').liveness is Liveness.LIVE


@run_with_timeout
async def test_an_instance_without_datagrams_is_asked_over_a_connection():
    """As an older program does not take them."""
    async with deploy_two_regions() as (deployment, far):
        near = deployment.gateway
        own = far.views.members.own
        near.views.members.merge(
            [attrs.evolve(own, gossip_address='', heartbeat=9)],
        )
        await _wait_until(lambda: near.connections.gossip.opened)

        assert _member(near, 'south').liveness is Liveness.LIVE


@run_with_timeout
async def test_an_instance_that_is_gone_is_suspected():
    async with deploy_two_regions() as (deployment, _):
        near = deployment.gateway
        gossip, peers = free_addresses(2)
        lost = attrs.evolve(build_member('lost'), peer_address=peers)
        near.views.members.merge([attrs.evolve(lost, gossip_address=gossip)])
        not_live = (Liveness.SUSPECT, Liveness.GONE)
        with trio.fail_after(4):
            await _wait_until(
                lambda: _member(near, 'lost').liveness in not_live
            )

        assert _member(near, 'south').liveness is Liveness.LIVE


@run_with_timeout
async def test_datagrams_that_are_no_message_change_nothing():
    async with deploy_two_regions() as (deployment, far):
        near = deployment.gateway
        sender = DatagramSocket.bind(free_addresses(1)[0])
        unknown_liveness = compose_message(near, 'north')
        unknown_liveness.members[0].liveness = 77
        unknown_liveness.members[0].member.name = 'x'
        for payload in (
            b'',
            b'\xff' * 100,
            unknown_liveness.SerializeToString(),
            pb.FleetExchange(answer_to=7).SerializeToString(),
        ):
            assert sender.send(payload, near.settings.listen.gossip)
        await _wait_until(lambda: near.gossip.misses.get('south') == 0)
        await trio.sleep(0.1)
        sender.close()

        names = {member.identity.name for member in near.views.members.others()}
        assert names == {'south'}
        assert far.views.members.find('x') is None
