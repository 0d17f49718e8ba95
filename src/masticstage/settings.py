"""Settings of one process, read from a TOML file."""

from pathlib import Path

from returns.result import Result

from masticstage.documents import Faults, read_toml, structure
from masticstage.settings_schema import Settings


def load_settings(path: Path) -> Result[Settings, Faults]:
    """Reads and checks a settings file; all its faults are returned."""
    return read_toml(path).bind(
        lambda document: structure(document, str(path), Settings),
    )
