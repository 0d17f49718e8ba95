"""Which parts of prompts an upstream is believed to hold in memory."""

from collections import OrderedDict
from typing import final

import attrs

from masticstage.forwarding.requests import Prompt

#: Share of an engine's memory that is counted on for parts of past prompts.
#: The rest is taken by running requests.
_CACHE_SHARE = 0.7


@final
@attrs.define
class PromptCache:
    """Parts that were read at one upstream, least recently used first."""

    _capacity: float
    _parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    _held: int = 0

    @classmethod
    def of_memory(cls, tokens: int) -> 'PromptCache':
        """Returns the cache of an engine with this memory."""
        return cls(tokens * _CACHE_SHARE)

    def uncached(self, prompt: Prompt) -> int:
        """Returns the tokens that have to be read; all behind a gap do."""
        cached = 0
        for part in prompt.parts:
            if part.part_id not in self._parts:
                break
            cached += part.tokens
        return max(0, prompt.tokens_in - cached)

    def record_prefill(self, prompt: Prompt) -> None:
        """Notes that an upstream has read the shared parts of a prompt."""
        for part in prompt.shared_prefix:
            if part.part_id not in self._parts:
                self._held += part.tokens
            self._parts[part.part_id] = part.tokens
            self._parts.move_to_end(part.part_id)
        while self._held > self._capacity and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._held -= tokens
