"""Audit trail: changes of the views and decisions about requests.

Entries go to the log and to a bounded buffer, which the status program reads.
"""

import enum
from collections import deque
from datetime import datetime
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.logs import LOGGER

#: Entries that are kept; the oldest are dropped first.
_CAPACITY: Final = 20000


@enum.unique
class Event(enum.Enum):
    """Kind of an entry; the values are the messages in the log."""

    STARTED = 'instance started'
    DRAINING = 'instance draining'
    PAUSED = 'process was paused'
    CONFIGURATION = 'configuration offered'
    MEMBER = 'member changed'
    UPSTREAM_LEAVING = 'upstream leaving'
    TOKEN_REFUSED = 'token refused'
    ROUTED = 'request routed'
    REFUSED = 'request refused'
    TRANSFERRED = 'request transferred'
    RESUMED = 'answer resumed'
    RESTARTED = 'answer restarted'
    CANCELLED = 'answer cancelled'
    ENDED = 'answer ended'
    TICKET_SETTLED = 'ticket settled'
    TICKET_SEALED = 'ticket sealed'
    QUARANTINED = 'request quarantined'


@attrs.frozen
class AuditEntry:
    """One entry of the audit trail."""

    recorded_at: datetime
    event: Event
    subject: str
    detail: str


@final
@attrs.define
class Audit:
    """The audit trail of one instance."""

    _clock: Clock
    _entries: deque[AuditEntry] = attrs.field(
        factory=lambda: deque(maxlen=_CAPACITY),
    )

    def record(self, event: Event, subject: str, detail: str = '') -> None:
        """Adds an entry about a request, member, upstream or version."""
        entry = AuditEntry(self._clock.now(), event, subject, detail)
        self._entries.append(entry)
        LOGGER.info(
            event.value,
            extra={'audit': True, 'subject': subject, 'detail': detail},
        )

    def entries_about(self, subject: str) -> tuple[AuditEntry, ...]:
        """Returns the entries about one subject, oldest first.

        An empty subject returns all entries.
        """
        return tuple(
            entry for entry in self._entries if subject in {'', entry.subject}
        )
