"""What an instance knows of the origins of streams."""

from datetime import timedelta
from typing import Final, final

import attrs

from masticstage.forwarding.origins.history import SoftwareHistory
from masticstage.forwarding.origins.notes import OriginNotes
from masticstage.forwarding.origins.origin import Origin
from masticstage.forwarding.requests import CallKind
from masticstage.forwarding.routes import RouteTable

#: Longest time from the start of a stream to its last take-up, as a multiple of
#: its route's limit: callers may wait for longer than that.
_LIFETIME_FACTOR: Final = 2


@final
@attrs.frozen
class Origins:
    """Notes of streams, and the versions that were in service."""

    notes: OriginNotes
    history: SoftwareHistory

    def find(
        self, request_id: str, service: str, lifetime: timedelta
    ) -> Origin | None:
        """Returns what began a stream of a service, None if unknown.

        Without a note that is the only version that has been in service for as
        long as a stream may last.
        """
        noted = self.notes.find(request_id)
        if noted is not None:
            return noted
        software = self.history.sole_version(service, lifetime)
        return None if software is None else Origin(service, software)


def stream_lifetime(table: RouteTable | None) -> timedelta:
    """Returns how long streams that may be resumed last at most."""
    routes = table.routes if table else ()
    limits = [
        route.limit
        for route in routes
        if route.kind is CallKind.STREAMING and route.is_resumable
    ]
    return _LIFETIME_FACTOR * max(limits, default=timedelta())
