"""Settings of a running instance, read again on a signal or a change."""

from collections.abc import Callable
from pathlib import Path
from typing import final

import attrs
from returns.result import Failure, Result, Success

from masticstage.documents import Faults, read_toml, structure
from masticstage.entrysettings_schema import EntrySettings


def load_entry_settings(path: Path) -> Result[EntrySettings, Faults]:
    """Reads and checks a settings file; all its faults are returned."""
    source = str(path)
    return read_toml(path).bind(
        lambda document: structure(document, source, EntrySettings),
    )


@final
@attrs.define
class SettingsFile:
    """The settings in force, and the file that they came from."""

    _path: Path
    _settings: EntrySettings
    _changed_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Notes the age of the file that was read."""
        self._changed_at = self._modified()

    @property
    def settings(self) -> EntrySettings:
        """The settings in force."""
        return self._settings

    def has_changed(self) -> bool:
        """Tells whether the file was written since it was read."""
        return self._modified() != self._changed_at

    def reload(self, log: Callable[[str, Faults], None]) -> None:
        """Reads the file again; a faulty one leaves the settings in force.

        Names, places and addresses of a running process stay as they are.
        """
        self._changed_at = self._modified()
        match load_entry_settings(self._path):
            case Success(loaded):
                self._settings = attrs.evolve(
                    loaded,
                    instance=self._settings.instance,
                    listen=self._settings.listen,
                )
                log('reloaded', ())
            case Failure(faults):
                log('reload_refused', faults)

    def _modified(self) -> float:
        try:
            return self._path.stat().st_mtime
        except OSError:
            # A file that is being replaced; the next look finds the new one.
            return 0
