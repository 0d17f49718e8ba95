"""Faults that are injected into a running fleet.

Each fault is a coroutine that disturbs the fleet, waits, and repairs it.  It
records in a `FaultLog` what it did and when, for the checks.
"""

import signal
import time
from collections.abc import Awaitable, Callable
from random import Random
from types import MappingProxyType
from typing import Any, Final

import attrs
import trio

from bench.deployments import (
    Site,
    application_names,
    engine_names,
    instance_names,
)
from bench.fleet import Fleet
from bench.workload import ONCE, Operation
from standins.engine import CRASH_WORD

#: Longer than every timeout between processes of the system.
OUTAGE_S: Final = 4.0
#: Duration of faults that are checked while they last: longer than the times
#: that `bench.checks` leaves out at their start and end.
CHECKED_FAULT_S: Final = 8.0
#: A drained process must end within this time after SIGTERM.
DRAIN_TIMEOUT_S: Final = 35.0
_SHORT_OUTAGE_S: Final = 1.0
_SLOW_CALL_COUNT: Final = 6
_SLOW_CALL_TIMEOUT_S: Final = 8.0
#: Longer than the timeout of calls in `bench.deployments`.
_LATE_ANSWER_DELAY_S: Final = 4.0


@attrs.frozen
class Interval:
    """When a fault affected its subject, in seconds since 1970.

    The subject is the platform, or the name of a data centre, an instance or an
    upstream, or a version of the configuration.
    """

    subject: str
    start_s: float
    end_s: float = float('inf')


@attrs.define
class FaultLog:
    """The faults that were injected during one history.

    `disturbed` lists when the view of an instance may have been out of date
    because of a fault. `extra_operations` are requests that belong to a fault
    and are sent in addition to the load.
    """

    kinds: list[str] = attrs.field(factory=list)
    cut_off: list[Interval] = attrs.field(factory=list)
    leaving: list[Interval] = attrs.field(factory=list)
    published: list[Interval] = attrs.field(factory=list)
    platform_down: list[Interval] = attrs.field(factory=list)
    disturbed: list[Interval] = attrs.field(factory=list)
    overdue_drains: list[str] = attrs.field(factory=list)
    extra_operations: list[Operation] = attrs.field(factory=list)


FaultInjector = Callable[[Fleet, FaultLog, Random], Awaitable[None]]


