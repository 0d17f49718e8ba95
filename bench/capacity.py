"""The program of `make capacity`: cost slopes, projections and plots.

Extrapolates the measured slopes to the size that the users expect and compares
the sum with their budget for the control plane.
"""

import json
import sys
from pathlib import Path
from typing import Any, Final

import attrs
import fire
from matplotlib import pyplot

from bench.slopes import Slope, measure_all
from bench.spread import measure_spread

#: The expected size of the system.
INSTANCES: Final = 2500
UPSTREAMS: Final = 10000
DATA_CENTRES: Final = 64
TEAMS: Final = 3700
SERVICES: Final = 29
CONFIGURATION_CHANGES_PER_DAY: Final = 42000
REPLACEMENTS_PER_DAY: Final = 1240
#: Budget for the control plane on one instance.
CORE_SHARE_BUDGET: Final = 0.018
MEMORY_BUDGET_BYTES: Final = 256_000_000
BYTES_PER_S_BUDGET: Final = 5000
_PLOT_DPI: Final = 80
_S_PER_DAY: Final = 86400
_US_PER_S: Final = 1_000_000
#: Gossip exchanges that an instance starts and answers in one second.
_EXCHANGES_PER_S: Final = 8
#: Numbers of instances and of data centres for which spread is simulated.
_SPREAD_SIZES: Final = ((50, 4), (200, 8), (800, 32), (2500, 64))


@attrs.frozen
class Projection:
    """Projected cost of one part of the control plane on one instance."""

    part: str
    cpu_us_per_s: float = 0
    memory_bytes: float = 0
    bytes_per_s: float = 0


def project(slopes: dict[str, Slope]) -> list[Projection]:
    """Returns the cost of each part at the expected size."""
    local_upstreams = UPSTREAMS / DATA_CENTRES
    changes_per_s = CONFIGURATION_CHANGES_PER_DAY / _S_PER_DAY
    # Each replacement changes the record of an instance twice; gossip passes
    # each change on to every instance about once.
    records_per_exchange = 1 + 2 * REPLACEMENTS_PER_DAY / _S_PER_DAY
    local_exchanges_per_s = _EXCHANGES_PER_S / 2
    summaries_per_exchange = SERVICES / 2
    configuration_us = (
        slopes['configuration check'].cost_at(UPSTREAMS)
        + slopes['team check'].slope * TEAMS
    )
    return [
        Projection(
            'membership',
            _EXCHANGES_PER_S
            * slopes['gossip processing'].cost_at(records_per_exchange),
            slopes['member memory'].cost_at(INSTANCES),
            _EXCHANGES_PER_S
            * slopes['gossip message'].cost_at(records_per_exchange),
        ),
        Projection(
            'load reports',
            local_exchanges_per_s
            * slopes['load processing'].cost_at(local_upstreams),
            0,
            local_exchanges_per_s
            * slopes['load reports'].cost_at(local_upstreams),
        ),
        Projection(
            'summaries',
            0,
            0,
            local_exchanges_per_s
            * slopes['summaries'].cost_at(summaries_per_exchange),
        ),
        Projection(
            'configuration, whole values',
            changes_per_s * configuration_us,
            slopes['configuration memory'].cost_at(UPSTREAMS),
            changes_per_s * slopes['configuration'].cost_at(UPSTREAMS),
        ),
    ]


def run(plots: str = 'out/plots') -> None:
    """Measures slopes, projects and plots them; prints JSON lines.

    Args:
        plots: folder for the plots.

    """
    slopes = {}
    for slope in measure_all():
        slopes[slope.name] = slope
        _print_json(slope.describe())
        _save_plot(slope, Path(plots))
    for projection in project(slopes):
        _print_json(attrs.asdict(projection))
    _print_json(_compare_with_budget(project(slopes)))
    for instances, data_centres in _SPREAD_SIZES:
        _print_json(
            attrs.asdict(measure_spread(instances, data_centres, seed=1))
        )


def _compare_with_budget(projections: list[Projection]) -> dict[str, Any]:
    core_share = sum(part.cpu_us_per_s for part in projections) / _US_PER_S
    return {
        'core_share': core_share,
        'core_share_budget': CORE_SHARE_BUDGET,
        'memory_bytes': sum(part.memory_bytes for part in projections),
        'memory_budget': MEMORY_BUDGET_BYTES,
        'bytes_per_s': sum(part.bytes_per_s for part in projections),
        'bytes_per_s_budget': BYTES_PER_S_BUDGET,
    }


def _print_json(line: dict[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(line)}\n')


def _save_plot(slope: Slope, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    sizes = [size for size, _ in slope.points]
    figure, axes = pyplot.subplots(figsize=(4, 3), layout='constrained')
    axes.plot(sizes, [cost for _, cost in slope.points], 'o')
    axes.plot(sizes, [slope.cost_at(size) for size in sizes], '-')
    axes.set_xlabel(slope.per)
    axes.set_ylabel(f'{slope.name} ({slope.unit})')
    figure.savefig(
        folder / f'{slope.name.replace(" ", "-")}.png', dpi=_PLOT_DPI
    )
    pyplot.close(figure)


if __name__ == '__main__':
    fire.Fire(run)
