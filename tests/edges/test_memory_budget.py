"""Tests of the budget for bytes: who gives way when it is exhausted."""

import trio
from trio.testing import MockClock

from masticstage.edges.memory_budget import MemoryBudget, Phase, budget_bytes
from tests.edges.deployment import run_with_timeout


def _open(budget, phase, size, evicted, name):
    holding = budget.open()
    holding.enter(phase)
    holding.on_eviction(lambda: evicted.append(name))
    holding.hold(size)
    return holding


def _run(check):
    clock = MockClock(autojump_threshold=0)
    trio.run(check, clock=clock)


def test_a_request_that_has_stopped_gives_way_before_a_larger_one():
    """Guards against callers inside the limits that are refused for others."""
    evicted = []

    async def check():
        budget = MemoryBudget(100_000)
        _open(budget, Phase.READING, 10_000, evicted, 'stopped')
        await trio.sleep(1)
        moving = _open(budget, Phase.READING, 50_000, evicted, 'moving')
        moving.hold(95_000)

        assert evicted == ['stopped']
        assert budget.total_bytes == 95_000

    _run(check)


def test_of_several_that_move_the_slowest_and_largest_gives_way():
    evicted = []

    async def check():
        budget = MemoryBudget(100_000)
        slow = _open(budget, Phase.READING, 20_000, evicted, 'slow')
        await trio.sleep(0.4)
        slow.hold(40_000)
        _open(budget, Phase.READING, 30_000, evicted, 'quick')
        _open(budget, Phase.READING, 40_000, evicted, 'last')

        assert evicted == ['slow']

    _run(check)


def test_a_request_that_is_handled_never_gives_way():
    """Guards against requests that ran and whose answers are lost."""
    evicted = []

    async def check():
        budget = MemoryBudget(100_000)
        _open(budget, Phase.HANDLING, 90_000, evicted, 'handled')
        _open(budget, Phase.READING, 20_000, evicted, 'new')

        assert evicted == ['new']
        assert not budget.open().take(20_000)

    _run(check)


def test_an_answer_that_is_not_taken_gives_way():
    evicted = []

    async def check():
        budget = MemoryBudget(100_000)
        _open(budget, Phase.ANSWERING, 90_000, evicted, 'untaken')
        await trio.sleep(3)
        _open(budget, Phase.READING, 20_000, evicted, 'new')

        assert evicted == ['untaken']

    _run(check)


def test_an_answer_that_is_taken_slowly_does_not_count_as_stopped():
    """Guards against slow readers that give way before those that stopped."""
    evicted = []

    async def check():
        budget = MemoryBudget(100_000)
        _open(budget, Phase.ANSWERING, 30_000, evicted, 'untaken')
        slow = _open(budget, Phase.ANSWERING, 60_000, evicted, 'slow')
        for _ in range(3):
            await trio.sleep(1)
            slow.record_progress()
        _open(budget, Phase.READING, 20_000, evicted, 'new')

        assert evicted == ['untaken']

    _run(check)


def test_a_body_behind_a_long_head_counts_as_moving():
    """Guards against requests that stop counting bytes they had before."""

    async def check():
        budget = MemoryBudget(100_000)
        holding = _open(budget, Phase.READING, 32_000, [], 'moving')
        for size in (4_096, 8_192, 12_288):
            await trio.sleep(0.4)
            holding.hold(size)

        assert not holding.has_stopped(trio.current_time())

    _run(check)


@run_with_timeout
async def test_reads_are_small_while_many_connections_are_open():
    """Guards against large reads of many connections at the same time."""
    budget = MemoryBudget(8_000_000)
    first = budget.open()
    assert first.read_bytes == 65_536

    for _ in range(99):
        budget.open()
    assert first.read_bytes == 10_000


@run_with_timeout
async def test_a_connection_that_ended_holds_nothing():
    budget = MemoryBudget(100_000)
    holding = _open(budget, Phase.HANDLING, 90_000, [], 'handled')
    holding.close()
    holding.close()

    assert not budget.total_bytes


def test_one_body_of_the_published_size_fits_the_smallest_machine():
    assert 3 * 4_194_304 < budget_bytes(152)
