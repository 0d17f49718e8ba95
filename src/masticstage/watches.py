"""Background tasks that read the platform and the loads of upstreams.

Only a few instances of a data centre, chosen by rendezvous hashing over its
live members, read the platform; the others receive its state by gossip.
"""

from collections.abc import Iterable
from typing import Final

import trio
import xxhash

from masticstage.audit import Event
from masticstage.clock import milliseconds
from masticstage.configuration_schema import Upstream
from masticstage.exceptions import (
    PlatformUnavailableError,
    UpstreamFailedError,
)
from masticstage.gossip import exchange_with, offer_configuration
from masticstage.instance import Instance

#: Number of instances of a data centre that read the platform.
READERS_PER_DATA_CENTRE: Final = 2
#: Pause after a failed read or an offer that was not adopted, and between
#: checks of `is_reader`.
_RETRY_PAUSE_S: Final = 1.0
#: Interval of the ticks by which a pause of the process is detected.
_PAUSE_TICK_S: Final = 0.1
#: Longest time that a refresh after a pause may hold up new requests.
_REFRESH_TIMEOUT_S: Final = 1.0
#: Rendezvous key for the choice of readers, and source in the audit trail.
_PLATFORM: Final = 'platform'


async def watch_configuration(instance: Instance) -> None:
    """Watches the published configuration while this instance is a reader.

    An instance without a configuration watches it in any case.
    """
    while True:
        if instance.views.rollout.catalogue and not is_reader(instance):
            await trio.sleep(_RETRY_PAUSE_S)
            continue
        try:
            await _watch_once(instance)
        except PlatformUnavailableError:
            instance.metrics.count('platform_unavailable')
            await trio.sleep(_RETRY_PAUSE_S)


async def watch_directory(instance: Instance) -> None:
    """Reads the directory each period while this instance is a reader.

    An instance that knows no other instances reads it in any case.
    """
    period_s = _to_seconds(instance.settings.timing.directory_ms)
    while True:
        if is_reader(instance) or not instance.views.members.others():
            await read_directory(instance)
        await trio.sleep(period_s)


async def watch_loads(instance: Instance) -> None:
    """Polls the loads of the local upstreams assigned to this instance."""
    period_s = _to_seconds(instance.settings.timing.load_ms)
    while True:
        await trio.sleep(period_s)
        async with trio.open_nursery() as nursery:
            for upstream in _polled_upstreams(instance):
                nursery.start_soon(_poll_load, instance, upstream)


async def watch_pauses(instance: Instance) -> None:
    """Refreshes the views after a pause of the process.

    New requests are refused until then.
    """
    while True:
        await trio.sleep(_PAUSE_TICK_S)
        if not instance.pause_detector.tick():
            continue
        instance.audit.record(Event.PAUSED, instance.identity.name)
        with trio.move_on_after(_REFRESH_TIMEOUT_S):
            await _refresh_views(instance)
        instance.pause_detector.reset()


async def read_directory(instance: Instance) -> None:
    """Reads the directory once; a failure leaves the views unchanged."""
    try:
        directory = await instance.connections.platform.read_directory()
    except PlatformUnavailableError:
        instance.metrics.count('platform_unavailable')
        return
    instance.views.members.merge(directory.members)
    for name in instance.views.upstreams.merge(directory.upstreams):
        instance.audit.record(Event.UPSTREAM_LEAVING, name, 'directory')


def is_reader(instance: Instance) -> bool:
    """Returns whether this instance reads the platform for its data centre."""
    own = instance.identity.name
    names = [own, *_live_names(instance)]
    return own in rendezvous(_PLATFORM, names, READERS_PER_DATA_CENTRE)


def rendezvous(key: str, names: Iterable[str], count: int) -> list[str]:
    """Returns the `count` names with the greatest hashes for a key."""

    def weight(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode())

    return sorted(names, key=weight, reverse=True)[:count]


async def _watch_once(instance: Instance) -> None:
    """Waits for a version from the platform and offers it to the rollout.

    Pauses after a version that was not adopted, since the platform would
    return the same one again at once.
    """
    version = instance.configuration_version
    platform = instance.connections.platform
    offer = await platform.watch_configuration(version)
    if offer is None:
        instance.views.rollout.confirm(version)
        return
    decision = await offer_configuration(instance, offer, _PLATFORM)
    if decision.version != instance.configuration_version or decision.faults:
        await trio.sleep(_RETRY_PAUSE_S)


async def _refresh_views(instance: Instance) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_directory, instance)
        for member in instance.views.members.live_in(instance.data_centre):
            nursery.start_soon(exchange_with, instance, member)


def _polled_upstreams(instance: Instance) -> list[Upstream]:
    """Returns the local upstreams whose load this instance polls."""
    catalogue = instance.views.rollout.catalogue
    if catalogue is None:
        return []
    own = instance.identity.name
    names = [own, *_live_names(instance)]
    return [
        upstream
        for upstream in catalogue.configuration.upstreams
        if upstream.data_centre == instance.data_centre
        and own in rendezvous(upstream.name, names, 1)
    ]


async def _poll_load(instance: Instance, upstream: Upstream) -> None:
    try:
        report = await instance.connections.upstreams.read_load(upstream)
    except UpstreamFailedError:
        instance.views.upstreams.avoid(upstream.name)
        return
    instance.views.upstreams.merge([report])


def _live_names(instance: Instance) -> list[str]:
    live = instance.views.members.live_in(instance.data_centre)
    return [member.identity.name for member in live]


def _to_seconds(period_ms: int) -> float:
    return milliseconds(period_ms).total_seconds()
