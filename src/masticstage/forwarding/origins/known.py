"""What an instance knows of the origins of streams."""

from collections.abc import Sequence
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


@attrs.frozen
class Statement:
    """What one instance states of a stream's origin, None if nothing.

    It is noted, or follows from the only version in service; `has_several`
    tells that there were several.
    """

    origin: Origin | None = None
    is_noted: bool = False
    has_several: bool = False


@final
@attrs.frozen
class Origins:
    """Notes of streams, and the versions that were in service."""

    notes: OriginNotes
    history: SoftwareHistory

    def state(
        self, request_id: str, service: str, lifetime: timedelta
    ) -> Statement:
        """Returns what is known here of a stream that began at a request."""
        noted = self.notes.find(request_id)
        if noted is not None:
            return Statement(noted, is_noted=True)
        if len(self.history.versions(service, lifetime)) > 1:
            return Statement(has_several=True)
        software = self.history.sole_version(service, lifetime)
        return Statement(
            None if software is None else Origin(service, software)
        )


def conclude(statements: Sequence[Statement]) -> Origin | None:
    """Returns the origin that follows from what several instances state.

    A note goes before all else. Without any, the only version is the origin if
    no instance has seen another: views of the fleet differ for a moment.
    """
    noted = {state.origin for state in statements if state.is_noted}
    if noted:
        return noted.pop() if len(noted) == 1 else None
    if any(state.has_several for state in statements):
        return None
    origins = {state.origin for state in statements} - {None}
    return origins.pop() if len(origins) == 1 else None


def stream_lifetime(table: RouteTable | None) -> timedelta:
    """Returns how long streams that may be resumed last at most."""
    routes = table.routes if table else ()
    limits = [
        route.limit
        for route in routes
        if route.kind is CallKind.STREAMING and route.is_resumable
    ]
    return _LIFETIME_FACTOR * max(limits, default=timedelta())
