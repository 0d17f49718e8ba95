"""What the platform publishes, in the product's words."""

from datetime import timedelta

import attrs

from masticstage.forwarding.routes import RouteTable


@attrs.frozen
class UpstreamRecord:
    """An upstream as it has registered itself.

    `started_at_ms` tells its lives apart (milliseconds since 1970, 0 unknown).
    `cold_for` is how much longer it stays cold, from the time of the record.
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


@attrs.frozen
class Evacuation:
    """Nothing is to be sent to the upstreams of a data centre."""

    data_centre: str


@attrs.frozen
class Unreadable:
    """A record that could not be decoded, and why."""

    reason: str


@attrs.frozen
class Unrelated:
    """A record that says nothing to the system."""


Published = RouteTable | UpstreamRecord | Evacuation | Unreadable | Unrelated
