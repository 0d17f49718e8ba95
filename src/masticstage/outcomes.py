"""What is known about the execution of a request."""

import enum

import attrs


@enum.unique
class Outcome(enum.Enum):
    """Whether an upstream executed a request."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@attrs.frozen
class Answer:
    """The complete answer of an application to one call."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class CallOutcome:
    """The outcome of one call, with the answer if it ran."""

    outcome: Outcome
    answer: Answer | None = None


NOT_RUN = CallOutcome(Outcome.NOT_RUN)
UNKNOWN = CallOutcome(Outcome.UNKNOWN)
