"""The program masticstage-explain: one request's life from saved logs."""

import sys
from pathlib import Path

import fire

from masticstage.exits import Exit
from masticstage.explain import life_of


def run(request_id: str, *files: str) -> None:
    """Prints the steps of a request in order, with the reason of each.

    Args:
        request_id: the id as the caller sent it.
        files: saved logs of one or more instances, JSON lines.

    """
    missing = [name for name in files if not Path(name).is_file()]
    if missing or not files:
        _complain(f'log files expected, not found: {", ".join(missing)}')
    lines: list[str] = []
    for name in files:
        lines.extend(Path(name).read_text(errors='replace').splitlines())
    steps = life_of(str(request_id), lines)
    if not steps:
        _complain(f'no line about request {request_id} in {len(lines)} lines')
    for step in steps:
        sys.stdout.write(f'{step.sentence()}\n')


def _complain(text: str) -> None:
    sys.stderr.write(f'{text}\n')
    sys.exit(Exit.BAD_INPUT)


def main() -> None:
    """Entry point of the program."""
    fire.Fire(run)


if __name__ == '__main__':
    main()
