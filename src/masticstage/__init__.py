"""Multi-region gateway for model services and applications.

The names below are the library for callers; the rest of the package is the
gateway itself.  They are imported on first use.  The programs need few of
them and start faster without the rest, so that an instance is available again
soon after a restart.
"""

from importlib import import_module
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
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

_MODULES: Final = MappingProxyType(
    {
        'Answer': 'outcomes',
        'AnswerIncompleteError': 'caller',
        'CallOutcome': 'outcomes',
        'CallRefusedError': 'caller',
        'Caller': 'caller',
        'MasticstageError': 'exceptions',
        'ModelAnswer': 'caller',
        'Outcome': 'outcomes',
    }
)


def __getattr__(name: str) -> Any:  # noqa: WPS413 (loads names on first use)
    """Imports the module of a public name and returns the name from it."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(import_module(f'{__name__}.{module}'), name)
