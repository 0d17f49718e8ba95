"""The program of `make capacity`: slopes, projection and plots.

Projects the measured slopes to the size that the users expect and compares
the sum with their budget for control.
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
CHANGES_PER_DAY: Final = 42000
REPLACED_PER_DAY: Final = 1240
#: Budget of control on one instance.
CORE_SHARE: Final = 0.018
MEMORY_BYTES: Final = 256_000_000
BYTES_PER_S: Final = 5000
_PLOT_DPI: Final = 80
_DAY_S: Final = 86400
_US_PER_S: Final = 1_000_000
#: Exchanges that an instance starts and answers in one second.
_EXCHANGES_PER_S: Final = 8
_SPREAD_SIZES: Final = ((50, 4), (200, 8), (800, 32), (2500, 64))


@attrs.frozen
class Projection:
    """Cost of one part of control on one instance at the expected size."""

    part: str
    cpu_us_per_s: float = 0
    memory_bytes: float = 0
    bytes_per_s: float = 0


def project(slopes: dict[str, Slope]) -> list[Projection]:
    """Returns the cost of each part of control at the expected size."""
    near_upstreams = UPSTREAMS / DATA_CENTRES
    changes_per_s = CHANGES_PER_DAY / _DAY_S
    # Each replacement changes a record twice; each change is passed on to
    # every instance about once.
    records_per_exchange = 1 + 2 * REPLACED_PER_DAY / _DAY_S
    near_exchanges = _EXCHANGES_PER_S / 2
    summaries = SERVICES / 2
    configuration_us = (
        slopes['configuration check'].at(UPSTREAMS)
        + slopes['team check'].slope * TEAMS
    )
    return [
        Projection(
            'membership',
            _EXCHANGES_PER_S
            * slopes['gossip processing'].at(records_per_exchange),
            slopes['member memory'].at(INSTANCES),
            _EXCHANGES_PER_S
            * slopes['gossip message'].at(records_per_exchange),
        ),
        Projection(
            'load reports',
            near_exchanges * slopes['load processing'].at(near_upstreams),
            0,
            near_exchanges * slopes['load reports'].at(near_upstreams),
        ),
        Projection(
            'summaries',
            0,
            0,
            near_exchanges * slopes['summaries'].at(summaries),
        ),
        Projection(
            'configuration, whole values',
            changes_per_s * configuration_us,
            slopes['configuration memory'].at(UPSTREAMS),
            changes_per_s * slopes['configuration'].at(UPSTREAMS),
        ),
    ]


def run(plots: str = 'out/plots') -> None:
    """Measures, projects and plots; prints JSON lines.

    Args:
        plots: folder for the plots.

    """
    slopes = {}
    for slope in measure_all():
        slopes[slope.name] = slope
        _print(slope.describe())
        _plot(slope, Path(plots))
    for projection in project(slopes):
        _print(attrs.asdict(projection))
    _print(_budget(project(slopes)))
    for instances, centres in _SPREAD_SIZES:
        _print(attrs.asdict(measure_spread(instances, centres, seed=1)))


def _budget(projections: list[Projection]) -> dict[str, Any]:
    cpu = sum(one.cpu_us_per_s for one in projections) / _US_PER_S
    return {
        'core_share': cpu,
        'core_share_budget': CORE_SHARE,
        'memory_bytes': sum(one.memory_bytes for one in projections),
        'memory_budget': MEMORY_BYTES,
        'bytes_per_s': sum(one.bytes_per_s for one in projections),
        'bytes_per_s_budget': BYTES_PER_S,
    }


def _print(described: dict[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(described)}\n')


def _plot(slope: Slope, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    sizes = [size for size, _ in slope.points]
    figure, axes = pyplot.subplots(figsize=(4, 3), layout='constrained')
    axes.plot(sizes, [cost for _, cost in slope.points], 'o')
    axes.plot(sizes, [slope.at(size) for size in sizes], '-')
    axes.set_xlabel(slope.per)
    axes.set_ylabel(f'{slope.name} ({slope.unit})')
    figure.savefig(
        folder / f'{slope.name.replace(" ", "-")}.png', dpi=_PLOT_DPI
    )
    pyplot.close(figure)


if __name__ == '__main__':
    fire.Fire(run)
