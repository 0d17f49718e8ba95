"""Sends requests as callers of the users' platform and checks the answers."""

import socket
import struct
import time
from random import Random
from typing import Final

import attrs
import httpx
import trio

from bench.platform_fleet import HOST, PlatformFleet

#: Kinds of requests; the first segment of their path.
KINDS: Final = ('plan', 'question', 'order', 'stock')
#: Kinds that must not run more than once.
AT_MOST_ONCE_KINDS: Final = frozenset(('plan', 'order'))
#: Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
#: Number of instances that a caller asks for an entry, one after another.
_LOOK_UP_ATTEMPTS: Final = 3
#: Longest time after which a refused caller comes back. Connections to
#: upstreams are kept for 0.25 s for calls that may run once.
_LONGEST_RETURN_S: Final = 0.3
#: Share of the refused callers that come back with the same id.
_SAME_ID_SHARE: Final = 0.5
#: Longest time for which a caller that leaves waits, and the share of those
#: that reset their connection.
_LONGEST_STAY_S: Final = 0.3
_RESET_SHARE: Final = 0.5
_RESET: Final = struct.pack('ii', 1, 0)
_STREAMED_KINDS: Final = frozenset(('plan', 'question'))
_EXPECTED_EVENTS: Final = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(1, 7)
)


@attrs.frozen
class RequestResult:
    """The result of one request; status 0 for a broken connection."""

    request_id: str
    kind: str
    status: int
    is_whole: bool

    @property
    def is_refused(self) -> bool:
        """Whether the status promises that the request has not run."""
        return self.status in NOT_RUN_STATUSES

    @property
    def is_false_success(self) -> bool:
        """Whether a successful status came without the whole answer."""
        return self.status == httpx.codes.OK and not self.is_whole


@attrs.frozen
class Departure:
    """When the caller of a request left, in seconds since 1970."""

    request_id: str
    left_at: float


async def send_request(
    client: httpx.AsyncClient,
    fleet: PlatformFleet,
    random: Random,
    request_id: str,
    kind: str = '',
) -> RequestResult:
    """Looks up an entry and sends it a request of a kind, or a random one."""
    kind = kind or random.choice(KINDS)
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
        return RequestResult(request_id, kind, 0, is_whole=False)
    signature = answer.headers.get('X-Response-Signature', '')
    is_whole = signature.endswith(request_id)
    if kind in _STREAMED_KINDS:
        is_whole = is_whole and answer.content == _EXPECTED_EVENTS
    return RequestResult(request_id, kind, answer.status_code, is_whole)


def _headers(kind: str, request_id: str) -> dict[str, str]:
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '3000',
    }
    if kind in _STREAMED_KINDS:
        headers['X-Token-Counts'] = '900,40'
        headers['X-Prompt-Prefix'] = 'a1:800,b2:100'
    return headers


async def send_until_taken(
    client: httpx.AsyncClient,
    fleet: PlatformFleet,
    random: Random,
    request_id: str,
) -> list[RequestResult]:
    """Sends a request and once more if it is refused; returns the results.

    Half of the refused ones keep their id, so that only the last result counts.
    """
    refused = await send_request(client, fleet, random, request_id)
    if not refused.is_refused:
        return [refused]
    await trio.sleep(random.uniform(0, _LONGEST_RETURN_S))
    if random.random() < _SAME_ID_SHARE:
        return [
            await send_request(client, fleet, random, request_id, refused.kind)
        ]
    again = await send_request(
        client, fleet, random, f'{request_id}-again', refused.kind
    )
    return [refused, again]


async def send_and_leave(
    client: httpx.AsyncClient,
    fleet: PlatformFleet,
    random: Random,
    request_id: str,
) -> Departure:
    """Sends a request and leaves without reading the answer.

    It goes to an instance that stands still, if there is one. Some callers
    send more before they leave, and some reset the connection.
    """
    kind = random.choice(KINDS)
    paused = sorted(fleet.paused & set(fleet.listeners))
    if paused:
        address = fleet.listeners[paused[0]]['callers']
    else:
        address = await _find_entry(client, fleet, random)
    host, _, port = address.rpartition(':')
    stays_s = random.choice((0, random.uniform(0, _LONGEST_STAY_S)))
    followed_by = random.choice((b'', b'\r\n', b'GET / HTTP/1.1\r\n'))
    try:
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(_encode(kind, request_id) + followed_by)
        await trio.sleep(stays_s)
    except (OSError, trio.BrokenResourceError):
        return Departure(request_id, time.time())
    if random.random() < _RESET_SHARE:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    stream.socket.close()
    return Departure(request_id, time.time())


def _encode(kind: str, request_id: str) -> bytes:
    method = 'GET' if kind == 'stock' else 'POST'
    body = '' if method == 'GET' else 'body'
    fields = {**_headers(kind, request_id), 'Content-Length': str(len(body))}
    head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    return f'{method} /{kind}/1 HTTP/1.1\r\n{head}\r\n{body}'.encode()


async def _find_entry(
    client: httpx.AsyncClient,
    fleet: PlatformFleet,
    random: Random,
) -> str:
    """Returns the address of an entry for callers.

    Asks a few instances; when none names an entry, returns the address of the
    last one asked.
    """
    query = {'Name': HOST, 'Region': 'north', 'Zone': 'north-a'}
    instances = random.sample(list(fleet.listeners.values()), _LOOK_UP_ATTEMPTS)
    for listeners in instances:
        try:
            answer = await client.get(
                f'http://{listeners["entries"]}/-/resolve',
                params=query,
                timeout=1,
            )
        except httpx.HTTPError:
            continue
        addresses: list[str] = answer.json()['Addresses']
        if addresses:
            return random.choice(addresses)
    return instances[-1]['callers']
