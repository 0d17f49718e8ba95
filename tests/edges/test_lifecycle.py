"""Tests of starting and stopping one instance."""

import httpx
import trio

from bench.ports import wait_for_port
from masticstage.clock import SystemClock
from masticstage.composition.gateways import build_gateway
from masticstage.edges.http_client import OutgoingRequest, connect
from masticstage.edges.lifecycle import run_gateway
from standins.replica import Replica
from tests.edges.deployment import (
    build_entry_settings,
    free_addresses,
    publish_replica,
    run_with_timeout,
)
from tests.forwarding_builders import build_table

_HEADERS = (
    (b'host', b'shop.example'),
    (b'x-deadline-ms', b'4000'),
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)


async def _fetch_status(address, path):
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.get(f'http://{address}{path}')
    return answer.status_code


async def _send_stream_request(gateway, request_id):
    address = gateway.settings.listen.callers
    connection = await connect(address, 1, SystemClock())
    headers = (*_HEADERS, (b'x-request-id', request_id))
    outgoing = OutgoingRequest(b'POST', b'/ask/1', headers, b'question')
    await connection.send(outgoing, gateway.spawn)
    head = await connection.read_head()
    return connection, head


async def _start(nursery, events):
    replica = Replica('model-1', events=events)
    record = await publish_replica(nursery, replica, 'model')
    settings_file = build_entry_settings(*free_addresses(5))
    gateway = build_gateway(settings_file, SystemClock(), nursery)
    gateway.views.fleet.apply('u', record)
    return gateway


@run_with_timeout
async def test_an_instance_is_ready_once_it_has_a_configuration():
    async with trio.open_nursery() as nursery:
        gateway = await _start(nursery, 6)
        nursery.start_soon(run_gateway, gateway)
        readiness = gateway.settings.listen.readiness
        await wait_for_port(readiness)
        assert await _fetch_status(readiness, '/-/ready') == 503

        gateway.views.fleet.apply('c', build_table())

        assert await _fetch_status(readiness, '/-/ready') == 200
        nursery.cancel_scope.cancel()


@run_with_timeout
async def test_a_drain_completes_open_streams_and_then_stops_at_once():
    async with trio.open_nursery() as nursery:
        gateway = await _start(nursery, 250)
        gateway.views.fleet.apply('c', build_table())
        ended = trio.Event()

        async def run():
            async with trio.open_nursery() as gateway_nursery:
                object.__setattr__(gateway, 'nursery', gateway_nursery)
                await run_gateway(gateway)
            ended.set()

        nursery.start_soon(run)
        await wait_for_port(gateway.settings.listen.callers)
        connection, head = await _send_stream_request(gateway, b'r-1')
        assert head.status == 200

        gateway.drain.request()
        await trio.sleep(0.1)
        readiness = gateway.settings.listen.readiness
        assert await _fetch_status(readiness, '/-/ready') == 503
        late, late_head = await _send_stream_request(gateway, b'r-2')
        assert late_head.status == 200
        assert (b'connection', b'close') in late_head.headers

        body = await connection.read_body()
        assert body.count(b'\n\n') == 250
        assert (await late.read_body()).count(b'\n\n') == 250
        with trio.fail_after(3):
            await ended.wait()
        nursery.cancel_scope.cancel()


@run_with_timeout
async def test_entries_list_this_instance():
    async with trio.open_nursery() as nursery:
        gateway = await _start(nursery, 6)
        gateway.views.fleet.apply('c', build_table())
        nursery.start_soon(run_gateway, gateway)
        listen = gateway.settings.listen
        await wait_for_port(listen.entries)
        query = '/-/resolve?Name=shop.example&Region=north&Zone=north-a'
        async with httpx.AsyncClient(trust_env=False) as client:
            answer = await client.get(f'http://{listen.entries}{query}')
        assert answer.json()['Addresses'] == [listen.callers]
        assert await _fetch_status(listen.entries, '/other') == 404
        nursery.cancel_scope.cancel()
