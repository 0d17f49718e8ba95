"""Validation of TOML and JSON documents by the schemas of the package.

All faults of a document are reported together, each with its key and with
what was expected there.
"""

import json
import sys
import tomllib
from functools import cache
from importlib import resources
from pathlib import Path
from typing import Any, TypeVar

import attrs
import cattrs
from jsonschema import Draft202012Validator, ValidationError
from returns.result import Failure, Result, Success

from masticstage.exceptions import Fault

Document = dict[str, Any]
Faults = tuple[Fault, ...]
_Typed = TypeVar('_Typed')


def print_faults(faults: Faults) -> None:
    """Prints faults to standard error, one JSON object per line."""
    for fault in faults:
        sys.stderr.write(f'{json.dumps(attrs.asdict(fault))}\n')


def read_toml(path: Path) -> Result[Document, Faults]:
    """Reads a TOML file; fails when it cannot be read or is not TOML."""
    source = str(path)
    try:
        text = path.read_text()
    except OSError as error:
        return Failure((Fault(source, '', f'a readable file ({error})'),))
    try:
        return Success(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        return Failure((Fault(source, '', f'valid TOML ({error})'),))


def structure(
    document: Document,
    source: str,
    document_type: type[_Typed],
) -> Result[_Typed, Faults]:
    """Validates a document by the schema of its type and converts it.

    `source` names the document in its faults.  The schema is the file named
    after `document_type`, in lower case.
    """
    validator = _validator(document_type.__name__.lower())
    errors = sorted(validator.iter_errors(document), key=str)
    if errors:
        return Failure(tuple(_to_fault(source, error) for error in errors))
    return Success(cattrs.structure(document, document_type))


@cache
def _validator(schema_name: str) -> Draft202012Validator:
    folder = resources.files('masticstage').joinpath('schemas')
    text = folder.joinpath(f'{schema_name}.json').read_text()
    return Draft202012Validator(json.loads(text))


def _to_fault(source: str, error: ValidationError) -> Fault:
    key = '.'.join(str(part) for part in error.absolute_path)
    return Fault(source, key, error.message)
