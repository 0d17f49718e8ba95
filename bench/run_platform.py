"""The program of `make run-platform`: a mixed load over the platform's wire.

Store, replicas and instances are stand-ins and programs of this repository,
as separate processes. The last line of the output is one JSON object.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterable
from itertools import repeat
from pathlib import Path
from random import Random
from typing import Any, Final

import fire
import httpx
import trio

from bench.platform_fleet import HOST, PlatformFleet, running_platform

_OK: Final = 200
_KINDS: Final = ('plan', 'question', 'order', 'stock')
_EVENTS: Final = b''.join(
    b'id: %d\ndata: piece %d\n\n' % (number, number) for number in range(1, 7)
)


async def run_load(
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> dict[str, Any]:
    """Runs the load and returns the counts."""
    counts: Counter[str] = Counter()
    async with running_platform(Path('out') / 'run-platform') as fleet:
        sys.stderr.write('instances are ready\n')
        count = int(rate_per_s * duration_s)
        pauses = repeat(1 / rate_per_s, count)
        await _ask_all(fleet, Random(seed), pauses, counts)
        exits = await fleet.stop()
    ended = [name for name, code in exits.items() if _is_entry(name, code)]
    return {
        'requests': counts.total(),
        'whole_answers': counts['whole'],
        'failed': counts['failed'] + len(ended),
    }


async def _ask_all(
    fleet: PlatformFleet,
    random: Random,
    pauses: Iterable[float],
    counts: Counter[str],
) -> None:
    """Asks one request after each pause, at a random entry."""
    async with (
        httpx.AsyncClient(trust_env=False) as client,
        trio.open_nursery() as nursery,
    ):
        for number, pause in enumerate(pauses):
            kind = random.choice(_KINDS)
            entry = random.choice(list(fleet.listen.values()))
            address = await _resolve(client, entry['entries'])
            nursery.start_soon(_ask, client, address, kind, number, counts)
            await trio.sleep(pause)


def _is_entry(name: str, code: int) -> bool:
    """Tells whether an instance did not stop by itself when asked to."""
    return name[-1].isdigit() and code != 0


async def _resolve(client: httpx.AsyncClient, address: str) -> str:
    """Asks an instance which entry to use, as a caller does."""
    query = {'Name': HOST, 'Region': 'north', 'Zone': 'north-a'}
    answer = await client.get(f'http://{address}/-/resolve', params=query)
    return str(answer.json()['Addresses'][0])


async def _ask(
    client: httpx.AsyncClient,
    address: str,
    kind: str,
    number: int,
    counts: Counter[str],
) -> None:
    request_id = f'r-{number}'
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '3000',
    }
    is_stream = kind in {'plan', 'question'}
    if is_stream:
        headers['X-Token-Counts'] = '900,40'
        headers['X-Prompt-Prefix'] = 'a1:800,b2:100'
    method = 'GET' if kind == 'stock' else 'POST'
    try:
        answer = await client.request(
            method,
            f'http://{address}/{kind}/1',
            headers=headers,
            content=None if method == 'GET' else b'body',
        )
    except httpx.HTTPError as error:
        sys.stderr.write(f'{request_id}: {error!r}\n')
        counts['failed'] += 1
        return
    signature = answer.headers.get('X-Response-Signature', '')
    is_whole = answer.status_code == _OK and signature.endswith(request_id)
    if is_stream:
        is_whole = is_whole and answer.content == _EVENTS
    counts['whole' if is_whole else 'failed'] += 1


def run(rate: float = 40.0, seconds: float = 6.0, seed: int = 1) -> None:
    """Runs the load; exits with 0 only when nothing failed."""
    counts = trio.run(run_load, rate, seconds, seed)
    sys.stdout.write(f'{json.dumps(counts)}\n')
    sys.exit(1 if counts['failed'] else 0)


if __name__ == '__main__':
    fire.Fire(run)
