"""The program of `make measure`: the chosen policy against baselines.

Prints one JSON line for each deployment, scenario and policy (the median
over the seeds, with the spread of the tail), then what one instance does
on real sockets.
"""

import json
import sys
from collections.abc import Callable, Iterator
from functools import partial
from random import Random
from statistics import median
from types import MappingProxyType
from typing import Any, Final

import attrs
import fire
import trio

from bench.deployments import DEPLOYMENTS, Deployment
from bench.policies import (
    Route,
    build_chosen,
    build_least_load,
    build_nearest,
    build_round_robin,
)
from bench.policy import (
    PERIOD_S,
    Served,
    World,
    build_world,
    generate_arrivals,
)
from bench.throughput import measure_instance

_DURATION_S: Final = 2 * PERIOD_S
_FAULT_S: Final = 60.0
_HEAL_S: Final = 120.0
_FREEZE_S: Final = 30.0
_WINDOW_S: Final = 60.0
_STREAMS: Final = (100, 200, 300)

Build = Callable[[World, Random], Route]
POLICIES: Final = MappingProxyType[str, Build](
    {
        'chosen': build_chosen,
        'round_robin': build_round_robin,
        'least_load': build_least_load,
        'nearest': build_nearest,
    }
)


@attrs.frozen
class Scenario:
    """A load relative to capacity, and a disturbance."""

    name: str
    load: float
    disturb: Callable[[World], None]


def _leave_alone(world: World) -> None:
    """Disturbs nothing."""


def _lose_engines(world: World) -> None:
    """Takes all but a third of the engines of one place down."""
    lost = [engine for engine in world.engines if engine.place == 0][1:]

    def set_up(*, is_up: bool) -> None:
        for engine in lost:
            engine.is_up = is_up
            engine.cache.clear()
            while engine.queue:
                world.shed(engine.queue.pop().arrival)

    world.at(_FAULT_S, lambda: set_up(is_up=False))
    world.at(_HEAL_S, lambda: set_up(is_up=True))


def _cut_place(world: World) -> None:
    """Cuts one place off from the others for a minute."""

    def cut(place: int | None) -> None:
        world.cut_place = place

    world.at(_FAULT_S, lambda: cut(0))
    world.at(_HEAL_S, lambda: cut(None))


def _freeze_reports(world: World) -> None:
    """Stops all load reports for half a minute."""

    def freeze(*, is_frozen: bool) -> None:
        world.are_reports_frozen = is_frozen

    world.at(_FAULT_S, lambda: freeze(is_frozen=True))
    world.at(_FAULT_S + _FREEZE_S, lambda: freeze(is_frozen=False))


SCENARIOS: Final = (
    Scenario('load_50', 0.5, _leave_alone),
    Scenario('load_80', 0.8, _leave_alone),
    Scenario('load_100', 1.0, _leave_alone),
    Scenario('load_130', 1.3, _leave_alone),
    Scenario('region_loss', 0.8, _lose_engines),
    Scenario('partition', 0.8, _cut_place),
    Scenario('frozen_reports', 0.8, _freeze_reports),
)


def run_trial(
    deployment: Deployment,
    scenario: Scenario,
    build: Build,
    seed: int,
) -> dict[str, float]:
    """Runs one policy in one scenario and returns its figures."""
    world = build_world(deployment)
    scenario.disturb(world)
    route = build(world, Random(seed))
    for arrival in generate_arrivals(
        deployment,
        scenario.load,
        _DURATION_S,
        Random(seed),
    ):
        world.at(arrival.at_s, partial(route, arrival))
    world.run()
    return _figures(world)


def _figures(world: World) -> dict[str, float]:
    served = [one for one in world.served if one.first_s is not None]
    waits_s = sorted(_first_token_s(one) for one in served)
    answers_s = sorted(one.end_s - one.arrival.at_s for one in served)
    in_time = [
        one
        for one in served
        if one.end_s - one.arrival.at_s <= one.arrival.timeout_s
    ]
    long = [one for one in served if one.arrival.is_long]
    away = sum(one.place != one.arrival.place for one in served)
    sent = sum(link.sent_bytes for link in world.links.values())
    return {
        'instances': 4,
        'requests': len(world.served),
        'first_p50_s': _quantile(waits_s, 0.5),
        'first_p99_s': _quantile(waits_s, 0.99),
        'first_p999_s': _quantile(waits_s, 0.999),
        'return_p99_s': _window_p99_s(served, _HEAL_S),
        'settled_p99_s': _window_p99_s(served, _HEAL_S + _WINDOW_S),
        'answer_p99_s': _quantile(answers_s, 0.99),
        'cross_region_mb': sent / 1_000_000,
        'sent_away_share': away / max(len(served), 1),
        'cached_share': sum(one.is_cached for one in long) / max(len(long), 1),
        'shed_share': 1 - len(served) / max(len(world.served), 1),
        'goodput_per_s': len(in_time) / _DURATION_S,
    }


def _window_p99_s(served: list[Served], start_s: float) -> float:
    """Returns the tail of the requests that arrived in one minute."""
    waits_s = sorted(
        _first_token_s(one)
        for one in served
        if start_s <= one.arrival.at_s < start_s + _WINDOW_S
    )
    return _quantile(waits_s, 0.99)


def _first_token_s(served: Served) -> float:
    return (served.first_s or 0) - served.arrival.at_s


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def measure_policies(seed: int, seeds: int) -> Iterator[dict[str, Any]]:
    """Yields one line for each deployment, scenario and policy."""
    for deployment in DEPLOYMENTS.values():
        for scenario in SCENARIOS:
            for policy, build in POLICIES.items():
                trials = [
                    run_trial(deployment, scenario, build, seed + number)
                    for number in range(seeds)
                ]
                tails = [trial['first_p99_s'] for trial in trials]
                yield {
                    'deployment': deployment.name,
                    'scenario': scenario.name,
                    'policy': policy,
                    'seed': seed,
                    'seeds': seeds,
                    'first_p99_least_s': round(min(tails), 3),
                    'first_p99_most_s': round(max(tails), 3),
                    **{
                        name: round(median(one[name] for one in trials), 4)
                        for name in trials[0]
                    },
                }


def run(seed: int = 1, seeds: int = 5, sockets: bool = True) -> None:
    """Measures the policies, then one instance on real sockets.

    Args:
        seed: first seed.
        seeds: number of seeds for each figure.
        sockets: whether to measure one instance on real sockets as well.

    """
    lines = []
    for line in measure_policies(seed, seeds):
        lines.append(line)
        sys.stdout.write(f'{json.dumps(line)}\n')
    _print_table(lines)
    if sockets:
        trio.run(measure_instance, _STREAMS)


def _print_table(lines: list[dict[str, Any]]) -> None:
    columns = (
        'first_p50_s',
        'first_p99_s',
        'cross_region_mb',
        'sent_away_share',
        'cached_share',
        'shed_share',
        'goodput_per_s',
    )
    heading = ' '.join(f'{name:>16}' for name in columns)
    sys.stderr.write(f'{"":44}{heading}\n')
    for line in lines:
        title = f'{line["deployment"]} {line["scenario"]} {line["policy"]}'
        figures = ' '.join(f'{line[name]:>16.3f}' for name in columns)
        sys.stderr.write(f'{title:44}{figures}\n')


if __name__ == '__main__':
    fire.Fire(run)
