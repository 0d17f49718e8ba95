"""Tests of the generations of an answer."""

import trio

from masticstage.generations import AnswerGenerations
from masticstage.placement import build_demand
from tests.builders import build_request
from tests.fakes import report_leaving, run_with_instance


def test_upstream_that_leaves_during_the_wait_is_not_used():
    async def check(instance):
        request = build_request(instance.catalogue())
        demand = build_demand(request, '')
        generations = AnswerGenerations(
            instance, request, demand, 'fingerprint'
        )
        chosen = []

        async def find_isolated_run():
            chosen.append(await generations._next_isolated_run())

        suspects = instance.local_state.suspect_runs
        names = ('a-model-0', 'a-model-1')
        async with trio.open_nursery() as nursery:
            with suspects.track(names[0], True):
                with suspects.track(names[1], True):
                    nursery.start_soon(find_isolated_run)
                    await trio.sleep(0.1)
                    report_leaving(instance, names[0])
        assert chosen[0].upstream.name == names[1]

    for _ in range(4):
        run_with_instance(check)
