"""Exit codes of the programs."""

import enum


@enum.unique
class Exit(enum.IntEnum):
    """What a program's exit code tells."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNKNOWN_OUTCOME = 4
