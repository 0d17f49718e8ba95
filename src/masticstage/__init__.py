"""Multi-region gateway for model services and applications.

The names below are the library for callers; the rest of the package is the
gateway itself.
"""

from masticstage.caller import (
    AnswerIncompleteError,
    Caller,
    CallRefusedError,
    ModelAnswer,
)
from masticstage.exceptions import MasticstageError
from masticstage.outcomes import Answer, CallOutcome, Outcome

__all__ = (
    'Answer',
    'AnswerIncompleteError',
    'CallOutcome',
    'CallRefusedError',
    'Caller',
    'MasticstageError',
    'ModelAnswer',
    'Outcome',
)
