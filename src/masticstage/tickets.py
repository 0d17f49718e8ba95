"""At-most-once execution: the state of tickets at owner and witness.

This module does no I/O.  A ticket names one owner incarnation and one
witness incarnation.  The owner dispatches a call only after the witness has
acknowledged its intent.  When another instance asks the witness about a
ticket for which it has recorded no intent, the witness seals the ticket: it
never acknowledges an intent for it afterwards.  The call of a sealed ticket
has therefore not run, even if the owner has crashed.
"""

import enum
from datetime import datetime, timedelta
from typing import Final

import attrs
from returns.result import Failure, Result, Success

from masticstage.clock import Clock, from_milliseconds
from masticstage.exceptions import CapacityError
from masticstage.membership import MemberId
from masticstage.outcomes import NOT_RUN, UNKNOWN, CallOutcome
from masticstage.tokens import Ticket

#: Maximum tolerated difference between the clocks of two instances.
CLOCK_SKEW: Final = timedelta(minutes=1)


@enum.unique
class TicketState(enum.Enum):
    """State of a ticket at its owner."""

    ISSUED = 'issued'
    INTENDED = 'intended'
    DISPATCHED = 'dispatched'
    SETTLED = 'settled'


@enum.unique
class Verdict(enum.Enum):
    """Reply of a witness to an intent, a query or an outcome.

    `HELD` means that the witness holds a record of the ticket.
    """

    ACKNOWLEDGED = 'acknowledged'
    SEALED = 'sealed'
    HELD = 'held'
    REFUSED = 'refused'


@attrs.frozen
class WitnessAnswer:
    """Verdict of a witness, with the outcome that it has recorded."""

    verdict: Verdict
    outcome: CallOutcome = UNKNOWN


@attrs.define
class _OwnerEntry:
    """State of one ticket at its owner."""

    expires_at: datetime
    state: TicketState = TicketState.ISSUED
    outcome: CallOutcome = UNKNOWN


@attrs.define
class _WitnessEntry:
    """State of one ticket at its witness."""

    expires_at: datetime
    sealed: bool
    outcome: CallOutcome = UNKNOWN


