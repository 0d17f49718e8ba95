"""Handles signals that arrive before a program has started.

It imports little, since it is called before the imports of the program, which
take most of its start.
"""

import signal
import sys


def handle_early_signals() -> None:
    """Lets SIGTERM and SIGINT end the process with status 0; ignores SIGHUP.

    The settings are read later than that, or again within a second.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _stop)
    signal.signal(signal.SIGINT, _stop)


def _stop(*_: object) -> None:
    sys.exit(0)
