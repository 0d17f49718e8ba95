"""The program of `make prove`: checks the guarantees under injected faults.

Several fleets run side by side.  In each history, a fleet is put under load and
one or two faults are injected at random times, determined by the seed.  The
checks compare the records of callers, upstreams and instances.
"""

import json
import sys
from pathlib import Path
from random import Random
from typing import Final

import attrs
import fire
import trio

from bench.callers import CallerPool, collect_history, create_pool
from bench.deployments import DEPLOYMENTS
from bench.faults import FAULTS, FaultLog, inject
from bench.fleet import Fleet, FleetOptions, running_fleet
from bench.monitor import ConfigurationMonitor
from bench.report import Report
from bench.workload import Mix, generate_operations

_LOAD_S: Final = 6.0
#: Duration of the load for faults whose check needs work long after the fault.
_EXTENDED_LOAD_S: Final = 12.0
_EXTENDED_LOAD_FAULTS: Final = frozenset(('retire_upstream',))
_RATE_PER_S: Final = 12.0
_SETTLE_S: Final = 1.0
_EARLIEST_FAULT_S: Final = 0.5
_CALL_DELAY_S: Final = 0.4
_MIX: Final = Mix(call_delay_s=_CALL_DELAY_S)


@attrs.define(eq=False)
class FaultRun:
    """Runs load and faults on one fleet and records them for one history."""

    fleet: Fleet
    pool: CallerPool
    random: Random
    fault_log: FaultLog = attrs.field(factory=FaultLog)
    monitor: ConfigurationMonitor = attrs.field(factory=ConfigurationMonitor)

    async def run(self, kinds: tuple[str, ...]) -> None:
        """Runs load and faults until all operations have ended."""
        operations = generate_operations(
            self.fleet.deployment,
            _RATE_PER_S,
            _EXTENDED_LOAD_S
            if _EXTENDED_LOAD_FAULTS.intersection(kinds)
            else _LOAD_S,
            self.random,
            _MIX,
        )
        async with trio.open_nursery() as background:
            background.start_soon(self.monitor.watch, self.fleet)
            background.start_soon(self.fleet.supervise)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.pool.run, operations)
                for kind in kinds:
                    nursery.start_soon(self._inject, kind)
            await trio.sleep(_SETTLE_S)
            background.cancel_scope.cancel()
        await self.pool.close()

    async def _inject(self, kind: str) -> None:
        await trio.sleep(self.random.uniform(_EARLIEST_FAULT_S, _LOAD_S / 2))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                inject,
                kind,
                self.fleet,
                self.fault_log,
                self.random,
            )
            await trio.sleep(0)
            while self.fault_log.extra_operations:
                operation = self.fault_log.extra_operations.pop()
                nursery.start_soon(self.pool.run_one, operation)


def plan_histories(count: int, random: Random) -> list[tuple[str, ...]]:
    """Returns the faults of each history: first each kind, then pairs."""
    kinds = list(FAULTS)
    planned: list[tuple[str, ...]] = [(kind,) for kind in kinds]
    while len(planned) < count:
        others = random.sample(kinds, len(kinds))
        planned.extend(zip(kinds, others, strict=True))
    return planned[:count]


async def run_fleet(
    fleet_number: int,
    planned: list[tuple[str, ...]],
    report: Report,
    options: FleetOptions,
) -> None:
    """Runs planned histories on one fleet until none are left.

    All fleets share `planned` and remove their next history from its front.
    """
    deployment = list(DEPLOYMENTS.values())[fleet_number % len(DEPLOYMENTS)]
    folder = Path('out') / f'prove-{fleet_number}'
    async with running_fleet(deployment, folder, options) as fleet:
        while planned:
            kinds = planned.pop(0)
            random = Random(f'{report.seed}/{kinds}/{len(planned)}')
            fault_run = FaultRun(fleet, create_pool(fleet, random), random)
            await fault_run.run(kinds)
            history = collect_history(fleet, fault_run.pool)
            report.add(history, fault_run.fault_log, fault_run.monitor)
            _print_progress(fleet_number, kinds, report)


def _print_progress(
    fleet_number: int, kinds: tuple[str, ...], report: Report
) -> None:
    faults = '+'.join(kinds)
    sys.stderr.write(
        f'fleet {fleet_number}: {faults}: {len(report.violations)} violations '
        f'in {report.histories} histories\n',
    )


async def run_histories(
    seed: int,
    fleets: int,
    planned: list[tuple[str, ...]],
    variant: str = '',
) -> Report:
    """Runs all planned histories on `fleets` fleets; returns the report.

    A `variant` of `bench.broken` runs in place of the instances.
    """
    report = Report(seed)
    options = FleetOptions()
    if variant:
        options.program = ('bench.broken', variant)
    async with trio.open_nursery() as nursery:
        for number in range(fleets):
            nursery.start_soon(run_fleet, number, planned, report, options)
    return report


def run(
    seed: int = 1,
    histories: int = 64,
    fleets: int = 4,
    only: str = '',
) -> None:
    """Checks all properties; exits with 0 if there are no violations.

    Args:
        seed: seed of all random choices.
        histories: number of histories.
        fleets: number of fleets that run side by side.
        only: one kind of fault, or several joined by `+`, for all histories.

    """
    planned = plan_histories(histories, Random(seed))
    if only:
        planned = [tuple(only.split('+')) for _ in range(histories)]
    report = trio.run(run_histories, seed, fleets, planned)
    for failure in report.failures:
        sys.stderr.write(f'failed: {failure}\n')
    sys.stdout.write(f'{json.dumps(report.measurements())}\n')
    for line in report.property_lines():
        sys.stdout.write(f'{json.dumps(line)}\n')
    sys.exit(1 if report.violations else 0)


if __name__ == '__main__':
    fire.Fire(run)
