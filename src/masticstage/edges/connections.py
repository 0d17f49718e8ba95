"""What an instance has to reach everything outside its process."""

from typing import Protocol, final

import attrs

from masticstage.edges.http_client import ConnectionPool
from masticstage.edges.instance_memory import InstanceMemory
from masticstage.forwarding.record_cache import RecordUpdates


class Store(Protocol):
    """Read access to the platform's records."""

    async def read_all(self) -> RecordUpdates:
        """Reads every record."""

    async def watch(self, after: int, wait_s: float) -> RecordUpdates:
        """Waits for changes after a revision."""

    async def read_changes(self, after: int) -> RecordUpdates:
        """Returns the changes after a revision at once."""


@final
@attrs.frozen
class Connections:
    """Clients and connection pools for everything outside this process.

    `memory` bounds what all connections hold, those of callers too.
    """

    store: Store
    upstreams: ConnectionPool
    peers: ConnectionPool
    gossip: ConnectionPool
    memory: InstanceMemory
