"""Bounds on names that others wrote."""

from typing import Final

_MAX_TEXT_LENGTH: Final = 512


def read_text(field: object) -> str:
    """Returns a name; it has to fit into headers and log lines.

    Raises TypeError for other types and ValueError for other texts.
    """
    if not isinstance(field, str):
        raise TypeError(f'expected text, got {type(field).__name__}')
    is_printable = field.isascii() and field.isprintable()
    if not 0 < len(field) <= _MAX_TEXT_LENGTH or not is_printable:
        raise ValueError('expected a short text of printable characters')
    return field
