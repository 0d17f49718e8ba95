"""Tests of signals that arrive while a program starts."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from masticstage.exits import Exit

_ROOT = Path(__file__).parent.parent
#: Sends the process a signal when it begins to import a module.
_RUN_WITH_SIGNAL = """
import os, runpy, sys

class SendSignal:
    @staticmethod
    def find_spec(name, *_):
        if name == {module!r}:
            os.kill(os.getpid(), {number})

sys.meta_path.insert(0, SendSignal)
runpy.{run}
"""
_ENTRY = "run_path('src/masticstage_entry.py', run_name='__main__')"
_ENTRY_PROGRAM = "run_module('masticstage.entry_program', run_name='__main__')"
_INSTANCE = "run_module('masticstage.instance_program', run_name='__main__')"


@pytest.mark.parametrize(
    ('program', 'module'),
    [
        (_ENTRY, 'trio'),
        (_ENTRY, 'masticstage.edges.lifecycle'),
        (_ENTRY_PROGRAM, 'trio'),
        (_ENTRY_PROGRAM, 'masticstage.edges.lifecycle'),
        (_INSTANCE, 'trio'),
        (_INSTANCE, 'masticstage.lifecycle'),
    ],
)
@pytest.mark.parametrize(
    ('number', 'status'),
    [(signal.SIGHUP, Exit.BAD_INPUT), (signal.SIGTERM, 0), (signal.SIGINT, 0)],
)
def test_a_signal_during_the_imports_does_not_kill_a_program(
    program, module, number, status
):
    """Guards against a start that a reload or a stop ends by a signal.

    Without settings, a start that goes on ends by their fault.
    """
    code = _RUN_WITH_SIGNAL.format(
        module=module, number=int(number), run=program
    )
    ended = subprocess.run(
        [sys.executable, '-c', code],
        cwd=_ROOT,
        env={'PYTHONPATH': 'src'},
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == status, ended.stderr
