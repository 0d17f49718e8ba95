"""Tests of what callers get whose requests are open when an instance stops."""

from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
import trio

from bench.ports import wait_for_port
from masticstage.clock import SystemClock
from masticstage.composition.gateways import build_gateway
from masticstage.edges.http_client import OutgoingRequest, connect
from masticstage.edges.lifecycle import run_gateway
from masticstage.exceptions import BrokenConnectionError
from masticstage.forwarding.drain_times import (
    accept_time,
    answer_time,
    stop_time,
)
from masticstage.forwarding.requests import CallKind
from standins.faults import Fault
from standins.replica import Replica
from tests.edges.deployment import (
    build_entry_settings,
    deploy_two_regions,
    free_addresses,
    publish_replica,
    run_with_timeout,
)
from tests.forwarding_builders import build_route, build_table

_GRACE_S = 2.5


@asynccontextmanager
async def _stopping_instance(kind):
    """Runs an instance with a replica that never answers.

    Yields it with an event that is set once it has stopped.
    """
    async with trio.open_nursery() as nursery:
        replica = Replica('shop-1')
        replica.faults.extend((Fault.SILENT, Fault.SILENT))
        record = await publish_replica(nursery, replica, 'shop')
        settings_file = build_entry_settings(
            *free_addresses(5), grace_s=_GRACE_S
        )
        gateway = build_gateway(settings_file, SystemClock(), nursery)
        gateway.views.fleet.apply('u', record)
        route = build_route(kind=kind, limit=timedelta(seconds=9))
        gateway.views.fleet.apply('c', build_table(1, route))
        stopped = trio.Event()

        async def run():
            async with trio.open_nursery() as own_nursery:
                object.__setattr__(gateway, 'nursery', own_nursery)
                await run_gateway(gateway)
            stopped.set()

        nursery.start_soon(run)
        await wait_for_port(gateway.settings.listen.callers)
        yield gateway, stopped
        nursery.cancel_scope.cancel()


async def _request_status(gateway):
    """Returns the status of a complete answer, 0 if the connection closes."""
    connection = await connect(
        gateway.settings.listen.callers, 1, SystemClock()
    )
    headers = (
        (b'host', b'shop.example'),
        (b'x-request-id', b'r-1'),
        (b'x-deadline-ms', b'9000'),
    )
    outgoing = OutgoingRequest(b'POST', b'/stock/1', headers, b'order')
    await connection.send(outgoing, gateway.spawn)
    try:
        head = await connection.read_head()
        await connection.read_body()
    except BrokenConnectionError:
        return 0
    return head.status


@pytest.mark.parametrize('kind', [CallKind.UNSAFE, CallKind.SAFE])
def test_a_request_that_cannot_end_in_time_gets_an_answer(kind):
    """Guards against closed connections at the end of the grace period."""

    @run_with_timeout
    async def check():
        async with _stopping_instance(kind) as (gateway, stopped):
            statuses = []

            async def request():
                statuses.append(await _request_status(gateway))

            async with trio.open_nursery() as callers:
                callers.start_soon(request)
                await trio.sleep(0.1)
                gateway.drain.request()
                await trio.sleep(0.7)
                callers.start_soon(request)
            with trio.fail_after(_GRACE_S):
                await stopped.wait()
            # The upstream may have run both, so neither is called `not run`.
            assert len(statuses) == 2
            assert set(statuses) <= {502, 504}

    check()


@run_with_timeout
async def test_a_request_late_in_the_grace_period_is_refused_at_once():
    async with _stopping_instance(CallKind.UNSAFE) as (gateway, _):
        gateway.drain.request()
        await trio.sleep(accept_time(gateway.grace).total_seconds() + 0.05)
        with trio.fail_after(0.5):
            assert await _request_status(gateway) == 503


@run_with_timeout
async def test_a_relay_late_in_the_grace_period_is_refused():
    """Guards against relays that a stopping instance accepts and cuts."""
    async with deploy_two_regions() as (deployment, far):
        far.activity.drain_started_at = far.clock.elapsed() - timedelta(
            seconds=4
        )
        status, _, _ = await deployment.request(b'/stock/1')

        assert status == 503
        assert not deployment.executed_ids()


@pytest.mark.parametrize('grace_s', [2, 4, 8, 30])
def test_each_step_of_a_stop_leaves_time_for_the_next(grace_s):
    grace = timedelta(seconds=grace_s)
    times = [accept_time(grace), answer_time(grace), stop_time(grace), grace]
    assert times == sorted(set(times))
