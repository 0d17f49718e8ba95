"""Tests of the task that reads one engine's answer."""

from datetime import timedelta

import trio
from trio.testing import wait_all_tasks_blocked

from masticstage.engines import EngineRun, start_reader
from tests.builders import build_document, build_event, build_request
from tests.fakes import build_test_instance


class AdvancingChunks:
    """Advances the instance's clock by a second before each chunk."""

    def __init__(self, chunks):
        """Stores the chunks to be replayed."""
        self._chunks = chunks
        self._instance = None

    def wrap_check(self, check):
        async def wrapped(instance, reader, blocks):
            self._instance = instance
            await check(instance, reader, blocks)

        return wrapped

    def __iter__(self):
        """Yields the chunks."""
        for chunk in self._chunks:
            if self._instance is not None:
                self._instance.clock.advance(timedelta(seconds=1))
            yield chunk


def run_reader(chunks, test):
    async def run():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                instance = build_test_instance(nursery, build_document())
                instance.connections.upstreams.starts = [chunks]
                catalogue = instance.catalogue()
                upstream = catalogue.upstreams['a-model-0']
                request = build_request(catalogue)
                engine_run = EngineRun(request, upstream, 'stream', 1)
                await test(instance, *start_reader(instance, engine_run))
                nursery.cancel_scope.cancel()

    trio.run(run)


def test_engine_is_cancelled_after_the_caller_has_disconnected():
    async def check(instance, reader, blocks):
        await blocks.receive()
        await blocks.aclose()
        await wait_all_tasks_blocked()
        assert instance.connections.upstreams.cancelled == ['a-model-0']

    chunks = AdvancingChunks([build_event(index) for index in range(100)])
    run_reader(chunks, chunks.wrap_check(check))


def test_superseded_reader_ends_without_a_cancellation():
    async def check(instance, reader, blocks):
        received = [block async for block in blocks]
        assert received == [build_event(0)]
        assert reader.superseded
        assert not instance.connections.upstreams.cancelled

    superseded = b'event: superseded\ndata: {}\n\n'
    run_reader([build_event(0), superseded], check)
