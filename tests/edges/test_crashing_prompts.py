"""Tests of prompts that crash the upstreams which answer them."""

import pytest
import trio

from tests.edges.deployment import (
    deploy_entry,
    deploy_two_regions,
    run_with_timeout,
)
from tests.forwarding_builders import build_stream_route, build_table

_RULES = b'a1:800'
_DEADLY = b'dead:100'
_SOUND = b'b2:100'
#: An id above that of the deadly part.
_GREATER_RULES = b'ffff1:800'
#: Longer than a complete answer keeps a part from being blamed at all.
_PAUSE_S = 2.2
_REPLICAS = 8
#: Upstreams that one part of a prompt may crash before it is refused.
_MAX_CRASHES = 3
#: The same if another part is in all of the crashes.
_MAX_CRASHES_BESIDE = 5


def _prompt(rules, part, number):
    """Returns headers of a prompt whose last part is its own."""
    return (
        (b'x-token-counts', b'%d,50' % (950 + number)),
        (b'x-prompt-prefix', b'%b,%b,f%d:50' % (rules, part, number)),
    )


async def _ask(deployment, part, number, rules=_RULES):
    answer = await deployment.request_partial(
        b'/ask/%d' % number,
        b'question %d' % number,
        *_prompt(rules, part, number),
    )
    # Lets the check of the upstream end, which closes the case of a crash.
    await trio.sleep(0.1)
    return answer


def _make_deadly(deployment):
    for replica in deployment.replicas.values():
        replica.deadly_part = 'dead'


async def _check_crashes(deployment):
    """Asks sound and deadly prompts in turn; few upstreams may crash."""
    for number in range(_REPLICAS):
        await _ask(deployment, _SOUND, number)
        await _ask(deployment, _DEADLY, number)
    assert len(deployment.crashed_names()) <= _MAX_CRASHES


_NOT_RESUMABLE = build_table(1, build_stream_route(is_resumable=False))


def test_different_prompts_with_one_deadly_part_crash_few_upstreams():
    """Guards against blame that falls only on requests as a whole."""

    @run_with_timeout
    async def check():
        async with deploy_entry(_NOT_RESUMABLE, _REPLICAS) as deployment:
            _make_deadly(deployment)
            for number in range(_REPLICAS):
                await _ask(deployment, _SOUND, number)
                status, _, _, _ = await _ask(deployment, _DEADLY, number)
                assert status in {502, 503}
            assert len(deployment.crashed_names()) <= _MAX_CRASHES
            assert status == 503

            sound, _, _, is_complete = await _ask(deployment, _SOUND, 99)
            assert sound == 200
            assert is_complete

    check()


def test_resumable_streams_with_one_deadly_part_crash_few_upstreams():
    """The same for streams that go on at another upstream."""

    @run_with_timeout
    async def check():
        async with deploy_entry(None, _REPLICAS) as deployment:
            _make_deadly(deployment)
            await _check_crashes(deployment)

    check()


def test_sound_prompts_are_served_after_a_pause_with_crashes():
    """Guards against a quarantine of the part that sound prompts begin with.

    Its id is above that of the deadly part, and all crashes have both.
    """

    @run_with_timeout
    async def check():
        async with deploy_entry(_NOT_RESUMABLE, _REPLICAS) as deployment:
            _make_deadly(deployment)
            await _ask(deployment, _SOUND, 0, _GREATER_RULES)
            await trio.sleep(_PAUSE_S)
            for number in range(1, _REPLICAS):
                await _ask(deployment, _DEADLY, number, _GREATER_RULES)
            assert len(deployment.crashed_names()) <= _MAX_CRASHES_BESIDE

            status, _, _, is_complete = await _ask(
                deployment, _SOUND, 99, _GREATER_RULES
            )
            assert status == 200
            assert is_complete

    check()


@pytest.mark.parametrize('dying_s', [0.05, 0.3])
def test_crashes_of_upstreams_that_take_a_moment_to_end_are_counted(dying_s):
    """Guards against a single check that comes before the port is closed."""

    @run_with_timeout
    async def check():
        async with deploy_entry(_NOT_RESUMABLE, _REPLICAS) as deployment:
            _make_deadly(deployment)
            for replica in deployment.replicas.values():
                replica.dying_s = dying_s
            for number in range(_REPLICAS):
                await _ask(deployment, _SOUND, number)
                await _ask(deployment, _DEADLY, number)
                await trio.sleep(2 * dying_s)
            assert len(deployment.crashed_names()) <= _MAX_CRASHES

    check()


def test_a_deadly_part_is_known_in_other_regions():
    """The upstreams are reached through an instance of their region."""

    @run_with_timeout
    async def check():
        async with deploy_two_regions(_NOT_RESUMABLE, _REPLICAS) as (
            deployment,
            _,
        ):
            _make_deadly(deployment)
            await _check_crashes(deployment)

    check()
