"""Faults that a proof injects into a running fleet.

Each fault is a coroutine that disturbs the fleet, waits, and heals it.  It
notes in a `Ledger` what it did and when, for the checks.
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
PAUSE_S: Final = 4.0
CUT_S: Final = 8.0
#: A drained process ends at most this long after its signal.
DRAIN_BOUND_S: Final = 35.0
_DOWN_S: Final = 1.0
_SLOW_CALLS: Final = 6
_OWNED_TIMEOUT_S: Final = 8.0
_LATE_ANSWER_S: Final = 4.0


@attrs.frozen
class Interval:
    """A time in which something held, in seconds since 1970."""

    subject: str
    start_s: float
    end_s: float = float('inf')


@attrs.define
class Ledger:
    """What was done to a fleet during one history."""

    kinds: list[str] = attrs.field(factory=list)
    cut_off: list[Interval] = attrs.field(factory=list)
    leaving: list[Interval] = attrs.field(factory=list)
    published: list[Interval] = attrs.field(factory=list)
    platform_down: list[Interval] = attrs.field(factory=list)
    disturbed: list[Interval] = attrs.field(factory=list)
    overdue_drains: list[str] = attrs.field(factory=list)
    extra_operations: list[Operation] = attrs.field(factory=list)


Fault = Callable[[Fleet, Ledger, Random], Awaitable[None]]


async def kill_instance(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Kills an instance and replaces it at the same address."""
    await _kill_and_replace(fleet, ledger, random.choice(fleet.instances()))


