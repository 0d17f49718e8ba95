"""Tests of answers with statuses that HTTP does not have, and of early ones."""

from contextlib import asynccontextmanager

import pytest

from masticstage.forwarding.requests import CallKind
from standins.faults import Fault
from tests.edges.deployment import (
    deploy_entry,
    deploy_two_regions,
    run_with_timeout,
)
from tests.forwarding_builders import (
    build_route,
    build_stream_route,
    build_table,
)

#: Too large for the buffers of a connection, so that it is being written when
#: the answer comes.
_UPLOAD = bytes(4_000_000)
_PROMPT = (
    (b'x-token-counts', b'900,50'),
    (b'x-prompt-prefix', b'a1:800,b2:100'),
)
_EARLY = (Fault.EARLY_RESET, Fault.EARLY_LATE_RESET)
#: Attempts of each case, since the order of reading and writing varies.
_TRIES = 5


def _table():
    return build_table(
        1,
        build_route(kind=CallKind.UNSAFE, max_attempts=1),
        build_stream_route(is_resumable=False, max_attempts=1),
    )


@asynccontextmanager
async def _deploy(*, is_relayed):
    if is_relayed:
        async with deploy_two_regions(_table(), 1) as (deployment, _):
            yield deployment
    else:
        async with deploy_entry(_table(), 1) as deployment:
            yield deployment


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize(
    'fault',
    [
        Fault.ZERO_STATUS,
        Fault.LOW_STATUS,
        Fault.HIGH_STATUS,
        Fault.HIGHEST_STATUS,
    ],
)
def test_a_status_that_http_does_not_have_is_no_answer(
    fault, is_stream, is_relayed
):
    """Guards against such answers that are skipped or passed on."""

    @run_with_timeout
    async def check():
        async with _deploy(is_relayed=is_relayed) as deployment:
            deployment.inject_faults(fault)
            path, headers = (
                (b'/ask/1', _PROMPT) if is_stream else (b'/stock/1', ())
            )
            status, _, _ = await deployment.request(path, b'order', *headers)

            assert status == 502
            assert deployment.executed_ids() == ['r-1']

    check()


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('is_stream', [False, True])
@pytest.mark.parametrize('is_reused', [False, True])
@pytest.mark.parametrize('fault', _EARLY)
def test_an_answer_reset_during_the_upload_is_not_complete(
    fault, is_reused, is_stream, is_relayed
):
    """Guards against the error of a write that hides the reset from reads.

    The kernel reports a reset once. If the upload meets it, reading finds what
    looks like an orderly end.
    """

    async def ask(deployment):
        path, headers = (b'/ask/1', _PROMPT) if is_stream else (b'/stock/1', ())
        faults = (Fault.NONE, fault) if is_reused else (fault,)
        deployment.inject_faults(*faults)
        if is_reused:
            await deployment.request(path, b'x', *headers)
        status, _, _, is_complete = await deployment.request_partial(
            path, _UPLOAD, *headers
        )
        assert status != 200 or not is_complete

    @run_with_timeout
    async def check():
        for _ in range(_TRIES):
            async with _deploy(is_relayed=is_relayed) as deployment:
                await ask(deployment)

    check()
