"""Runs an instance from its settings file.

The command line is in `instance_program`, which handles signals before this is
imported.
"""

import sys
from pathlib import Path

import trio
from returns.result import Failure, Success

from masticstage.documents import print_faults
from masticstage.exits import Exit
from masticstage.lifecycle import run_instance
from masticstage.logs import configure_logs
from masticstage.settings import load_settings


def run(settings: str) -> None:
    """Runs an instance until SIGTERM or SIGINT has drained it.

    Args:
        settings: path of the settings file (TOML).

    """
    match load_settings(Path(settings)):
        case Success(loaded):
            configure_logs(loaded.instance.name)
            trio.run(run_instance, loaded)
        case Failure(faults):
            print_faults(faults)
            sys.exit(Exit.BAD_INPUT)