async def kill_instance(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Kills an instance and replaces it at the same address."""
    await _kill_and_replace(fleet, fault_log, random.choice(fleet.instances()))


async def kill_owner(fleet: Fleet, fault_log: FaultLog, random: Random) -> None:
    """Kills an instance while the calls that it owns are in flight."""
    site = max(fleet.deployment.sites, key=_instance_count)
    for _ in range(_SLOW_CALL_COUNT):
        name = f'owned-{_random_id(random)}'
        body = {'call': name, 'delay_s': 2 * _SHORT_OUTAGE_S}
        fault_log.extra_operations.append(
            Operation(0, name, site.region, ONCE, body, _SLOW_CALL_TIMEOUT_S),
        )
    await trio.sleep(_SHORT_OUTAGE_S)
    instance = random.choice(instance_names(site))
    await _kill_and_replace(fleet, fault_log, instance)


async def pause_instance(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Suspends an instance for longer than every timeout, then resumes it."""
    name = random.choice(fleet.instances())
    start_s = time.time()
    fleet.signal(name, signal.SIGSTOP)
    await trio.sleep(OUTAGE_S)
    fleet.signal(name, signal.SIGCONT)
    fault_log.disturbed.append(Interval(name, start_s, time.time() + 1))


async def cut_region(fleet: Fleet, fault_log: FaultLog, random: Random) -> None:
    """Disconnects a data centre from all others and from the platform."""
    site = random.choice(fleet.deployment.sites)
    await _cut_off(fleet, fault_log, site.data_centre, 'cut', CHECKED_FAULT_S)


async def drop_one_way(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Drops everything that is sent from one data centre to another."""
    pair = random.sample(fleet.deployment.sites, 2)
    pipe = f'{pair[0].data_centre}>{pair[1].data_centre}'
    start_s = time.time()
    await fleet.control_links([pipe], 'drop')
    await trio.sleep(OUTAGE_S)
    await fleet.control_links([pipe], 'open')
    await fleet.control_links([pipe], 'hole')
    _mark_all_disturbed(fleet, fault_log, start_s, OUTAGE_S)


async def silence_links(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Blackholes the open connections of a data centre; new ones work."""
    site = random.choice(fleet.deployment.sites)
    start_s = time.time()
    pipes = fleet.network.pipes_of(site.data_centre)
    await fleet.control_links(pipes, 'hole')
    await trio.sleep(_SHORT_OUTAGE_S)
    _mark_all_disturbed(fleet, fault_log, start_s, OUTAGE_S)


async def kill_engine(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Kills a model engine while it generates answers."""
    names = [
        name for site in fleet.deployment.sites for name in engine_names(site)
    ]
    await fleet.kill(random.choice(names))


async def kill_application(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Kills an application while it runs calls."""
    names = [
        name
        for site in fleet.deployment.sites
        for name in application_names(site)
    ]
    await fleet.kill(random.choice(names))


async def send_poison(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Sends a request that crashes every engine that runs it."""
    site = random.choice(fleet.deployment.sites)
    body = {
        'model': fleet.deployment.model,
        'stream': True,
        'messages': [{'role': 'user', 'content': CRASH_WORD}],
        'salt': random.random(),
    }
    name = f'poison-{_random_id(random)}'
    fault_log.extra_operations.append(
        Operation(0, name, site.region, 'question', body),
    )
    await trio.sleep(2 * _SHORT_OUTAGE_S)


async def answer_late(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Sends a call whose answer comes after its timeout."""
    site = random.choice(fleet.deployment.sites)
    name = f'late-{_random_id(random)}'
    body = {'call': name, 'delay_s': _LATE_ANSWER_DELAY_S}
    fault_log.extra_operations.append(
        Operation(0, name, site.region, ONCE, body),
    )
    await trio.sleep(0)


async def drain_instance(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Shuts an instance down under load and replaces it."""
    await _drain(fleet, fault_log, random.choice(fleet.instances()))


async def drain_pair(fleet: Fleet, fault_log: FaultLog, random: Random) -> None:
    """Shuts down all instances of a data centre at once."""
    site = max(fleet.deployment.sites, key=_instance_count)
    async with trio.open_nursery() as nursery:
        for name in fleet.instances():
            if name.startswith(site.data_centre):
                nursery.start_soon(_drain, fleet, fault_log, name)


async def stop_platform(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Makes the platform unavailable for `OUTAGE_S`."""
    start_s = time.time()
    await fleet.control_platform('mode', {'is_down': True})
    await trio.sleep(OUTAGE_S)
    await fleet.control_platform('mode', {})
    fault_log.platform_down.append(Interval('platform', start_s, time.time()))


async def stale_platform(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Publishes a version, then makes the platform serve the previous one."""
    await publish(fleet, fault_log, random)
    await trio.sleep(2 * _SHORT_OUTAGE_S)
    previous = max(fleet.version - 1, 1)
    await fleet.control_platform('mode', {'shown_version': previous})
    await trio.sleep(2 * _SHORT_OUTAGE_S)
    await fleet.control_platform('mode', {})


async def publish(fleet: Fleet, fault_log: FaultLog, random: Random) -> None:
    """Publishes a new version of the configuration."""
    version = await fleet.publish(_changed_configuration(fleet, random))
    fault_log.published.append(Interval(str(version), time.time()))
    await trio.sleep(_SHORT_OUTAGE_S)


async def race_operators(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Publishes two different configurations under the same version."""
    await publish(fleet, fault_log, random)
    await fleet.publish(_changed_configuration(fleet, random), fleet.version)
    await trio.sleep(_SHORT_OUTAGE_S)


async def retire_upstream(
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Publishes an engine as leaving, then replaces it."""
    site = random.choice(fleet.deployment.sites)
    name = random.choice(engine_names(site))
    fleet.leaving.add(name)
    fleet.started_ms[name] = round(time.time() * 1000)
    await fleet.publish_directory()
    start_s = time.time()
    await trio.sleep(CHECKED_FAULT_S)
    fault_log.leaving.append(Interval(name, start_s, time.time()))
    await fleet.kill(name)
    fleet.leaving.discard(name)
    fleet.started_ms[name] = round(time.time() * 1000)
    await fleet.publish_directory()


FAULTS: Final = MappingProxyType[str, FaultInjector](
    {
        'kill_instance': kill_instance,
        'kill_owner': kill_owner,
        'pause_instance': pause_instance,
        'cut_region': cut_region,
        'drop_one_way': drop_one_way,
        'silence_links': silence_links,
        'kill_engine': kill_engine,
        'kill_application': kill_application,
        'send_poison': send_poison,
        'answer_late': answer_late,
        'drain_instance': drain_instance,
        'drain_pair': drain_pair,
        'stop_platform': stop_platform,
        'stale_platform': stale_platform,
        'publish': publish,
        'race_operators': race_operators,
        'retire_upstream': retire_upstream,
    }
)


async def inject(
    kind: str,
    fleet: Fleet,
    fault_log: FaultLog,
    random: Random,
) -> None:
    """Injects one kind of fault and records its kind."""
    fault_log.kinds.append(kind)
    await FAULTS[kind](fleet, fault_log, random)


async def _kill_and_replace(
    fleet: Fleet,
    fault_log: FaultLog,
    name: str,
) -> None:
    """Kills an instance and starts another at the same address."""
    start_s = time.time()
    await fleet.kill(name)
    await trio.sleep(_SHORT_OUTAGE_S)
    await fleet.spawn(name)
    await fleet.wait_ready(name)
    fault_log.disturbed.append(Interval(name, start_s, time.time()))


async def _cut_off(
    fleet: Fleet,
    fault_log: FaultLog,
    data_centre: str,
    mode: str,
    duration_s: float,
) -> None:
    pipes = fleet.network.pipes_of(data_centre)
    await fleet.control_links(pipes, mode)
    start_s = time.time()
    await trio.sleep(duration_s)
    fault_log.cut_off.append(Interval(data_centre, start_s, time.time()))
    await fleet.control_links(pipes, 'open')
    _mark_all_disturbed(fleet, fault_log, start_s, OUTAGE_S)


def _mark_all_disturbed(
    fleet: Fleet,
    fault_log: FaultLog,
    start_s: float,
    settle_s: float,
) -> None:
    """Records that the views of all instances may be out of date.

    They may be from `start_s` until `settle_s` seconds from now.
    """
    end_s = time.time() + settle_s
    for name in fleet.instances():
        fault_log.disturbed.append(Interval(name, start_s, end_s))


async def _drain(fleet: Fleet, fault_log: FaultLog, name: str) -> None:
    start_s = time.time()
    fleet.signal(name, signal.SIGTERM)
    with trio.move_on_after(DRAIN_TIMEOUT_S) as scope:
        await fleet.processes[name].wait()
    if scope.cancelled_caught:
        fault_log.overdue_drains.append(name)
        await fleet.kill(name)
    await fleet.spawn(name)
    await fleet.wait_ready(name)
    fault_log.disturbed.append(Interval(name, start_s, time.time()))


def _random_id(random: Random) -> str:
    return random.randbytes(8).hex()


def _instance_count(site: Site) -> int:
    return site.instances


def _changed_configuration(fleet: Fleet, random: Random) -> dict[str, Any]:
    document = fleet.configuration()
    document['released'] = [_random_id(random)]
    return document
