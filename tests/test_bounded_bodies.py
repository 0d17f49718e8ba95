"""Tests of endless answers to the clients of the product's own interface."""

from contextlib import asynccontextmanager, suppress
from datetime import timedelta

import pytest
import trio

from masticstage.configuration_schema import Upstream
from masticstage.exceptions import (
    PlatformUnavailableError,
    UpstreamFailedError,
)
from masticstage.platform_client import PlatformClient
from masticstage.upstream_client import UpstreamClient
from tests.builders import build_catalogue, build_request

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
#: The largest body that is read, and what the buffers of sockets may hold.
_MAX_SENT_BYTES = 8_388_608 + 16_000_000


@asynccontextmanager
async def _endless_server(sent):
    async def respond(stream):
        with suppress(trio.BrokenResourceError):
            await stream.receive_some()
            await stream.send_all(_HEAD)
            while sum(sent) < 10 * _MAX_SENT_BYTES:
                await stream.send_all(b'x' * 65_536)
                sent.append(65_536)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, respond, 0)
        yield f'http://127.0.0.1:{listeners[0].socket.getsockname()[1]}'
        nursery.cancel_scope.cancel()


async def _call(address):
    client = UpstreamClient(timedelta(seconds=5))
    await client.call(
        _upstream(address),
        build_request(build_catalogue()),
        timedelta(seconds=5),
        {},
    )


async def _read_load(address):
    await UpstreamClient(timedelta(seconds=5)).read_load(_upstream(address))


async def _read_directory(address):
    await PlatformClient(address).read_directory()


def _upstream(address):
    return Upstream('shop-1', 'shop', 'north-a', address)


@pytest.mark.parametrize('ask', [_call, _read_load, _read_directory])
def test_an_endless_body_is_cut(ask):
    """Guards against a process that runs out of memory by one answer."""
    sent = []

    async def check():
        with trio.fail_after(20):
            async with _endless_server(sent) as address:
                with pytest.raises(
                    (UpstreamFailedError, PlatformUnavailableError)
                ):
                    await ask(address)

    trio.run(check)
    assert sum(sent) <= _MAX_SENT_BYTES
