"""Assigns a home engine to the shared prefix of a prompt.

Rendezvous hashing gives the same result on all instances that know the same
usable upstreams, without messages between them. A prefix is therefore not
prefilled at a second engine because another instance handles the request.
"""

from collections.abc import Iterable, Sequence
from typing import Final

import xxhash

from masticstage.forwarding.candidates import Candidate
from masticstage.forwarding.requests import Prompt

#: Fewest tokens that are copied: setting up a copy takes as long as prefilling
#: some.
_MIN_COPY_TOKENS: Final = 500


def find_prefix_home(
    prompt: Prompt,
    candidates: Sequence[Candidate],
) -> Candidate | None:
    """Returns the candidate with the highest hash for the shared prefix."""
    if not prompt.shared_prefix or not candidates:
        return None
    prefix_id = prompt.shared_prefix[-1].part_id
    return max(
        candidates,
        key=lambda candidate: _hash_pair(prefix_id, candidate),
    )


def find_prefix_source(
    prompt: Prompt,
    candidates: Sequence[Candidate],
    emptied: Iterable[Candidate] = (),
) -> Candidate | None:
    """Returns the engine that holds the shared prefix of a prompt.

    That is the home if it is known to hold the prefix, otherwise a candidate
    that is known to, in this region if there is one, otherwise one of the
    `emptied` engines that is known to, otherwise the home. None for a prefix
    that is too short to matter.
    """
    if sum(part.tokens for part in prompt.shared_prefix) < _MIN_COPY_TOKENS:
        return None
    home = find_prefix_home(prompt, candidates)
    if home is None or holds_prefix(home, prompt):
        return home
    holders = find_holders(prompt, candidates)
    if not holders:
        return next(iter(find_holders(prompt, emptied)), home)
    return next((near for near in holders if near.via is None), holders[0])


def find_holders(
    prompt: Prompt,
    candidates: Iterable[Candidate],
) -> list[Candidate]:
    """Returns the candidates that are known to hold the whole prefix."""
    return [
        candidate for candidate in candidates if holds_prefix(candidate, prompt)
    ]


def holds_prefix(candidate: Candidate, prompt: Prompt) -> bool:
    """Returns whether a candidate is known to hold the whole prefix."""
    return candidate.state.cache.uncached_tokens(prompt) <= prompt.own_tokens


def can_copy(candidate: Candidate, source: Candidate) -> bool:
    """Returns whether an engine can copy cached prefixes from another."""
    engine = candidate.service_config.engine
    return (
        engine is not None and engine.link_mbps > 0 and source is not candidate
    )


def plan_fetch(
    candidate: Candidate,
    source: Candidate,
    prompt: Prompt,
    uncached_tokens: int,
) -> tuple[str, int]:
    """Returns the address to copy a prefix from, and tokens left to prefill."""
    missing_tokens = uncached_tokens - prompt.own_tokens
    if missing_tokens < _MIN_COPY_TOKENS or not can_copy(candidate, source):
        return '', uncached_tokens
    address = source.known_upstream.record.address
    return (
        address,
        prompt.own_tokens if holds_prefix(source, prompt) else uncached_tokens,
    )


def _hash_pair(prefix_id: str, candidate: Candidate) -> int:
    pair = f'{prefix_id}\0{candidate.known_upstream.record.name}'
    return xxhash.xxh3_64_intdigest(pair.encode())
