"""Decodes the teams of a configuration. No error message contains a key."""

from typing import Any, TypeGuard

from masticstage.forwarding.teams import (
    Team,
    TeamDirectory,
    TeamEntry,
    TeamLimit,
    build_team_directory,
)
from masticstage.platform.numbers import MAX_COUNT, read_number
from masticstage.platform.texts import read_text

_Fields = dict[str, Any]


def decode_teams(entries: object) -> TeamDirectory | None:
    """Decodes `Tenants`; returns None if there are none.

    Raises an error of decoding for entries with wrong fields. Keys that no
    header can carry are left out and counted.
    """
    if not entries:
        return None
    return build_team_directory(map(_decode_entry, _list(entries)))


def _decode_entry(fields: _Fields) -> TeamEntry:
    # `Unit` only names what limits count; that is always tokens.
    keys = _list(fields.get('ApiKeys') or [])
    usable = tuple(key for key in keys if _is_usable(key))
    team = Team(
        read_text(fields['Name']),
        int(_number(fields, 'Priority')),
        frozenset(map(read_text, _list(fields.get('AllowedRegions') or []))),
        _decode_limit(fields),
    )
    return TeamEntry(team, usable, len(keys) - len(usable))


def _decode_limit(fields: _Fields) -> TeamLimit | None:
    """Returns the limit; a rate of zero means none."""
    rate = _number(fields, 'RatePerS')
    if not rate:
        return None
    return TeamLimit(
        rate, _number(fields, 'Burst'), int(_number(fields, 'PlainTokens'))
    )


def _number(fields: _Fields, name: str) -> float:
    return read_number(fields.get(name) or 0, MAX_COUNT)


def _list(field: object) -> list[Any]:
    if not isinstance(field, list):
        raise TypeError(f'expected a list, got {type(field).__name__}')
    return field


def _is_usable(key: object) -> TypeGuard[str]:
    """Returns whether a header can carry a key."""
    if not isinstance(key, str) or key != key.strip():
        return False
    return bool(key) and key.isascii() and key.isprintable()
