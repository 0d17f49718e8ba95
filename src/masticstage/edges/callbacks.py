"""Callbacks that some objects call and others do not need."""

from collections.abc import Callable

Callback = Callable[[], None]


def do_nothing() -> None:
    """Stands for a callback that is not needed."""
