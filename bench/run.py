"""The program of `make run`: a short mixed load over separate processes.

The last line of its output is one JSON object with the counts.
"""

import json
import sys
from collections import Counter
from pathlib import Path
from random import Random

import fire
import trio

from bench.callers import collect_history, create_pool
from bench.deployments import DEPLOYMENTS
from bench.fleet import running_fleet
from bench.history import CHECKS, History
from bench.workload import generate_operations
from masticstage.outcomes import Outcome


def summarize(history: History) -> dict[str, int]:
    """Returns the counts that `make run` prints; writes failures to stderr."""
    outcomes = Counter(
        observation.outcome for observation in history.observations
    )
    violations = [
        violation for check in CHECKS.values() for violation in check(history)
    ]
    for violation in violations:
        sys.stderr.write(f'{violation}\n')
    failures = [
        observation
        for observation in history.observations
        if observation.failure
    ]
    for observation in failures:
        sys.stderr.write(
            f'{observation.operation.request_id}: {observation.failure}\n'
        )
    return {
        'requests': len(history.observations),
        'whole_answers': sum(
            observation.text is not None for observation in history.observations
        ),
        'duplicates': sum(count - 1 for count in history.executions().values()),
        'not_run': outcomes[Outcome.NOT_RUN],
        'unknown': outcomes[Outcome.UNKNOWN],
        'failed': len(failures) + len(violations),
    }


async def run_load(
    deployment_name: str,
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> dict[str, int]:
    """Runs one deployment under load and returns the counts."""
    deployment = DEPLOYMENTS[deployment_name]
    random = Random(seed)
    folder = Path('out') / f'run-{deployment_name}'
    async with running_fleet(deployment, folder) as fleet:
        sys.stderr.write(f'{deployment_name}: instances are ready\n')
        pool = create_pool(fleet, random)
        await pool.run(
            generate_operations(deployment, rate_per_s, duration_s, random),
        )
        await pool.close()
        return summarize(collect_history(fleet, pool))


def run(
    deployment: str = 'balkon',
    rate: float = 20.0,
    seconds: float = 8.0,
    seed: int = 1,
) -> None:
    """Runs the load; exits with 0 if nothing failed.

    Duplicate executions and unknown outcomes count as failures.
    """
    counts = trio.run(run_load, deployment, rate, seconds, seed)
    sys.stdout.write(f'{json.dumps(counts)}\n')
    is_clean = not counts['failed'] and not counts['duplicates']
    sys.exit(0 if is_clean and not counts['unknown'] else 1)


if __name__ == '__main__':
    fire.Fire(run)
