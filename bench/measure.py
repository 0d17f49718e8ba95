"""The program of `make measure`: compares routing policies in a simulation.

Prints one JSON line for each deployment, scenario and policy (medians over the
seeds, with the range of the 99th percentile), then measurements of one
instance on real sockets.
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
    Policy,
    build_gateway,
    build_least_load,
    build_nearest,
    build_round_robin,
)
from bench.simulation import (
    DAY_S,
    RequestRecord,
    Simulation,
    build_simulation,
    generate_arrivals,
)
from bench.throughput import measure_instance

_DURATION_S: Final = 2 * DAY_S
#: Times at which faults start and end.
_FAULT_AT_S: Final = 60.0
_RECOVERY_AT_S: Final = 120.0
_FREEZE_S: Final = 30.0
#: Length of the windows after recovery that are reported separately.
_WINDOW_S: Final = 60.0
_STREAMS: Final = (100, 200, 300)

PolicyBuilder = Callable[[Simulation, Random], Policy]
POLICIES: Final = MappingProxyType[str, PolicyBuilder](
    {
        'chosen': build_gateway,
        'round_robin': build_round_robin,
        'least_load': build_least_load,
        'nearest': build_nearest,
    }
)


@attrs.frozen
class Scenario:
    """A load relative to capacity, and a fault."""

    name: str
    load: float
    inject_fault: Callable[[Simulation], None]


def _inject_nothing(simulation: Simulation) -> None:
    """Injects no fault."""


def _stop_engines(simulation: Simulation) -> None:
    """Stops all engines of one site except the first for a minute."""
    stopped = [engine for engine in simulation.engines if engine.site == 0][1:]

    def set_availability(*, is_up: bool) -> None:
        for engine in stopped:
            engine.is_up = is_up
            engine.cache.clear()
            while engine.queue:
                simulation.shed(engine.queue.pop().arrival)

    simulation.schedule(_FAULT_AT_S, lambda: set_availability(is_up=False))
    simulation.schedule(_RECOVERY_AT_S, lambda: set_availability(is_up=True))


def _isolate_site(simulation: Simulation) -> None:
    """Cuts the links between one site and the others for a minute."""

    def isolate(site: int | None) -> None:
        simulation.isolated_site = site

    simulation.schedule(_FAULT_AT_S, lambda: isolate(0))
    simulation.schedule(_RECOVERY_AT_S, lambda: isolate(None))


def _freeze_reports(simulation: Simulation) -> None:
    """Stops all load reports for half a minute."""

    def freeze(*, is_frozen: bool) -> None:
        simulation.are_reports_frozen = is_frozen

    simulation.schedule(_FAULT_AT_S, lambda: freeze(is_frozen=True))
    simulation.schedule(
        _FAULT_AT_S + _FREEZE_S, lambda: freeze(is_frozen=False)
    )


SCENARIOS: Final = (
    Scenario('load_50', 0.5, _inject_nothing),
    Scenario('load_80', 0.8, _inject_nothing),
    Scenario('load_100', 1.0, _inject_nothing),
    Scenario('load_130', 1.3, _inject_nothing),
    Scenario('region_loss', 0.8, _stop_engines),
    Scenario('partition', 0.8, _isolate_site),
    Scenario('frozen_reports', 0.8, _freeze_reports),
)


def run_trial(
    deployment: Deployment,
    scenario: Scenario,
    build: PolicyBuilder,
    seed: int,
) -> dict[str, float]:
    """Simulates one policy in one scenario; returns its figures."""
    simulation = build_simulation(deployment)
    scenario.inject_fault(simulation)
    route = build(simulation, Random(seed))
    for arrival in generate_arrivals(
        deployment,
        scenario.load,
        _DURATION_S,
        Random(seed),
    ):
        simulation.schedule(arrival.at_s, partial(route, arrival))
    simulation.run()
    return _compute_figures(simulation)


def _compute_figures(simulation: Simulation) -> dict[str, float]:
    served = [
        record for record in simulation.records if record.first_s is not None
    ]
    latencies_s = sorted(_first_token_latency_s(record) for record in served)
    answers_s = sorted(record.end_s - record.arrival.at_s for record in served)
    in_time = [
        record
        for record in served
        if record.end_s - record.arrival.at_s <= record.arrival.timeout_s
    ]
    long_requests = [record for record in served if record.arrival.is_long]
    sent_away = sum(record.site != record.arrival.site for record in served)
    sent_bytes = sum(link.sent_bytes for link in simulation.links.values())
    return {
        'instances': 4,
        'requests': len(simulation.records),
        'first_p50_s': _quantile(latencies_s, 0.5),
        'first_p99_s': _quantile(latencies_s, 0.99),
        'first_p999_s': _quantile(latencies_s, 0.999),
        'return_p99_s': _window_first_p99_s(served, _RECOVERY_AT_S),
        'settled_p99_s': _window_first_p99_s(
            served, _RECOVERY_AT_S + _WINDOW_S
        ),
        'answer_p99_s': _quantile(answers_s, 0.99),
        'cross_region_mb': sent_bytes / 1_000_000,
        'sent_away_share': sent_away / max(len(served), 1),
        'cached_share': sum(record.is_cached for record in long_requests)
        / max(len(long_requests), 1),
        'shed_share': 1 - len(served) / max(len(simulation.records), 1),
        'goodput_per_s': len(in_time) / _DURATION_S,
    }


def _window_first_p99_s(served: list[RequestRecord], start_s: float) -> float:
    """Returns the p99 first-token latency of arrivals in one window."""
    latencies_s = sorted(
        _first_token_latency_s(record)
        for record in served
        if start_s <= record.arrival.at_s < start_s + _WINDOW_S
    )
    return _quantile(latencies_s, 0.99)


def _first_token_latency_s(served: RequestRecord) -> float:
    return (served.first_s or 0) - served.arrival.at_s


def _quantile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return 0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def measure_policies(seed: int, seeds: int) -> Iterator[dict[str, Any]]:
    """Yields one JSON line for each deployment, scenario and policy."""
    for deployment in DEPLOYMENTS.values():
        for scenario in SCENARIOS:
            for policy, build in POLICIES.items():
                trials = [
                    run_trial(deployment, scenario, build, seed + number)
                    for number in range(seeds)
                ]
                first_p99s_s = [trial['first_p99_s'] for trial in trials]
                yield {
                    'deployment': deployment.name,
                    'scenario': scenario.name,
                    'policy': policy,
                    'seed': seed,
                    'seeds': seeds,
                    'first_p99_least_s': round(min(first_p99s_s), 3),
                    'first_p99_most_s': round(max(first_p99s_s), 3),
                    **{
                        name: round(
                            median(figures[name] for figures in trials), 4
                        )
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
