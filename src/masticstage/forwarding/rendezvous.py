"""Rendezvous hashing: all that know the same names choose the same one."""

from collections.abc import Iterable

import xxhash


def choose_by_hash(key: str, names: Iterable[str]) -> str:
    """Returns the name that is chosen for a key."""
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{name}\0{key}'.encode()),
    )
