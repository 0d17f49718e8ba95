"""Requests of callers, as the decisions see them."""

import enum
from datetime import timedelta
from functools import cached_property
from typing import final

import attrs
import xxhash

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]


@enum.unique
class CallKind(enum.Enum):
    """What may be repeated of a request."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@attrs.frozen
class PromptPart:
    """One part of a prompt that requests may share."""

    part_id: str
    tokens: int


@final
@attrs.frozen(slots=False)
class Prompt:
    """What a model has to read and to generate.

    `parts` stand in order; the last one belongs to this request alone.
    """

    parts: tuple[PromptPart, ...]
    tokens_in: int
    tokens_out: int

    @cached_property
    def shared_prefix(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may have in common."""
        return self.parts[:-1]

    @cached_property
    def own_tokens(self) -> int:
        """Prompt tokens that no other request has in common."""
        return self.tokens_in - sum(part.tokens for part in self.shared_prefix)


NO_PROMPT = Prompt((), 0, 0)


@final
@attrs.frozen
class CallerRequest:
    """One whole request of a caller.

    `headers` are those to be passed on, without those that concern one
    connection or that the system sets itself.  `allowance` is the time that
    the caller waits, counted from `arrived` (steady clock).
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    body: bytes
    allowance: timedelta
    arrived: timedelta
    prompt: Prompt = NO_PROMPT
    last_event_id: str = ''

    def fingerprint(self) -> str:
        """Returns a digest of what a repeat by the caller has in common."""
        digest = xxhash.xxh3_128()
        digest.update(self.host.encode())
        digest.update(self.target)
        digest.update(self.body)
        for part in self.prompt.parts:
            digest.update(part.part_id.encode())
        return digest.hexdigest()
