"""Faults of the stand-in for an upstream."""

import enum
from types import MappingProxyType
from typing import Final


@enum.unique
class Fault(enum.Enum):
    """Fault of an upstream while it serves one request."""

    NONE = 'sound'
    #: An unsolicited second answer follows.
    EXTRA = 'extra'
    #: The answer has the id of another request.
    OTHER_ID = 'other-id'
    #: The answer has no X-Response-Signature.
    UNSIGNED = 'unsigned'
    #: The body has no Content-Length and ends with the connection.
    UNFRAMED = 'unframed'
    #: The same, but it ends within an event of a stream.
    UNFRAMED_CUT_IN_EVENT = 'unframed-cut-in-event'
    #: The same, but the connection is reset after the last byte.
    UNFRAMED_RESET = 'unframed-reset'
    #: The connection closes before the end of the answer; in a stream, between
    #: two events.
    CUT = 'cut'
    #: The connection closes within an event of a stream.
    CUT_IN_EVENT = 'cut-in-event'
    #: The connection closes after the request has run, without an answer.
    RESET = 'reset'
    #: The same, but only the direction to the caller closes.
    HALF_CLOSED = 'half-closed'
    #: The request runs, but no answer follows.
    SILENT = 'silent'
    #: Status 421: the request was meant for another upstream.
    MISDIRECTED = 'misdirected'
    #: Status 503 with X-Not-Executed.
    NOT_RUN = 'not-run'
    #: Status 503 with X-Not-Executed and the id of another request.
    OTHER_NOT_RUN = 'other-not-run'
    #: Status 200 and signed, but a plain text about an error.
    TEXT = 'text'
    #: The connection closes within the head of the answer.
    CUT_IN_HEAD = 'cut-in-head'
    #: The same refusal, with a Retry-After of a second.
    REST = 'rest'
    #: Status 500 with a text, after the request has run.
    ERROR = 'error'
    #: The status of a refusal without X-Not-Executed, after the request has
    #: run.
    RAN_TIMEOUT = 'ran-timeout'
    RAN_MISDIRECTED = 'ran-misdirected'
    RAN_BUSY = 'ran-busy'
    RAN_UNAVAILABLE = 'ran-unavailable'
    #: Status 503 with X-Not-Executed, but without a request id.
    UNNAMED_NOT_RUN = 'unnamed-not-run'
    #: Like NOT_RUN and UNNAMED_NOT_RUN; the same answer is written once more
    #: when the next request on the connection has begun to run.
    NOT_RUN_TWICE = 'not-run-twice'
    UNNAMED_NOT_RUN_TWICE = 'unnamed-not-run-twice'
    #: A whole answer that is written once more in the same way.
    ANSWER_TWICE = 'answer-twice'
    #: The same without a request id.
    UNNAMED_ANSWER_TWICE = 'unnamed-answer-twice'
    #: An answer with a status that HTTP does not have, and then a sound one.
    ZERO_STATUS = 'status-000'
    LOW_STATUS = 'status-099'
    HIGH_STATUS = 'status-600'
    HIGHEST_STATUS = 'status-999'
    #: A part of an answer without a length, before the request was read; then
    #: the connection is reset, before or after the rest of the request arrives.
    EARLY_RESET = 'early-reset'
    EARLY_LATE_RESET = 'early-late-reset'


UNFRAMED_FAULTS: Final = frozenset(
    (Fault.UNFRAMED, Fault.UNFRAMED_CUT_IN_EVENT, Fault.UNFRAMED_RESET)
)
EARLY_FAULTS: Final = frozenset((Fault.EARLY_RESET, Fault.EARLY_LATE_RESET))
INVALID_STATUS: Final = MappingProxyType(
    {
        Fault.ZERO_STATUS: '000',
        Fault.LOW_STATUS: '099',
        Fault.HIGH_STATUS: '600',
        Fault.HIGHEST_STATUS: '999',
    }
)
STATUS_AFTER_RUN: Final = MappingProxyType(
    {
        Fault.RAN_TIMEOUT: 408,
        Fault.RAN_MISDIRECTED: 421,
        Fault.RAN_BUSY: 429,
        Fault.RAN_UNAVAILABLE: 503,
        Fault.OTHER_NOT_RUN: 503,
    }
)
REFUSALS: Final = frozenset(
    (
        Fault.NOT_RUN,
        Fault.REST,
        Fault.UNNAMED_NOT_RUN,
        Fault.NOT_RUN_TWICE,
        Fault.UNNAMED_NOT_RUN_TWICE,
    )
)
UNNAMED_REFUSALS: Final = frozenset(
    (Fault.UNNAMED_NOT_RUN, Fault.UNNAMED_NOT_RUN_TWICE)
)
REFUSALS_WRITTEN_TWICE: Final = frozenset(
    (Fault.NOT_RUN_TWICE, Fault.UNNAMED_NOT_RUN_TWICE)
)
ANSWERS_WRITTEN_TWICE: Final = frozenset(
    (Fault.ANSWER_TWICE, Fault.UNNAMED_ANSWER_TWICE)
)
#: Random faults. A first answer that is a signed text is passed on as it is, so
#: that callers could not tell it from a false success.
DRAWN_FAULTS: Final = tuple(fault for fault in Fault if fault is not Fault.TEXT)
