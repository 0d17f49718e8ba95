"""Tests of streams of many small events without end, over real sockets."""

from contextlib import suppress

import pytest
import trio

from masticstage.edges.http_client import OutgoingRequest
from masticstage.exceptions import BrokenConnectionError
from tests.edges.deployment import (
    deploy_entry,
    deploy_two_regions,
    run_with_timeout,
)
from tests.edges.endless_servers import endless_server, move_upstreams

#: Time in which users want a look-up to be answered.
_TARGET_S = 0.325
_STREAMS = 4
_PROMPT = (
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)
_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n'
    b'Content-Type: text/event-stream\r\n\r\n'
)
_SHAPES = {
    'comments': b':\n\n',
    'empty': b'\n\n',
    'unnumbered': b'data:\n\n',
    'repeated': b'id: 1\n\n',
}


_LOOK_UPS = 10


async def _read_stream(deployment, number):
    """Asks for a stream and drops what arrives, until it ends."""
    connection = await deployment.open()
    headers = (
        (b'host', b'shop.example'),
        (b'x-request-id', b'stream-%d' % number),
        (b'x-deadline-ms', b'3000'),
        *_PROMPT,
    )
    request = OutgoingRequest(b'POST', b'/ask/1', headers, b'question')
    await connection.send(request, deployment.gateway.spawn)
    with suppress(BrokenConnectionError):
        await connection.read_head()
        while await connection.read_chunk():
            await trio.lowlevel.checkpoint()


async def _time_look_ups(deployment):
    """Returns how long each of some look-ups took, in seconds."""
    times_s = []
    for _ in range(_LOOK_UPS):
        started_s = trio.current_time()
        status, _, _ = await deployment.request(b'/stock/1')
        assert status == 200
        times_s.append(trio.current_time() - started_s)
    return times_s


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('shape', _SHAPES)
def test_small_events_without_end_do_not_slow_other_requests(shape, is_relayed):
    """Guards against streams of which one read takes a pass of the loop."""

    async def check_with(deployment, gateways):
        async with (
            endless_server(_HEAD, _SHAPES[shape]) as address,
            trio.open_nursery() as nursery,
        ):
            for gateway in gateways:
                move_upstreams(gateway, 'model', address)
            for number in range(_STREAMS):
                nursery.start_soon(_read_stream, deployment, number)
            await trio.sleep(0.2)
            times_s = await _time_look_ups(deployment)
            nursery.cancel_scope.cancel()
        assert max(times_s) < _TARGET_S

    @run_with_timeout
    async def check():
        if is_relayed:
            async with deploy_two_regions() as (deployment, far):
                await check_with(deployment, (deployment.gateway, far))
        else:
            async with deploy_entry() as deployment:
                await check_with(deployment, (deployment.gateway,))

    check()
