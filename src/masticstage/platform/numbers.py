"""Bounds on numbers that others wrote, so that later arithmetic cannot fail."""

from datetime import timedelta
from typing import Final

from masticstage.clock import milliseconds

#: Bounds on counts and durations; no sensible value comes near them.
MAX_COUNT: Final = 1_000_000_000_000_000
MAX_DURATION_MS: Final = 10_000_000_000


def read_number(field: object, highest: float) -> float:
    """Returns a number from 0 to `highest`.

    Raises TypeError for other types and ValueError for other numbers.
    """
    if isinstance(field, bool) or not isinstance(field, (int, float)):
        raise TypeError(f'expected a number, got {type(field).__name__}')
    if not 0 <= field <= highest:
        raise ValueError(f'expected a number from 0 to {highest}')
    return field


def read_duration(field: object) -> timedelta:
    """Returns a duration that is given in milliseconds.

    Raises TypeError for other types and ValueError for numbers out of range.
    """
    return milliseconds(read_number(field, MAX_DURATION_MS))
