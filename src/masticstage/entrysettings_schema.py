"""Typed form of schemas/entrysettings.json (generated)."""

import attrs


@attrs.frozen
class EntryInstance:
    """Name and place of this instance; its numeric address."""

    name: str
    data_centre: str
    region: str
    ip: str


@attrs.frozen
class EntryListen:
    """Addresses (host:port) to listen on; gossip is a UDP one."""

    callers: str
    readiness: str
    peers: str
    entries: str
    metrics: str = ''
    gossip: str = ''


@attrs.frozen
class EntryStore:
    """Where the platform publishes its records."""

    address: str


@attrs.frozen
class EntryPlace:
    """A data centre and the region that it is in."""

    data_centre: str
    region: str


@attrs.frozen
class EntryBounds:
    """Figures that the users' rules name; times in the unit of the name.

    `reconnect_ms` is the time after a disturbance from which the other bounds
    hold again, `removal_ms` and `configuration_ms` are the times after which a
    removed upstream gets no requests and a configuration is in force. In any
    `team_window_s`, a team uses less than (rate x window + burst) x (1 +
    `team_overage`) + `team_slack` tokens.
    """

    grace_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_slack: float
    reconnect_ms: float = 5000
    removal_ms: float = 3000
    configuration_ms: float = 3000
    team_window_s: float = 8
    team_overage: float = 0.25
    team_slack: float = 0


@attrs.frozen
class EntryLimits:
    """What the machine allows the process; connections and bytes follow.

    `memory_mb` is the memory of the process, `descriptors` the most open files;
    zero means the limit that the process finds.
    """

    memory_mb: float = 512
    descriptors: int = 0


@attrs.frozen
class EntrySettings:
    """Settings of one entry instance on the users' platform."""

    instance: EntryInstance
    listen: EntryListen
    store: EntryStore
    places: tuple[EntryPlace, ...]
    bounds: EntryBounds
    seeds: tuple[str, ...] = ()
    limits: EntryLimits = attrs.field(factory=EntryLimits)
