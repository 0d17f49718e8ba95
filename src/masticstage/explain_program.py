"""The program masticstage-explain: describes a request from saved logs."""

import sys
from pathlib import Path

import fire

from masticstage.exits import Exit
from masticstage.explain import steps_of


def run(request_id: str, *files: str) -> None:
    """Prints the steps of a request, ordered by time, with their reasons.

    Args:
        request_id: the id that the caller sent.
        files: saved logs of one or more instances, JSON lines.

    """
    missing = [name for name in files if not Path(name).is_file()]
    if missing or not files:
        _exit_with_error(f'log files expected, not found: {", ".join(missing)}')
    lines: list[str] = []
    for name in files:
        lines.extend(Path(name).read_text(errors='replace').splitlines())
    steps = steps_of(str(request_id), lines)
    if not steps:
        _exit_with_error(
            f'request {request_id} not found in {len(lines)} log lines'
        )
    for step in steps:
        sys.stdout.write(f'{step.describe()}\n')


def _exit_with_error(text: str) -> None:
    sys.stderr.write(f'{text}\n')
    sys.exit(Exit.BAD_INPUT)


def main() -> None:
    """Entry point of the program."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
