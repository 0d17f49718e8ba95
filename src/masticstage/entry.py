"""Runs an entry instance from its settings file.

The command line is in `entry_program`, since importing its library takes an
eighth of the start-up time. Callers of a restarted instance wait for its start.
"""

import gc
import os
import sys
from pathlib import Path
from typing import Final

import trio
from returns.result import Failure, Success

from masticstage.clock import SystemClock
from masticstage.composition.gateways import build_gateway
from masticstage.documents import print_faults
from masticstage.edges.decision_log import unblock_output
from masticstage.edges.lifecycle import run_gateway
from masticstage.edges.reload import SettingsFile, load_entry_settings
from masticstage.exits import Exit

_SETTINGS_VARIABLE: Final = 'MASTICSTAGE_SETTINGS'


def run(settings: str = '') -> None:
    """Runs an entry instance until SIGTERM or SIGINT has drained it.

    Args:
        settings: path of the settings file (TOML); by default the value of the
            environment variable MASTICSTAGE_SETTINGS.

    """
    path = settings or os.environ.get(_SETTINGS_VARIABLE, '')
    match load_entry_settings(Path(path)):
        case Success(loaded):
            unblock_output()
            trio.run(_run, SettingsFile(Path(path), loaded))
        case Failure(faults):
            print_faults(faults)
            sys.exit(Exit.BAD_INPUT)


async def _run(settings_file: SettingsFile) -> None:
    async with trio.open_nursery() as nursery:
        gateway = build_gateway(settings_file, SystemClock(), nursery)
        # The program keeps what exists now, so that is not looked through.
        gc.freeze()
        gc.enable()
        await run_gateway(gateway)
