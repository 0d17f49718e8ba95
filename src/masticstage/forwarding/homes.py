"""Which engine keeps the shared parts of a prompt.

All instances agree on it without a word, as far as they agree on the usable
upstreams; so nobody reads what another has had read elsewhere.
"""

from collections.abc import Sequence
from typing import Final

import xxhash

from masticstage.forwarding.places import Place
from masticstage.forwarding.requests import Prompt

#: Least tokens worth a copy; setting one up takes as long as reading some.
_LEAST_COPY: Final = 500


def home_of(prompt: Prompt, places: Sequence[Place]) -> Place | None:
    """Returns where the shared parts of a prompt are kept."""
    if not prompt.shared or not places:
        return None
    subject = prompt.shared[-1].part_id
    return max(places, key=lambda place: _weight(subject, place))


def source_of(prompt: Prompt, places: Sequence[Place]) -> Place | None:
    """Returns the place that holds the shared parts of a prompt.

    The one that is known to, its home first; else its home, where they are
    read when anybody has asked for them.
    """
    home = home_of(prompt, places)
    if home is None or holds(home, prompt):
        return home
    return next((place for place in places if holds(place, prompt)), home)


def holds(place: Place, prompt: Prompt) -> bool:
    """Tells whether a place is known to hold all shared parts."""
    return place.state.cache.uncached(prompt) <= prompt.own_tokens


def can_copy(place: Place, source: Place) -> bool:
    """Tells whether an engine can copy memory from another."""
    engine = place.plan.engine
    return engine is not None and engine.link_mbps > 0 and source is not place


def plan_fetch(
    place: Place,
    source: Place,
    prompt: Prompt,
    uncached: int,
) -> tuple[str, int]:
    """Returns where to copy shared parts from, and what is left to read."""
    missing = uncached - prompt.own_tokens
    if missing < _LEAST_COPY or not can_copy(place, source):
        return '', uncached
    address = source.known.record.address
    return address, prompt.own_tokens if holds(source, prompt) else uncached


def _weight(subject: str, place: Place) -> int:
    pair = f'{subject}\0{place.known.record.name}'
    return xxhash.xxh3_64_intdigest(pair.encode())
