"""Tests of the bound on the bodies of all requests, with ASGI messages."""

import json

import trio
from trio.testing import wait_all_tasks_blocked

from masticstage.bounded_requests import bound_requests
from masticstage.edges.memory_budget import MemoryBudget
from tests.builders import build_document
from tests.fakes import build_test_instance

_SCOPE = {'type': 'http', 'headers': [(b'idempotency-key', b'')]}
_BUDGET_BYTES = 30_000


async def _read_whole_body(scope, receive, send):
    """Stands for the web framework; answers with the length of the body."""
    size = 0
    is_complete = False
    while not is_complete:
        message = await receive()
        size += len(message['body'])
        is_complete = not message['more_body']
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'%d' % size})


class _Caller:
    """A request whose body arrives in parts, and the answer to it."""

    def __init__(self, application):
        self._application = application
        parts, receiver = trio.open_memory_channel(10)
        self._parts = parts
        self._receiver = receiver
        self.messages = []

    @property
    def status(self):
        return self.messages[0]['status']

    async def send_part(self, size, *, more_body=True):
        body = bytes(size)
        await self._parts.send(
            {'type': 'http.request', 'body': body, 'more_body': more_body}
        )
        await wait_all_tasks_blocked()

    async def run(self):
        async def send(message):
            self.messages.append(message)

        await self._application(_SCOPE, self._receiver.receive, send)


def _run(check):
    async def run():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                instance = build_test_instance(nursery, build_document())
                budget = MemoryBudget(_BUDGET_BYTES)
                application = bound_requests(_read_whole_body, instance, budget)

                def start():
                    caller = _Caller(application)
                    nursery.start_soon(caller.run)
                    return caller

                await check(start, budget)
                nursery.cancel_scope.cancel()

    trio.run(run)


def test_a_body_that_fits_is_passed_on():
    async def check(start, budget):
        caller = start()
        await caller.send_part(4_000)
        await caller.send_part(5_000, more_body=False)

        assert caller.messages[-1]['body'] == b'9000'
        assert not budget.total_bytes

    _run(check)


def test_a_body_that_stopped_gives_way_with_a_promise():
    """Guards against bodies that are bounded one by one, not together."""

    async def check(start, budget):
        stopped = start()
        await stopped.send_part(6_000)
        await trio.sleep(0.6)
        moving = start()
        await moving.send_part(6_000)

        assert stopped.status == 503
        headers = dict(stopped.messages[0]['headers'])
        assert headers[b'connection'] == b'close'
        assert float(headers[b'retry-after']) > 0
        problem = json.loads(stopped.messages[1]['body'])
        assert problem['outcome'] == 'not_run'
        await moving.send_part(10, more_body=False)
        assert moving.status == 200
        assert not budget.total_bytes

    _run(check)


def test_a_body_that_never_fits_is_refused():
    async def check(start, budget):
        caller = start()
        await caller.send_part(20_000)

        assert caller.status == 503

    _run(check)