@attrs.define
class OwnedTickets:
    """Tickets that this incarnation has issued and not yet discarded."""

    _clock: Clock
    _capacity: int
    _entries: dict[str, _OwnerEntry] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Returns the number of tickets held."""
        return len(self._entries)

    @property
    def in_flight(self) -> int:
        """Number of calls that were started and have no outcome yet."""
        return sum(
            entry.state in {TicketState.INTENDED, TicketState.DISPATCHED}
            for entry in self._entries.values()
        )

    def issue(self, ticket: Ticket) -> Result[Ticket, CapacityError]:
        """Adds a ticket; fails with `CapacityError` when the table is full."""
        if len(self._entries) >= self._capacity:
            return Failure(CapacityError('tickets'))
        expires_at = from_milliseconds(ticket.expires_ms)
        self._entries[ticket.ticket_id] = _OwnerEntry(expires_at)
        return Success(ticket)

    def state(self, ticket_id: str) -> TicketState | None:
        """Returns the state of a ticket, None if the ticket is not held."""
        entry = self._entries.get(ticket_id)
        return entry.state if entry else None

    def outcome(self, ticket_id: str) -> CallOutcome:
        """Returns the outcome of a ticket, `UNKNOWN` if it has none."""
        entry = self._entries.get(ticket_id)
        return entry.outcome if entry else UNKNOWN

    def begin(self, ticket_id: str) -> bool:
        """Moves an issued ticket to `INTENDED`; True if it was moved.

        An expired ticket is settled as not run instead.
        """
        entry = self._entries.get(ticket_id)
        if entry is None or entry.state is not TicketState.ISSUED:
            return False
        if entry.expires_at <= self._clock.now():
            self.settle(ticket_id, NOT_RUN)
            return False
        entry.state = TicketState.INTENDED
        return True

    def authorize(self, ticket_id: str, verdict: Verdict) -> bool:
        """Applies the verdict on the intent; True permits one dispatch."""
        entry = self._entries.get(ticket_id)
        if entry is None or entry.state is not TicketState.INTENDED:
            return False
        if verdict is not Verdict.ACKNOWLEDGED:
            self.settle(ticket_id, NOT_RUN)
            return False
        entry.state = TicketState.DISPATCHED
        return True

    def settle(self, ticket_id: str, outcome: CallOutcome) -> None:
        """Records the outcome of a ticket, unless it already has one."""
        entry = self._entries.get(ticket_id)
        if entry is None or entry.state is TicketState.SETTLED:
            return
        entry.state = TicketState.SETTLED
        entry.outcome = outcome

    def discard_expired(self) -> int:
        """Discards tickets past expiry and clock skew; returns their count."""
        return _discard_expired(self._entries, self._clock.now())


@attrs.define
class WitnessedTickets:
    """Intents, seals and outcomes of tickets owned by other instances."""

    _clock: Clock
    _identity: MemberId
    _capacity: int
    _entries: dict[str, _WitnessEntry] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Returns the number of tickets held."""
        return len(self._entries)

    def record_intent(self, ticket: Ticket) -> Verdict:
        """Records an intent; `ACKNOWLEDGED` permits the owner to dispatch."""
        if ticket.witness != self._identity:
            return Verdict.REFUSED
        entry = self._entries.get(ticket.ticket_id)
        if entry is not None:
            return Verdict.SEALED if entry.sealed else Verdict.ACKNOWLEDGED
        if not self._accepts(ticket):
            return Verdict.REFUSED
        self._add_entry(ticket, sealed=False)
        return Verdict.ACKNOWLEDGED

    def seal_or_report(self, ticket: Ticket) -> WitnessAnswer:
        """Returns the record of a ticket; seals it if there is no intent."""
        if ticket.witness != self._identity:
            return WitnessAnswer(Verdict.REFUSED)
        entry = self._entries.get(ticket.ticket_id)
        if entry is not None:
            return _to_witness_answer(entry)
        if not self._accepts(ticket):
            return WitnessAnswer(Verdict.REFUSED)
        self._add_entry(ticket, sealed=True)
        return WitnessAnswer(Verdict.SEALED, NOT_RUN)

    def copy_outcome(self, ticket: Ticket, outcome: CallOutcome) -> Verdict:
        """Records the outcome that the owner reports."""
        entry = self._entries.get(ticket.ticket_id)
        if entry is None or ticket.witness != self._identity:
            return Verdict.REFUSED
        if not entry.sealed:
            entry.outcome = outcome
        return Verdict.HELD

    def discard_expired(self) -> int:
        """Discards tickets past expiry and clock skew; returns their count."""
        return _discard_expired(self._entries, self._clock.now())

    def _accepts(self, ticket: Ticket) -> bool:
        """Returns whether a ticket is unexpired and the table has room."""
        expires_at = from_milliseconds(ticket.expires_ms)
        if expires_at + CLOCK_SKEW <= self._clock.now():
            return False
        return len(self._entries) < self._capacity

    def _add_entry(self, ticket: Ticket, *, sealed: bool) -> None:
        expires_at = from_milliseconds(ticket.expires_ms)
        self._entries[ticket.ticket_id] = _WitnessEntry(expires_at, sealed)


def _to_witness_answer(entry: _WitnessEntry) -> WitnessAnswer:
    if entry.sealed:
        return WitnessAnswer(Verdict.SEALED, NOT_RUN)
    return WitnessAnswer(Verdict.HELD, entry.outcome)


def _discard_expired(
    entries: dict[str, _OwnerEntry] | dict[str, _WitnessEntry],
    now: datetime,
) -> int:
    """Removes entries past expiry and clock skew; returns their count."""
    expired = [
        ticket_id
        for ticket_id, entry in entries.items()
        if entry.expires_at + 2 * CLOCK_SKEW < now
    ]
    for ticket_id in expired:
        entries.pop(ticket_id)
    return len(expired)
