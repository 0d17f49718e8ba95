"""Requests of callers, independent of the platform's format."""

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
    """Kind of a call, which determines whether it may be retried."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@attrs.frozen
class PromptPart:
    """A part of a prompt that requests may have in common."""

    part_id: str
    tokens: int


@final
@attrs.frozen(slots=False)
class Prompt:
    """A prompt, and the number of tokens to read and to generate.

    `parts` are in the order of the text. The last one occurs only in this
    request.
    """

    parts: tuple[PromptPart, ...]
    tokens_in: int
    tokens_out: int

    @cached_property
    def shared_prefix(self) -> tuple[PromptPart, ...]:
        """All parts but the last; other requests may start with the same."""
        return self.parts[:-1]

    @cached_property
    def own_tokens(self) -> int:
        """Prompt tokens after the shared prefix, 0 if counts contradict it."""
        shared = sum(part.tokens for part in self.shared_prefix)
        return max(0, self.tokens_in - shared)


NO_PROMPT = Prompt((), 0, 0)


@final
@attrs.frozen
class CallerRequest:
    """A complete request of a caller.

    `headers` are those to forward, without hop-by-hop headers and those that
    the gateway sets itself. `allowance` is the time that the caller waits from
    `arrived`, which is on the monotonic clock. `key` is that of the caller's
    team, empty without one; until the team is known, the headers hold it too.
    `counted_tokens` is what the request counts for a limit, None if it does not
    state that. A caller that takes a stream up again behind `last_event_id`
    names in `resumes` the request whose answer brought its first event.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers = attrs.field(repr=False)
    body: bytes
    allowance: timedelta
    arrived: timedelta
    prompt: Prompt = NO_PROMPT
    last_event_id: str = ''
    key: str = attrs.field(default='', repr=False)
    counted_tokens: int | None = None
    resumes: str = ''

    def fingerprint(self) -> str:
        """Returns a digest that is equal for a retry by the caller."""
        digest = xxhash.xxh3_128()
        digest.update(self.host.encode())
        digest.update(self.target)
        digest.update(self.body)
        for part in self.prompt.parts:
            digest.update(part.part_id.encode())
        return digest.hexdigest()
