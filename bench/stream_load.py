"""Reads many model answers at once and measures the delay of each token.

Runs as a separate process, so that reading does not disturb the processes that
are measured.  Its only output is one JSON object.
"""

import json
import sys
import time
from random import Random
from typing import Any, Final

import attrs
import fire
import httpx
import trio
from hdrh.histogram import HdrHistogram

_HIGHEST_US: Final = 60_000_000
_SIGNIFICANT_DIGITS: Final = 2
_US_PER_S: Final = 1_000_000
_SENT_AT_KEY: Final = b'"at_s": '
_END_OF_STREAM: Final = b'[DONE]'


@attrs.define
class StreamLoad:
    """Measures delays of tokens from sending by an engine to arrival here."""

    url: str
    key: str
    model: str
    tokens: int
    delays: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT_DIGITS),
    )
    received: int = 0
    whole: int = 0
    failed: int = 0

    async def run(self, streams: int, ramp_s: float) -> None:
        """Opens streams evenly over `ramp_s` seconds; reads them to the end."""
        random = Random(1)
        limits = httpx.Limits(max_connections=None)
        async with (
            httpx.AsyncClient(timeout=60, limits=limits) as client,
            trio.open_nursery() as nursery,
        ):
            for number in range(streams):
                start_s = ramp_s * (number + random.random()) / streams
                nursery.start_soon(self._read_stream, client, number, start_s)

    def describe(self) -> dict[str, Any]:
        """Returns the measurements."""
        return {
            'received': self.received,
            'whole': self.whole,
            'failed': self.failed,
            'p50_ms': self.delays.get_value_at_percentile(50) / 1000,
            'p95_ms': self.delays.get_value_at_percentile(95) / 1000,
            'p99_ms': self.delays.get_value_at_percentile(99) / 1000,
        }

    async def _read_stream(
        self,
        client: httpx.AsyncClient,
        number: int,
        start_s: float,
    ) -> None:
        await trio.sleep(start_s)
        body = {
            'model': self.model,
            'stream': True,
            'max_tokens': self.tokens,
            'messages': [{'role': 'user', 'content': f'question {number}'}],
        }
        headers = {
            'Authorization': f'Bearer {self.key}',
            'X-Request-Id': f'load-{time.time_ns()}-{number}',
        }
        try:
            async with client.stream(
                'POST',
                f'{self.url}/v1/chat/completions',
                json=body,
                headers=headers,
            ) as response:
                response.raise_for_status()
                async for chunk in response.aiter_raw():
                    self._record_tokens(chunk)
        except httpx.HTTPError:
            self.failed += 1

    def _record_tokens(self, chunk: bytes) -> None:
        now_s = time.time()
        for token in chunk.split(_SENT_AT_KEY)[1:]:
            sent_s = float(token.partition(b',')[0])
            delay_us = max(round((now_s - sent_s) * _US_PER_S), 1)
            self.delays.record_value(delay_us)
            self.received += 1
        self.whole += _END_OF_STREAM in chunk


def run(
    url: str,
    key: str,
    model: str,
    streams: int,
    tokens: int,
    ramp_s: float = 4.0,
) -> None:
    """Runs the load and prints the measurements."""
    load = StreamLoad(url, key, model, tokens)
    trio.run(load.run, streams, ramp_s)
    sys.stdout.write(f'{json.dumps(load.describe())}\n')


if __name__ == '__main__':
    fire.Fire(run)
