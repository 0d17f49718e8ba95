"""Tests of accepting connections."""

import errno
import time

import trio

from masticstage.edges.listening import listen, serve_connections
from tests.edges.deployment import deploy_entry, run_with_timeout
from tests.edges.leaving_callers import connect_at_once

_PROBE = b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n'
_WAITING = 120
_BUSY_S = 0.02
#: Time after which callers give up a request that was not read.
_PATIENCE_S = 1.0


class _BusyLoop(trio.abc.Instrument):
    """Makes each pass of the event loop take long."""

    def after_io_wait(self, timeout):
        time.sleep(_BUSY_S)


@run_with_timeout
async def test_a_busy_instance_accepts_connections_that_wait_together():
    """Guards against one accept a pass: callers wait until they give up."""
    async with deploy_entry(replica_count=0) as deployment:
        address = deployment.gateway.settings.listen.readiness
        callers = [connect_at_once(address) for _ in range(_WAITING)]
        for caller in callers:
            caller.sendall(_PROBE)
        busy = _BusyLoop()
        trio.lowlevel.add_instrument(busy)
        await trio.sleep(_PATIENCE_S)
        trio.lowlevel.remove_instrument(busy)

        assert sum(map(_has_answer, callers)) == _WAITING


def _has_answer(caller):
    caller.setblocking(False)
    try:
        return bool(caller.recv(1))
    except BlockingIOError:
        return False


class _FailingListener:
    """A listening socket of which the first calls fail."""

    def __init__(self, listener, *failures):
        self._listener = listener
        self._failures = list(failures)

    def fileno(self):
        return self._listener.fileno()

    def accept(self):
        if self._failures:
            raise OSError(self._failures.pop(0), 'failed')
        return self._listener.accept()


@run_with_timeout
async def test_accepting_goes_on_after_a_failure():
    failures = []

    async def answer(stream):
        await stream.send(await stream.receive())
        stream.close()

    async with trio.open_nursery() as nursery:
        listener = listen('127.0.0.1:0')
        nursery.start_soon(
            serve_connections,
            _FailingListener(listener, errno.EMFILE, errno.EPROTO),
            answer,
            failures.append,
        )
        host, port = listener.getsockname()
        stream = await trio.open_tcp_stream(host, port)
        await stream.send_all(b'x')
        assert await stream.receive_some() == b'x'
        nursery.cancel_scope.cancel()

    assert failures == ['EMFILE', 'EPROTO']


@run_with_timeout
async def test_little_is_held_for_a_caller_that_reads_slowly():
    """Guards against megabytes of a stream in the buffers of the kernel."""
    unsent = []

    async def fill(stream):
        unsent.append(len(stream.send_now(bytes(8_000_000))))
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listener = listen('127.0.0.1:0')
        nursery.start_soon(serve_connections, listener, fill, None)
        with connect_at_once('127.0.0.1:%d' % listener.getsockname()[1]):
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()

    assert unsent[0] > 7_000_000
