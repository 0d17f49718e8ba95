"""The program of `make prove-checks`: tests the checks of `bench.prove`.

Runs instances with one deliberate defect each (`bench.broken`) under a fault
that exposes the defect.  Exits with 0 when every variant is caught: the checks
have found a violation.
"""

import json
import sys
from types import MappingProxyType
from typing import Final

import attrs
import fire
import trio

from bench.prove import run_histories


@attrs.frozen
class Expectation:
    """The fault that exposes a variant, and the properties it may violate.

    The variant is caught when at least one of them is violated.
    """

    fault: str
    properties: tuple[str, ...]


EXPECTED: Final = MappingProxyType(
    {
        'rerun_repeats': Expectation('answer_late', ('at_most_once',)),
        'seal_what_is_held': Expectation(
            'kill_owner',
            ('at_most_once', 'not_run'),
        ),
        'ignore_home': Expectation('kill_instance', ('residency',)),
        'go_back': Expectation('stale_platform', ('configuration',)),
        'keep_leaving': Expectation('retire_upstream', ('leaving',)),
        'drain_hastily': Expectation('drain_instance', ('graceful_shutdown',)),
        'need_peers': Expectation('cut_region', ('cut_off_region',)),
    }
)


async def find_violated_properties(
    variant: str,
    seed: int,
    histories: int,
) -> set[str]:
    """Returns the names of the properties that a variant violates."""
    fault = EXPECTED[variant].fault
    planned: list[tuple[str, ...]] = [(fault,) for _ in range(histories)]
    report = await run_histories(seed, min(histories, 4), planned, variant)
    return {violation.name for violation in report.violations}


def run(seed: int = 1, histories: int = 8, only: str = '') -> None:
    """Runs all variants, or only one.

    Args:
        seed: seed of all random choices.
        histories: number of histories for each variant.
        only: name of the variant to run; all when empty.

    """
    missed = 0
    for variant, expected in EXPECTED.items():
        if only not in {'', variant}:
            continue
        found = trio.run(find_violated_properties, variant, seed, histories)
        is_caught = not found.isdisjoint(expected.properties)
        missed += not is_caught
        line = {
            'variant': variant,
            'fault': expected.fault,
            'violated': sorted(found),
            'caught': is_caught,
            'seed': seed,
        }
        sys.stdout.write(f'{json.dumps(line)}\n')
        sys.stdout.flush()
    sys.exit(1 if missed else 0)


if __name__ == '__main__':
    fire.Fire(run)
