"""Published records, independent of the platform's format."""

from datetime import timedelta

import attrs

from masticstage.forwarding.routes import RouteTable


@attrs.frozen
class UpstreamRecord:
    """An upstream as registered by itself.

    `started_at_ms` distinguishes its restarts (milliseconds since 1970, 0 if
    unknown). `cold_for` is the remaining warm-up at the time of the record.
    `software` is the version of its program, empty if it names none.
    """

    name: str
    service: str
    address: str
    data_centre: str
    region: str
    slots: int
    is_leaving: bool = False
    cold_for: timedelta = timedelta()
    started_at_ms: int = 0
    software: str = ''


@attrs.frozen
class Evacuation:
    """An order to send no requests to the upstreams of a data centre."""

    data_centre: str


@attrs.frozen
class Unreadable:
    """A record that could not be decoded, with the reason."""

    reason: str


@attrs.frozen
class Unrelated:
    """A record of a kind that the gateway does not use."""


Published = RouteTable | UpstreamRecord | Evacuation | Unreadable | Unrelated