async def kill_owner(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Kills an instance while it waits for the answers to its calls."""
    site = max(fleet.deployment.sites, key=_instance_count)
    for _ in range(_SLOW_CALLS):
        name = f'owned-{_draw_id(random)}'
        body = {'call': name, 'delay_s': 2 * _DOWN_S}
        ledger.extra_operations.append(
            Operation(0, name, site.region, ONCE, body, _OWNED_TIMEOUT_S),
        )
    await trio.sleep(_DOWN_S)
    victim = random.choice(instance_names(site))
    await _kill_and_replace(fleet, ledger, victim)


async def pause_instance(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Stops an instance for longer than every timeout, then continues it."""
    name = random.choice(fleet.instances())
    start_s = time.time()
    fleet.signal(name, signal.SIGSTOP)
    await trio.sleep(PAUSE_S)
    fleet.signal(name, signal.SIGCONT)
    ledger.disturbed.append(Interval(name, start_s, time.time() + 1))


async def cut_region(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Cuts a data centre off from all others and from the platform."""
    site = random.choice(fleet.deployment.sites)
    await _cut(fleet, ledger, site.data_centre, 'cut', CUT_S)


async def drop_one_way(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Loses everything that is sent from one data centre to another."""
    pair = random.sample(fleet.deployment.sites, 2)
    pipe = f'{pair[0].data_centre}>{pair[1].data_centre}'
    start_s = time.time()
    await fleet.control_links([pipe], 'drop')
    await trio.sleep(PAUSE_S)
    await fleet.control_links([pipe], 'open')
    await fleet.control_links([pipe], 'hole')
    _disturb_all(fleet, ledger, start_s, PAUSE_S)


async def silence_links(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Silences all open connections of a data centre; new ones work."""
    site = random.choice(fleet.deployment.sites)
    start_s = time.time()
    pipes = fleet.network.pipes_of(site.data_centre)
    await fleet.control_links(pipes, 'hole')
    await trio.sleep(_DOWN_S)
    _disturb_all(fleet, ledger, start_s, PAUSE_S)


async def kill_engine(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Kills a model engine in the middle of its answers."""
    names = [
        name for site in fleet.deployment.sites for name in engine_names(site)
    ]
    await fleet.kill(random.choice(names))


async def kill_application(
    fleet: Fleet,
    ledger: Ledger,
    random: Random,
) -> None:
    """Kills an application in the middle of its calls."""
    names = [
        name
        for site in fleet.deployment.sites
        for name in application_names(site)
    ]
    await fleet.kill(random.choice(names))


async def send_poison(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Sends a request that crashes each engine which runs it."""
    site = random.choice(fleet.deployment.sites)
    body = {
        'model': fleet.deployment.model,
        'stream': True,
        'messages': [{'role': 'user', 'content': CRASH_WORD}],
        'salt': random.random(),
    }
    name = f'poison-{_draw_id(random)}'
    ledger.extra_operations.append(
        Operation(0, name, site.region, 'question', body),
    )
    await trio.sleep(2 * _DOWN_S)


async def answer_late(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Sends a call whose answer comes after its timeout."""
    site = random.choice(fleet.deployment.sites)
    name = f'late-{_draw_id(random)}'
    body = {'call': name, 'delay_s': _LATE_ANSWER_S}
    ledger.extra_operations.append(
        Operation(0, name, site.region, ONCE, body),
    )
    await trio.sleep(0)


async def drain_instance(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Shuts an instance down under load and replaces it."""
    await _drain(fleet, ledger, random.choice(fleet.instances()))


async def drain_pair(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Shuts down all instances of a data centre at once."""
    site = max(fleet.deployment.sites, key=_instance_count)
    async with trio.open_nursery() as nursery:
        for name in fleet.instances():
            if name.startswith(site.data_centre):
                nursery.start_soon(_drain, fleet, ledger, name)


async def stop_platform(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Takes the platform down for a while."""
    start_s = time.time()
    await fleet.control_platform('mode', {'is_down': True})
    await trio.sleep(PAUSE_S)
    await fleet.control_platform('mode', {})
    ledger.platform_down.append(Interval('platform', start_s, time.time()))


async def stale_platform(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Publishes a version, then shows the version before it."""
    await publish(fleet, ledger, random)
    await trio.sleep(2 * _DOWN_S)
    shown = max(fleet.version - 1, 1)
    await fleet.control_platform('mode', {'shown_version': shown})
    await trio.sleep(2 * _DOWN_S)
    await fleet.control_platform('mode', {})


async def publish(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Publishes a new version of the configuration."""
    version = await fleet.publish(_changed(fleet, random))
    ledger.published.append(Interval(str(version), time.time()))
    await trio.sleep(_DOWN_S)


async def race_operators(fleet: Fleet, ledger: Ledger, random: Random) -> None:
    """Publishes two contents under one version."""
    await publish(fleet, ledger, random)
    await fleet.publish(_changed(fleet, random), fleet.version)
    await trio.sleep(_DOWN_S)


async def retire_upstream(
    fleet: Fleet,
    ledger: Ledger,
    random: Random,
) -> None:
    """Lists an engine as leaving, then replaces it."""
    site = random.choice(fleet.deployment.sites)
    name = random.choice(engine_names(site))
    fleet.leaving.add(name)
    fleet.started_ms[name] = round(time.time() * 1000)
    await fleet.publish_directory()
    start_s = time.time()
    await trio.sleep(CUT_S)
    ledger.leaving.append(Interval(name, start_s, time.time()))
    await fleet.kill(name)
    fleet.leaving.discard(name)
    fleet.started_ms[name] = round(time.time() * 1000)
    await fleet.publish_directory()


FAULTS: Final = MappingProxyType[str, Fault](
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
    ledger: Ledger,
    random: Random,
) -> None:
    """Injects one kind of fault and notes it."""
    ledger.kinds.append(kind)
    await FAULTS[kind](fleet, ledger, random)


async def _kill_and_replace(fleet: Fleet, ledger: Ledger, name: str) -> None:
    """Kills an instance and starts another at the same address."""
    start_s = time.time()
    await fleet.kill(name)
    await trio.sleep(_DOWN_S)
    await fleet.spawn(name)
    await fleet.wait_ready(name)
    ledger.disturbed.append(Interval(name, start_s, time.time()))


async def _cut(
    fleet: Fleet,
    ledger: Ledger,
    data_centre: str,
    mode: str,
    duration_s: float,
) -> None:
    pipes = fleet.network.pipes_of(data_centre)
    await fleet.control_links(pipes, mode)
    start_s = time.time()
    await trio.sleep(duration_s)
    ledger.cut_off.append(Interval(data_centre, start_s, time.time()))
    await fleet.control_links(pipes, 'open')
    _disturb_all(fleet, ledger, start_s, PAUSE_S)


def _disturb_all(
    fleet: Fleet,
    ledger: Ledger,
    start_s: float,
    settle_s: float,
) -> None:
    """Notes that views may differ until a while after the fault."""
    end_s = time.time() + settle_s
    for name in fleet.instances():
        ledger.disturbed.append(Interval(name, start_s, end_s))


async def _drain(fleet: Fleet, ledger: Ledger, name: str) -> None:
    start_s = time.time()
    fleet.signal(name, signal.SIGTERM)
    with trio.move_on_after(DRAIN_BOUND_S) as scope:
        await fleet.processes[name].wait()
    if scope.cancelled_caught:
        ledger.overdue_drains.append(name)
        await fleet.kill(name)
    await fleet.spawn(name)
    await fleet.wait_ready(name)
    ledger.disturbed.append(Interval(name, start_s, time.time()))


def _draw_id(random: Random) -> str:
    return random.randbytes(8).hex()


def _instance_count(site: Site) -> int:
    return site.instances


def _changed(fleet: Fleet, random: Random) -> dict[str, Any]:
    document = fleet.configuration()
    document['released'] = [_draw_id(random)]
    return document
