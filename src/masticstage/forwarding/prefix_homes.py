"""Which engine keeps the shared parts of a prompt.

All instances agree on it without a word, as far as they agree on the usable
upstreams; so nobody reads what another has had read elsewhere.
"""

from collections.abc import Sequence
from typing import Final

import xxhash

from masticstage.forwarding.candidates import Candidate
from masticstage.forwarding.requests import Prompt

#: Least tokens worth a copy; setting one up takes as long as reading some.
_LEAST_COPY: Final = 500


def home_of(
    prompt: Prompt, candidates: Sequence[Candidate]
) -> Candidate | None:
    """Returns where the shared parts of a prompt are kept."""
    if not prompt.shared or not candidates:
        return None
    subject = prompt.shared[-1].part_id
    return max(candidates, key=lambda candidate: _weight(subject, candidate))


def source_of(
    prompt: Prompt, candidates: Sequence[Candidate]
) -> Candidate | None:
    """Returns the candidate that holds the shared parts of a prompt.

    The one that is known to, its home first; else its home, where they are
    read when anybody has asked for them.
    """
    home = home_of(prompt, candidates)
    if home is None or holds(home, prompt):
        return home
    return next(
        (candidate for candidate in candidates if holds(candidate, prompt)),
        home,
    )


def holds(candidate: Candidate, prompt: Prompt) -> bool:
    """Tells whether a candidate is known to hold all shared parts."""
    return candidate.state.cache.uncached(prompt) <= prompt.own_tokens


def can_copy(candidate: Candidate, source: Candidate) -> bool:
    """Tells whether an engine can copy memory from another."""
    engine = candidate.plan.engine
    return (
        engine is not None and engine.link_mbps > 0 and source is not candidate
    )


def plan_fetch(
    candidate: Candidate,
    source: Candidate,
    prompt: Prompt,
    uncached: int,
) -> tuple[str, int]:
    """Returns where to copy shared parts from, and what is left to read."""
    missing = uncached - prompt.own_tokens
    if missing < _LEAST_COPY or not can_copy(candidate, source):
        return '', uncached
    address = source.known.record.address
    return address, prompt.own_tokens if holds(source, prompt) else uncached


def _weight(subject: str, candidate: Candidate) -> int:
    pair = f'{subject}\0{candidate.known.record.name}'
    return xxhash.xxh3_64_intdigest(pair.encode())
