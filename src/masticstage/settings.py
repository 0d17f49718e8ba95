"""Settings of one process, read from a TOML file."""

from collections.abc import Iterator
from pathlib import Path

from returns.result import Failure, Result, Success

from masticstage.documents import Faults, read_toml, structure
from masticstage.exceptions import Fault
from masticstage.settings_schema import Settings


def load_settings(path: Path) -> Result[Settings, Faults]:
    """Reads and validates a settings file; a failure holds all its faults."""
    source = str(path)
    typed = read_toml(path).bind(
        lambda document: structure(document, source, Settings),
    )
    return typed.bind(lambda settings: _check_files(settings, source))


def _check_files(settings: Settings, source: str) -> Result[Settings, Faults]:
    faults = tuple(_missing_files(settings, source))
    return Failure(faults) if faults else Success(settings)


def _missing_files(settings: Settings, source: str) -> Iterator[Fault]:
    files_by_key = {
        'peer_tls.certificate': settings.peer_tls.certificate,
        'peer_tls.key': settings.peer_tls.key,
        'peer_tls.authority': settings.peer_tls.authority,
        'caller_tls.certificate': settings.caller_tls.certificate,
        'caller_tls.key': settings.caller_tls.key,
    }
    for key, file_name in files_by_key.items():
        if file_name and not Path(file_name).is_file():
            yield Fault(source, key, 'a readable file')
