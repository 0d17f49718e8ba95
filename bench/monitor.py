"""Watches what the instances of a fleet believe while faults happen."""

import time
from collections.abc import Iterator
from typing import Final

import attrs
import httpx
import trio

from bench.faults import Interval, Ledger
from bench.fleet import Fleet
from bench.history import Violation

_PERIOD_S: Final = 0.2
#: An accepted configuration is in force everywhere within this time.
IN_FORCE_S: Final = 3.0


@attrs.frozen
class Sighting:
    """The configuration that an instance had in force at a time."""

    instance: str
    at_s: float
    version: int
    digest: str


@attrs.define
class Monitor:
    """Sightings of configurations during one history."""

    sightings: list[Sighting] = attrs.field(factory=list)

    async def watch(self, fleet: Fleet) -> None:
        """Reads the status of all instances until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in fleet.instances():
                nursery.start_soon(self._watch_instance, fleet, name)

    async def _watch_instance(self, fleet: Fleet, name: str) -> None:
        while True:
            asked_s = time.time()
            try:
                status = await fleet.status(name)
            except (httpx.HTTPError, ValueError):
                await trio.sleep(_PERIOD_S)
                continue
            configuration = status['configuration']
            self.sightings.append(
                Sighting(
                    name,
                    asked_s,
                    configuration['version'],
                    configuration['digest'],
                ),
            )
            await trio.sleep(_PERIOD_S)


def check_configuration(
    sightings: list[Sighting],
    ledger: Ledger,
) -> Iterator[Violation]:
    """No version goes back, and an accepted one is in force in time."""
    yield from _check_forward(sightings)
    for published in ledger.published:
        yield from _check_in_force(sightings, ledger, published)


def time_in_force(
    sightings: list[Sighting],
    published: Interval,
) -> float | None:
    """Returns the seconds until every instance had a version in force."""
    first: dict[str, float] = {}
    for seen in sightings:
        if seen.version >= int(published.subject):
            first.setdefault(seen.instance, seen.at_s)
    names = {seen.instance for seen in sightings}
    if names - first.keys():
        return None
    return max(first.values()) - published.start_s


def _check_forward(sightings: list[Sighting]) -> Iterator[Violation]:
    highest: dict[str, int] = {}
    for seen in sightings:
        known = highest.get(seen.instance, 0)
        if 0 < seen.version < known:
            yield Violation(
                'configuration',
                seen.instance,
                f'version {seen.version} after {known}',
            )
        highest[seen.instance] = max(known, seen.version)


def _check_in_force(
    sightings: list[Sighting],
    ledger: Ledger,
    published: Interval,
) -> Iterator[Violation]:
    accepted_s = _accepted_at(sightings, ledger, published)
    due_s = accepted_s + IN_FORCE_S
    for seen in sightings:
        if seen.at_s <= due_s or seen.version >= int(published.subject):
            continue
        if not _is_disturbed(ledger, seen, published.start_s):
            yield Violation(
                'configuration',
                seen.instance,
                f'version {seen.version}, not {published.subject}, '
                f'{seen.at_s - accepted_s:.1f} s after it was accepted',
            )


def _accepted_at(
    sightings: list[Sighting],
    ledger: Ledger,
    published: Interval,
) -> float:
    """Returns when a published version was accepted, at the latest.

    While the platform is down a version cannot be read; it counts as
    accepted when an instance has it in force, or the platform is back.
    """
    readable_s = published.start_s
    for down in ledger.platform_down:
        if (
            down.start_s
            < published.start_s + IN_FORCE_S
            < down.end_s + (IN_FORCE_S)
        ):
            readable_s = max(readable_s, down.end_s)
    in_force_s = [
        seen.at_s
        for seen in sightings
        if seen.version >= int(published.subject)
    ]
    return min([readable_s, *in_force_s])


def _is_disturbed(ledger: Ledger, seen: Sighting, since_s: float) -> bool:
    """Tells whether a fault excuses a late version of an instance."""
    return any(
        interval.subject == seen.instance
        and interval.start_s <= seen.at_s
        and interval.end_s + IN_FORCE_S >= max(seen.at_s, since_s)
        for interval in ledger.disturbed
    )
