"""Which engine keeps the shared parts of a prompt, and which read at all.

All instances agree on both without a word, as far as they agree on the usable
upstreams; so nobody reads what another has had read elsewhere.

An engine that reads a long prompt makes a token of every answer there take
several times as long.  So long prompts are read at some engines of a region,
the readers, and the other engines are left to short ones.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import Final

import attrs
import xxhash

from masticstage.forwarding.places import Place
from masticstage.forwarding.requests import Prompt

#: Least tokens worth a copy; setting one up takes as long as reading some.
_LEAST_COPY: Final = 500
#: Own and shared tokens from which a prompt is long: engines read this many
#: between two tokens of other answers.
_LONG_TOKENS: Final = 2048
#: Part of the engines of a region that read long prompts.  At the highest load
#: reading takes two thirds of the time of all engines.
_READING_PART: Final = 0.65
#: Engines of a region from which they are divided. Fewer are needed by both
#: kinds at the peak: divided two to one, plans and questions lost (POLICY.md).
_LEAST_DIVIDED: Final = 8
#: Divisions that are kept: one for each service and change of its upstreams.
_KEPT_ROLES: Final = 8


def is_long(prompt: Prompt) -> bool:
    """Tells whether reading a prompt holds other answers up."""
    return prompt.tokens_in > _LONG_TOKENS


@attrs.frozen
class Roles:
    """Upstreams that read long prompts, and those left to short ones.

    In a region with few of them all are both.
    """

    reading: frozenset[str] = frozenset()
    answering: frozenset[str] = frozenset()

    def suits(self, prompt: Prompt, place: Place) -> bool:
        """Tells whether a place is meant for a prompt of this length."""
        if place.plan.engine is None:
            return True
        suited = self.reading if is_long(prompt) else self.answering
        return place.known.record.name in suited


def roles_of(places: Iterable[Place]) -> Roles:
    """Returns the roles of engines; all instances agree on them."""
    records = (place.known.record for place in places)
    return _divide(tuple((one.region, one.name) for one in records))


@lru_cache(maxsize=_KEPT_ROLES)
def _divide(engines: tuple[tuple[str, str], ...]) -> Roles:
    """Divides engines, given by region and name."""
    by_region: dict[str, list[str]] = {}
    for region, name in engines:
        by_region.setdefault(region, []).append(name)
    reading: set[str] = set()
    answering: set[str] = set()
    for names in by_region.values():
        names.sort(key=_rank)
        is_divided = len(names) >= _LEAST_DIVIDED
        count = round(_READING_PART * len(names))
        reading.update(names[:count] if is_divided else names)
        answering.update(names[count:] if is_divided else names)
    return Roles(frozenset(reading), frozenset(answering))


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


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
