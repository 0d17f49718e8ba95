"""Exit codes of the programs."""

import enum


@enum.unique
class Exit(enum.IntEnum):
    """Exit code of a program."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    REFUSED = 3
    UNKNOWN_OUTCOME = 4
