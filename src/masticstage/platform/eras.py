"""The era that the store names in its answers."""

from collections.abc import Mapping
from typing import Final

from masticstage.platform import names

#: Largest era that fits into the messages between instances.
_MAX_ERA: Final = 9_223_372_036_854_775_807
_MAX_DIGITS: Final = 19


def read_era(headers: Mapping[str, str]) -> int:
    """Returns the era of an answer, 0 if it names none or no valid one."""
    text = headers.get(names.STORE_ERA, '')
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_DIGITS:
        return 0
    era = int(text)
    return era if era <= _MAX_ERA else 0
