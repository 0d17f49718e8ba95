"""Tests of the generations of an answer."""

import trio

from masticstage.generations import Generation
from masticstage.placement import demand_of
from tests.builders import build_request
from tests.fakes import report_leaving, run_with_instance


def test_upstream_that_leaves_during_the_wait_is_not_used():
    async def check(instance):
        request = build_request(instance.catalogue())
        demand = demand_of(request, '')
        generation = Generation(instance, request, demand, 'fingerprint')
        chosen = []

        async def run_apart():
            chosen.append(await generation._run_apart())

        suspects = instance.local_state.suspect_runs
        names = ('a-model-0', 'a-model-1')
        async with trio.open_nursery() as nursery:
            with suspects.track(names[0], True):
                with suspects.track(names[1], True):
                    nursery.start_soon(run_apart)
                    await trio.sleep(0.1)
                    report_leaving(instance, names[0])
        assert chosen[0].upstream.name == names[1]

    for _ in range(4):
        run_with_instance(check)
