"""Tests of the bound on connections: which one is closed when it is reached."""

import attrs
import pytest
import trio
from trio.testing import MockClock

from masticstage.edges.connection_limits import (
    ConnectionGroup,
    limit_connections,
)
from masticstage.edges.memory_budget import (
    MemoryBudget,
    Phase,
    budget_bytes,
)


@attrs.define(eq=False)
class _Stream:
    """A connection that records whether it was closed."""

    is_closed: bool = False

    def close(self):
        self.is_closed = True

    reset = close


def _admit(phases):
    """Returns a full group, its connections, and the refusals."""
    refusals = []
    group = ConnectionGroup(
        len(phases), MemoryBudget(1000), lambda: refusals.append(1)
    )
    streams = [_Stream() for _ in phases]
    for stream, phase in zip(streams, phases, strict=True):
        assert group.admit(stream)
        group.holding_of(stream).enter(phase)
    return group, streams, refusals


def _check_closed(phases, closed, *, is_admitted=True, wait_s=1):
    async def check():
        group, streams, refusals = _admit(phases)
        await trio.sleep(wait_s)
        new = _Stream()

        assert group.admit(new) == is_admitted
        assert new.is_closed != is_admitted
        assert [stream.is_closed for stream in streams] == closed
        assert refusals

    trio.run(check, clock=MockClock(autojump_threshold=0))


def test_an_idle_connection_gives_way_first():
    _check_closed([Phase.READING, Phase.IDLE], [False, True])


def test_a_request_that_has_stopped_gives_way_to_a_new_connection():
    _check_closed([Phase.HANDLING, Phase.READING], [False, True])


def test_a_request_that_arrives_or_is_handled_does_not_give_way():
    """Guards against callers inside the limits that new ones displace."""
    _check_closed(
        [Phase.HANDLING, Phase.READING],
        [False, False],
        is_admitted=False,
        wait_s=0.1,
    )


def _count_admitted(memory_mb, descriptors):
    """Returns how many connections of callers are admitted at once."""
    admitted = []

    async def check():
        budget = MemoryBudget(budget_bytes(memory_mb))
        callers = limit_connections(descriptors, budget, lambda: None).callers
        stream = _Stream()
        while callers.admit(stream):
            callers.holding_of(stream).enter(Phase.HANDLING)
            admitted.append(stream)
            stream = _Stream()

    trio.run(check)
    return len(admitted)


@pytest.mark.parametrize(
    ('memory_mb', 'descriptors'),
    [(152, 1535), (413, 8192), (430, 6150), (552, 11275)],
)
def test_machines_of_users_admit_what_their_descriptors_allow(
    memory_mb, descriptors
):
    assert _count_admitted(memory_mb, descriptors) == descriptors // 4


def test_little_memory_admits_few_connections_whatever_the_descriptors():
    """Guards against connections that are idle and exhaust the memory."""
    assert 32_768 * _count_admitted(152, 60_000) < 152_000_000 / 4
