"""Audit trail: every adopted change and every decision about a request.

Entries go to the log and to a bounded memory that the status program reads.
"""

import enum
from collections import deque
from datetime import datetime
from typing import Final, final

import attrs

from masticstage.clock import Clock
from masticstage.logs import LOGGER

_CAPACITY: Final = 20000


@enum.unique
class Event(enum.Enum):
    """What an entry is about."""

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
class Entry:
    """One line of the audit trail."""

    moment: datetime
    event: Event
    subject: str
    detail: str


@final
@attrs.define
class Audit:
    """The audit trail of one instance."""

    _clock: Clock
    _entries: deque[Entry] = attrs.field(
        factory=lambda: deque(maxlen=_CAPACITY),
    )

    def record(self, event: Event, subject: str, detail: str = '') -> None:
        """Adds an entry about a request, member, upstream or version."""
        entry = Entry(self._clock.now(), event, subject, detail)
        self._entries.append(entry)
        LOGGER.info(
            event.value,
            extra={'audit': True, 'subject': subject, 'detail': detail},
        )

    def about(self, subject: str) -> tuple[Entry, ...]:
        """Returns the entries about one subject, all when it is empty."""
        return tuple(
            entry for entry in self._entries if subject in {'', entry.subject}
        )
