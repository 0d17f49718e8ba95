"""Callers of the users' platform, and what they have seen."""

from random import Random
from typing import Final

import attrs
import httpx

from bench.platform_fleet import HOST, PlatformFleet

#: Kinds of requests by the first part of their path.
KINDS: Final = ('plan', 'question', 'order', 'stock')
#: Kinds that may run once at most.
ONCE: Final = frozenset(('plan', 'order'))
#: Statuses that promise that a request has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))
#: Attempts of a caller to find an entry, nearest first.
_LOOK_UPS: Final = 3
_STREAMED: Final = frozenset(('plan', 'question'))
_EVENTS: Final = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(1, 7)
)


@attrs.frozen
class Seen:
    """What a caller saw of one request; status 0 for a broken connection."""

    request_id: str
    kind: str
    status: int
    is_whole: bool

    @property
    def is_false_success(self) -> bool:
        """Whether a success is not the upstream's whole answer."""
        return self.status == httpx.codes.OK and not self.is_whole


async def ask(
    client: httpx.AsyncClient,
    fleet: PlatformFleet,
    random: Random,
    request_id: str,
) -> Seen:
    """Sends one request of a random kind at an entry that is found."""
    kind = random.choice(KINDS)
    address = await _find_entry(client, fleet, random)
    method = 'GET' if kind == 'stock' else 'POST'
    try:
        answer = await client.request(
            method,
            f'http://{address}/{kind}/1',
            headers=_headers(kind, request_id),
            content=None if method == 'GET' else b'body',
        )
    except httpx.HTTPError:
        return Seen(request_id, kind, 0, is_whole=False)
    signature = answer.headers.get('X-Response-Signature', '')
    is_whole = signature.endswith(request_id)
    if kind in _STREAMED:
        is_whole = is_whole and answer.content == _EVENTS
    return Seen(request_id, kind, answer.status_code, is_whole)


def _headers(kind: str, request_id: str) -> dict[str, str]:
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '3000',
    }
    if kind in _STREAMED:
        headers['X-Token-Counts'] = '900,40'
        headers['X-Prompt-Prefix'] = 'a1:800,b2:100'
    return headers


async def _find_entry(
    client: httpx.AsyncClient,
    fleet: PlatformFleet,
    random: Random,
) -> str:
    """Asks some instances which entry to use; the last one if none answers."""
    query = {'Name': HOST, 'Region': 'north', 'Zone': 'north-a'}
    listens = random.sample(list(fleet.listen.values()), _LOOK_UPS)
    for listen in listens:
        try:
            answer = await client.get(
                f'http://{listen["entries"]}/-/resolve',
                params=query,
                timeout=1,
            )
        except httpx.HTTPError:
            continue
        addresses: list[str] = answer.json()['Addresses']
        if addresses:
            return random.choice(addresses)
    return listens[-1]['callers']
