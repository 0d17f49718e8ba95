"""Conversion of `Result` values to exceptions."""

from typing import TypeVar, cast

from returns.result import Failure, Result, Success

_Inner = TypeVar('_Inner')
_Error = TypeVar('_Error', bound=Exception)


def unwrap_or_raise(outcome: Result[_Inner, _Error]) -> _Inner:
    """Returns the value of a success or raises the error of a failure."""
    match outcome:
        case Success(inner):
            return cast('_Inner', inner)
        case Failure(error):
            raise error
    raise AssertionError(outcome)
