"""Report of `bench.prove`: violations, coverage and measurements."""

import sys
from collections import Counter
from collections.abc import Iterator
from typing import Any, Final

import attrs

from bench.checks import (
    check_cut_off,
    check_graceful_shutdown,
    check_leaving,
    count_diverted_work,
    operations_while_cut_off,
    operations_while_draining,
)
from bench.faults import FaultLog
from bench.history import CHECKS, History, Observation, Violation
from bench.monitor import (
    ConfigurationMonitor,
    check_configuration,
    seconds_until_active,
)
from bench.workload import ONCE, PRIVATE
from masticstage.outcomes import Outcome

PROPERTIES: Final = (
    'residency',
    'no_loop',
    'cut_off_region',
    'whole_answer',
    'not_run',
    'at_most_once',
    'leaving',
    'graceful_shutdown',
    'configuration',
    'quarantine',
)


#: Longer stalls of broken streams are reported individually.
LONG_STALL_S: Final = 8.0


@attrs.define
class Report:
    """Results of all histories so far.

    `exercised` counts per property, `unknown` and `calls` count per combination
    of faults, such as `kill_engine+publish`. `failures` describes operations
    that got no answer and streams that stalled for long.
    """

    seed: int
    histories: int = 0
    operations: int = 0
    faults: Counter[str] = attrs.field(factory=Counter)
    exercised: Counter[str] = attrs.field(factory=Counter)
    violations: list[Violation] = attrs.field(factory=list)
    unknown: Counter[str] = attrs.field(factory=Counter)
    calls: Counter[str] = attrs.field(factory=Counter)
    stalls_s: list[float] = attrs.field(factory=list)
    activation_delays_s: list[float] = attrs.field(factory=list)
    failures: list[str] = attrs.field(factory=list)

    def add(
        self,
        history: History,
        fault_log: FaultLog,
        monitor: ConfigurationMonitor,
    ) -> None:
        """Checks a history and adds it; prints violations to stderr."""
        found = list(find_violations(history, fault_log, monitor))
        fault = '+'.join(sorted(fault_log.kinds))
        for violation in found:
            sys.stderr.write(f'{fault}: {violation}\n')
        self.histories += 1
        self.operations += len(history.observations)
        self.faults.update(fault_log.kinds)
        self.exercised.update(count_exercised(history, fault_log, monitor))
        self.violations.extend(found)
        for observation in history.observations:
            self._add_observation(fault, observation)
        for published in fault_log.published:
            elapsed_s = seconds_until_active(monitor.samples, published)
            if elapsed_s is not None:
                self.activation_delays_s.append(elapsed_s)

    def property_lines(self) -> Iterator[dict[str, Any]]:
        """Yields one JSON object for each property."""
        violations = Counter(violation.name for violation in self.violations)
        for name in PROPERTIES:
            yield {
                'property': name,
                'histories': self.histories,
                'faults': dict(self.faults),
                'operations': self.operations,
                'exercised': self.exercised[name],
                'violations': violations[name],
                'seed': self.seed,
            }

    def measurements(self) -> dict[str, Any]:
        """Returns the measurements of all histories as a JSON object."""
        return {
            'measure': 'failures',
            'calls': self.calls.total(),
            'unknown': self.unknown.total(),
            'unknown_by_fault': {
                fault: f'{count} of {self.calls[fault]}'
                for fault, count in self.unknown.items()
                if count
            },
            'failed_operations': len(self.failures),
            'broken_streams': len(self.stalls_s),
            'stall_p50_s': _quantile(self.stalls_s, 0.5),
            'stall_worst_s': _quantile(self.stalls_s, 1),
            'in_force_p50_s': _quantile(self.activation_delays_s, 0.5),
            'in_force_worst_s': _quantile(self.activation_delays_s, 1),
            'seed': self.seed,
        }

    def _add_observation(self, fault: str, observation: Observation) -> None:
        request_id = observation.operation.request_id
        if observation.operation.kind == ONCE:
            self.calls[fault] += 1
            self.unknown[fault] += observation.outcome is Outcome.UNKNOWN
        if observation.resumes or observation.restarts:
            self.stalls_s.append(observation.longest_stall_s)
            if observation.longest_stall_s > LONG_STALL_S:
                self.failures.append(
                    f'{fault}: {request_id}: stalled '
                    f'{observation.longest_stall_s:.1f} s',
                )
        if observation.failure and not request_id.startswith('poison'):
            self.failures.append(
                f'{fault}: {request_id}: {observation.failure}'
            )


def find_violations(
    history: History,
    fault_log: FaultLog,
    monitor: ConfigurationMonitor,
) -> Iterator[Violation]:
    """Yields the violations of all properties in a history."""
    for check in CHECKS.values():
        yield from check(history)
    yield from check_configuration(monitor.samples, fault_log)
    yield from check_cut_off(history, fault_log)
    yield from check_leaving(history, fault_log)
    yield from check_graceful_shutdown(history, fault_log)


def count_exercised(
    history: History,
    fault_log: FaultLog,
    monitor: ConfigurationMonitor,
) -> Counter[str]:
    """Counts the cases in which each property could have been violated."""
    observations = history.observations
    return Counter(
        {
            'residency': sum(
                observation.operation.kind == PRIVATE
                for observation in observations
            ),
            'no_loop': sum(
                audit['message'] == 'request transferred'
                for audit in history.audits
            ),
            'cut_off_region': sum(
                len(list(operations_while_cut_off(history, fault_log, cut)))
                for cut in fault_log.cut_off
            ),
            'whole_answer': sum(
                observation.text is not None for observation in observations
            ),
            'not_run': sum(
                observation.sealed_tickets for observation in observations
            ),
            'at_most_once': history.executions().total(),
            'leaving': sum(
                count_diverted_work(history, leaving)
                for leaving in fault_log.leaving
            ),
            'graceful_shutdown': len(
                operations_while_draining(history, fault_log)
            ),
            'configuration': len(monitor.samples),
            'quarantine': sum(
                record['event'] == 'crashed' for record in history.records
            ),
        }
    )


def _quantile(samples: list[float], fraction: float) -> float | None:
    if not samples:
        return None
    position = min(int(fraction * len(samples)), len(samples) - 1)
    return round(sorted(samples)[position], 3)
