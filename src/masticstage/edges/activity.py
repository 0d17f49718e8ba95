"""Requests that are being handled, and those that broke on an upstream."""

from datetime import timedelta
from typing import final

import attrs
import trio

from masticstage.edges.pending_dispatches import PendingDispatches
from masticstage.forwarding.crashes.causes import Cause


@final
@attrs.define
class BrokenRequests:
    """Possible causes of the requests that broke on one upstream.

    `checked` is set after the first check, which shows most crashes.
    """

    causes: set[Cause] = attrs.field(factory=set)
    checked: trio.Event = attrs.field(factory=trio.Event)


@final
@attrs.define
class Activity:
    """Requests that are being handled.

    `drain_started_at` is None before the drain.  Cancelling `open_scopes` makes
    the requests of callers end with an answer of the gateway.  While an
    upstream is checked after a broken answer, `broken_requests` holds the
    requests that broke on it, by its name.  Cancelling `watch_scope` ends the
    wait of the watch of the platform's records.  `confirmations` has the health
    checks for which requests wait, by the name of the upstream.
    """

    open_requests: int = 0
    drain_started_at: timedelta | None = None
    open_scopes: set[trio.CancelScope] = attrs.field(factory=set)
    broken_requests: dict[str, BrokenRequests] = attrs.field(factory=dict)
    pending: PendingDispatches = attrs.field(factory=PendingDispatches)
    watch_scope: trio.CancelScope | None = None
    confirmations: dict[str, trio.Event] = attrs.field(factory=dict)
