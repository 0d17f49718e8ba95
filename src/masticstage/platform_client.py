"""Read-only client for the platform.

The configuration service is watched by long polls.  The directory lists
live and leaving instances and upstreams; it may be out of date.
"""

import json
from typing import Any, Final, final

import attrs
import httpx

from masticstage.bounded_bodies import read_bounded
from masticstage.exceptions import (
    EndlessBodyError,
    PlatformUnavailableError,
)
from masticstage.membership import Liveness, Member, MemberId
from masticstage.rollout import Offer
from masticstage.upstream_table import LoadReport

#: Duration of one long poll; a connection without data is replaced after it.
WATCH_TIMEOUT_S: Final = 10
#: Timeout of an answer, besides the duration of a long poll.
_ANSWER_TIMEOUT_S: Final = 3.0
#: Largest answer that is read: a configuration or a directory of all instances.
_MAX_ANSWER_BYTES: Final = 8_388_608
#: Incarnation of an instance known from the directory only, below all others.
_UNKNOWN_INCARNATION: Final = 0


@attrs.frozen
class Directory:
    """Instances and upstreams as the platform lists them."""

    members: tuple[Member, ...]
    upstreams: tuple[LoadReport, ...]


@final
class PlatformClient:
    """HTTP client for the platform.

    Methods raise `PlatformUnavailableError` on any failure.
    """

    def __init__(self, address: str) -> None:
        """Creates the connection pool for the platform's address."""
        self._client = httpx.AsyncClient(
            base_url=address,
            timeout=_ANSWER_TIMEOUT_S,
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()

    async def watch_configuration(self, above_version: int) -> Offer | None:
        """Waits for a configuration of a version above the given one.

        Returns None if none was published within `WATCH_TIMEOUT_S`.
        """
        query = {'above': above_version, 'wait_s': WATCH_TIMEOUT_S}
        fields = await self._get('/configuration', query)
        try:
            if fields['version'] <= 0:
                return None
            return Offer(int(fields['version']), fields['value'])
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailableError('malformed answer') from error

    async def read_directory(self) -> Directory:
        """Reads the list of instances and upstreams."""
        fields = await self._get('/directory', {})
        try:
            return Directory(
                tuple(_to_member(entry) for entry in fields['instances']),
                tuple(_to_report(entry) for entry in fields['upstreams']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailableError('malformed answer') from error

    async def _get(
        self,
        path: str,
        query: dict[str, int],
    ) -> dict[str, Any]:
        timeout_s = query.get('wait_s', 0) + _ANSWER_TIMEOUT_S
        try:
            async with self._client.stream(
                'GET',
                path,
                params=query,
                timeout=timeout_s,
            ) as response:
                response.raise_for_status()
                body = await read_bounded(response, _MAX_ANSWER_BYTES)
            fields: dict[str, Any] = json.loads(body)
        except (httpx.HTTPError, EndlessBodyError, ValueError) as error:
            reason = type(error).__name__
            raise PlatformUnavailableError(reason) from error
        return fields


def _to_member(entry: dict[str, str]) -> Member:
    return Member(
        MemberId(entry['name'], _UNKNOWN_INCARNATION),
        entry['data_centre'],
        entry['region'],
        entry['peer_address'],
        entry['caller_address'],
        Liveness.SUSPECT,
    )


def _to_report(entry: dict[str, Any]) -> LoadReport:
    return LoadReport(
        entry['name'],
        int(entry['incarnation']),
        0,
        0,
        0,
        leaving=entry['state'] == 'leaving',
    )
