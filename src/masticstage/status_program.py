"""The program masticstage-status: prints the state that instances report."""

import json
import sys
from typing import Any, Final

import fire
import httpx

from masticstage.exits import Exit

_TIMEOUT_S: Final = 3.0


def show(*addresses: str, about: str = '') -> None:
    """Prints the status of instances, one JSON object a line.

    Args:
        addresses: caller addresses of instances (http://host:port).
        about: a request id, ticket id, upstream, member or version whose
            entries of the audit trail are included; `*` includes all.

    """
    answers = [_fetch_status(address, about) for address in addresses]
    for answer in answers:
        sys.stdout.write(f'{json.dumps(answer)}\n')
    if not addresses or any('error' in answer for answer in answers):
        sys.exit(Exit.FAILED)


def _fetch_status(address: str, about: str) -> dict[str, Any]:
    try:
        response = httpx.get(
            f'{address}/v1/status',
            params={'about': about},
            timeout=_TIMEOUT_S,
            trust_env=False,
        )
        status: dict[str, Any] = response.json()
    except (httpx.HTTPError, ValueError) as error:
        return {'address': address, 'error': type(error).__name__}
    return status


def main() -> None:
    """Entry point of the program."""
    fire.Fire(show)
