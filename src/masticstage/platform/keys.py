"""Reads the keys of callers, and names their teams to upstreams."""

from masticstage.forwarding.requests import Headers
from masticstage.platform import names


def read_key(headers: Headers) -> str:
    """Returns the key in a caller's headers, empty without exactly one."""
    credentials = [
        text for name, text in headers if name == names.AUTHORIZATION
    ]
    if len(credentials) != 1:
        return ''
    scheme, _, key = credentials[0].partition(b' ')
    if scheme.lower() != names.KEY_SCHEME:
        return ''
    return key.strip().decode('latin-1')


def name_team(headers: Headers, team_name: str) -> Headers:
    """Replaces the key and the caller's own name of a team.

    `team_name` is empty for requests without a team.
    """
    kept = tuple(
        header for header in headers if header[0] not in names.TEAM_HEADERS
    )
    if not team_name:
        return kept
    return (*kept, (names.TEAM, team_name.encode('latin-1')))
