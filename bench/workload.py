"""Generates operations: model requests, calls and lookups."""

import json
from collections.abc import Iterator
from random import Random
from typing import Any, Final

import attrs

from bench.deployments import Deployment

QUESTION: Final = 'question'
PRIVATE: Final = 'private'
ONCE: Final = 'once'
LOOK_UP: Final = 'look-up'
_QUESTION_PREFIX: Final = 'short questions'


@attrs.frozen
class Mix:
    """Shares of the kinds of operations, and their sizes.

    The rest of the operations are lookups.  `long_tokens` and `short_tokens`
    are the lengths of answers; `conversations` is the number of prompt prefixes
    that requests share; calls take up to `call_delay_s`.
    """

    long_share: float = 0.15
    question_share: float = 0.3
    private_share: float = 0.14
    once_share: float = 0.21
    long_tokens: int = 80
    short_tokens: int = 40
    conversations: int = 12
    call_delay_s: float = 0


@attrs.frozen
class Operation:
    """One request of a caller, `at_s` seconds after the start of the load."""

    at_s: float
    request_id: str
    region: str
    kind: str
    body: dict[str, Any]
    timeout_s: float = 40

    def encode(self) -> bytes:
        """Returns the body as the caller sends it."""
        return json.dumps(
            self.body,
            ensure_ascii=False,
            separators=(',', ':'),
        ).encode()


def generate_operations(
    deployment: Deployment,
    rate_per_s: float,
    duration_s: float,
    random: Random,
    mix: Mix | None = None,
) -> Iterator[Operation]:
    """Yields operations with exponentially distributed gaps."""
    chosen = mix or Mix()
    regions = [site.region for site in deployment.sites]
    prefix = random.randbytes(4).hex()
    at_s = random.expovariate(rate_per_s)
    number = 0
    while at_s < duration_s:
        kind = _draw_kind(deployment, chosen, random)
        region = random.choice(regions)
        request_id = f'{prefix}-{number}'
        body = _request_body(deployment, kind, request_id, random, chosen)
        yield Operation(at_s, request_id, region, kind, body)
        at_s += random.expovariate(rate_per_s)
        number += 1


def conversation_prefix(deployment: Deployment, number: int) -> str:
    """Returns the long prompt prefix that a conversation's requests share."""
    line = f'{deployment.name} history {number}: '
    repeats = deployment.shared_bytes // len(line) + 1
    return (line * repeats)[: deployment.shared_bytes]


def _draw_kind(deployment: Deployment, mix: Mix, random: Random) -> str:
    kinds = (deployment.long_kind, QUESTION, PRIVATE, ONCE, LOOK_UP)
    shares = (
        mix.long_share,
        mix.question_share,
        mix.private_share,
        mix.once_share,
    )
    return random.choices(kinds, (*shares, 1 - sum(shares)))[0]


def _request_body(
    deployment: Deployment,
    kind: str,
    request_id: str,
    random: Random,
    mix: Mix,
) -> dict[str, Any]:
    if kind == ONCE:
        delay_s = random.uniform(0, mix.call_delay_s)
        return {'call': request_id, 'delay_s': round(delay_s, 3)}
    if kind == LOOK_UP:
        return {'claim': random.randrange(1000)}
    is_short = kind == QUESTION
    number = random.randrange(mix.conversations)
    prefix = (
        _QUESTION_PREFIX
        if is_short
        else conversation_prefix(deployment, number)
    )
    return {
        'model': deployment.model,
        'stream': True,
        'max_tokens': mix.short_tokens if is_short else mix.long_tokens,
        'messages': [
            {'role': 'system', 'content': prefix},
            {'role': 'user', 'content': f'request {request_id}'},
        ],
    }
