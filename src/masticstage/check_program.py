"""The program masticstage-check: validates a file and lists all its faults."""

import sys
from pathlib import Path

import fire
from returns.result import Failure, Result, Success

from masticstage.configuration import check_configuration
from masticstage.documents import Faults, print_faults, read_toml
from masticstage.exits import Exit
from masticstage.settings import load_settings


def check_settings(path: str) -> None:
    """Validates the settings file of an instance.

    Args:
        path: the file (TOML).

    """
    _print_result(load_settings(Path(path)), path)


def check_published(path: str, version: int = 1) -> None:
    """Validates a configuration before it is published.

    Args:
        path: the file (TOML).
        version: the version number to publish it under.

    """
    checked = read_toml(Path(path)).bind(
        lambda document: check_configuration(version, document),
    )
    _print_result(checked, path)


def _print_result(checked: Result[object, Faults], path: str) -> None:
    match checked:
        case Failure(faults):
            print_faults(faults)
            sys.exit(Exit.BAD_INPUT)
        case Success(_):
            sys.stdout.write(f'{path}: no faults\n')


def main() -> None:
    """Entry point of the program."""
    fire.Fire({'settings': check_settings, 'configuration': check_published})
