"""Estimates which prompt parts an upstream has cached."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import final

import attrs

from masticstage.forwarding.requests import Prompt, PromptPart

#: Fraction of an engine's memory that is assumed to hold parts of past prompts.
#: Running requests use the rest.
_CACHE_SHARE = 0.7


@final
@attrs.define
class PromptCache:
    """Parts that one upstream has prefilled, least recently used first."""

    _capacity: float
    _parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    _cached_tokens: int = 0

    @classmethod
    def of_memory(cls, tokens: int) -> 'PromptCache':
        """Returns the cache of an engine with this memory, in tokens."""
        return cls(tokens * _CACHE_SHARE)

    @property
    def has_memory(self) -> bool:
        """Whether anything can be cached; not before the memory is known."""
        return self._capacity > 0

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Returns the tokens to prefill: all after the first missing part."""
        cached = 0
        for part in prompt.parts:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return max(0, prompt.tokens_in - cached)

    def record_prefill(self, prompt: Prompt) -> None:
        """Records that an upstream has prefilled the shared prefix."""
        self.record_parts(prompt.shared_prefix)

    def record_parts(self, parts: Iterable[PromptPart]) -> None:
        """Records that an upstream holds consecutive parts of a prompt."""
        for part in parts:
            if part.part_id not in self._parts:
                self._cached_tokens += part.tokens
            self._parts[part.part_id] = part.tokens
            self._parts.move_to_end(part.part_id)
        while self._cached_tokens > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._cached_tokens -= tokens
