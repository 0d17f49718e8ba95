"""Monitors the configuration of the instances while faults are injected."""

import time
from collections.abc import Iterator
from typing import Final

import attrs
import httpx
import trio

from bench.faults import FaultLog, Interval
from bench.fleet import Fleet
from bench.history import Violation

_POLL_INTERVAL_S: Final = 0.2
#: Time within which an accepted configuration must be active on all instances.
ACTIVATION_TIMEOUT_S: Final = 3.0


@attrs.frozen
class ConfigurationSample:
    """The configuration that was active on an instance at `at_s`.

    `at_s` is in seconds since 1970.
    """

    instance: str
    at_s: float
    version: int
    digest: str


@attrs.define
class ConfigurationMonitor:
    """Samples the configurations of the instances during one history."""

    samples: list[ConfigurationSample] = attrs.field(factory=list)

    async def watch(self, fleet: Fleet) -> None:
        """Polls the status of all instances until cancelled."""
        async with trio.open_nursery() as nursery:
            for name in fleet.instances():
                nursery.start_soon(self._watch_instance, fleet, name)

    async def _watch_instance(self, fleet: Fleet, name: str) -> None:
        while True:
            requested_at_s = time.time()
            try:
                status = await fleet.status(name)
            except (httpx.HTTPError, ValueError):
                await trio.sleep(_POLL_INTERVAL_S)
                continue
            configuration = status['configuration']
            self.samples.append(
                ConfigurationSample(
                    name,
                    requested_at_s,
                    configuration['version'],
                    configuration['digest'],
                ),
            )
            await trio.sleep(_POLL_INTERVAL_S)


def check_configuration(
    samples: list[ConfigurationSample],
    fault_log: FaultLog,
) -> Iterator[Violation]:
    """No instance returns to an older version or adopts a new one too late."""
    yield from _check_no_rollback(samples)
    for published in fault_log.published:
        yield from _check_activation(samples, fault_log, published)


def seconds_until_active(
    samples: list[ConfigurationSample],
    published: Interval,
) -> float | None:
    """Returns the seconds from publishing a version until it was active.

    Active means that all instances had this version or a later one; None if
    this was never the case.
    """
    first_at_s: dict[str, float] = {}
    for sample in samples:
        if sample.version >= int(published.subject):
            first_at_s.setdefault(sample.instance, sample.at_s)
    names = {sample.instance for sample in samples}
    if names - first_at_s.keys():
        return None
    return max(first_at_s.values()) - published.start_s


def _check_no_rollback(
    samples: list[ConfigurationSample],
) -> Iterator[Violation]:
    highest_versions: dict[str, int] = {}
    for sample in samples:
        previous = highest_versions.get(sample.instance, 0)
        if 0 < sample.version < previous:
            yield Violation(
                'configuration',
                sample.instance,
                f'version {sample.version} after {previous}',
            )
        highest_versions[sample.instance] = max(previous, sample.version)


def _check_activation(
    samples: list[ConfigurationSample],
    fault_log: FaultLog,
    published: Interval,
) -> Iterator[Violation]:
    accepted_at_s = _accepted_at_s(samples, fault_log, published)
    due_at_s = accepted_at_s + ACTIVATION_TIMEOUT_S
    for sample in samples:
        if sample.at_s <= due_at_s or sample.version >= int(published.subject):
            continue
        if not _is_excused(fault_log, sample, published.start_s):
            yield Violation(
                'configuration',
                sample.instance,
                f'version {sample.version}, not {published.subject}, '
                f'{sample.at_s - accepted_at_s:.1f} s after it was accepted',
            )


def _accepted_at_s(
    samples: list[ConfigurationSample],
    fault_log: FaultLog,
    published: Interval,
) -> float:
    """Returns when a version counts as accepted, in seconds since 1970.

    While the platform is down, instances cannot read a new version. It counts
    as accepted once an instance has it or the platform is back.
    """
    readable_at_s = published.start_s
    for outage in fault_log.platform_down:
        if (
            outage.start_s
            < published.start_s + ACTIVATION_TIMEOUT_S
            < outage.end_s + ACTIVATION_TIMEOUT_S
        ):
            readable_at_s = max(readable_at_s, outage.end_s)
    active_at_s = [
        sample.at_s
        for sample in samples
        if sample.version >= int(published.subject)
    ]
    return min([readable_at_s, *active_at_s])


def _is_excused(
    fault_log: FaultLog,
    sample: ConfigurationSample,
    since_s: float,
) -> bool:
    """Returns whether a fault explains an instance's outdated version."""
    return any(
        interval.subject == sample.instance
        and interval.start_s <= sample.at_s
        and interval.end_s + ACTIVATION_TIMEOUT_S >= max(sample.at_s, since_s)
        for interval in fault_log.disturbed
    )
