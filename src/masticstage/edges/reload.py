"""Settings of a running instance, reloaded on SIGHUP or a file change."""

from collections.abc import Callable
from pathlib import Path
from typing import final

import attrs
from returns.result import Failure, Result, Success

from masticstage.documents import Faults, read_toml, structure
from masticstage.entrysettings_schema import EntrySettings


def load_entry_settings(path: Path) -> Result[EntrySettings, Faults]:
    """Reads and validates a settings file; returns all its faults."""
    source = str(path)
    return read_toml(path).bind(
        lambda document: structure(document, source, EntrySettings),
    )


@final
@attrs.define
class SettingsFile:
    """The settings in force and the file that they were loaded from."""

    _path: Path
    _settings: EntrySettings
    _loaded_mtime_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Records the modification time of the loaded file."""
        self._loaded_mtime_s = self._mtime_s()

    @property
    def settings(self) -> EntrySettings:
        """The settings in force."""
        return self._settings

    def has_changed(self) -> bool:
        """Returns whether the file was modified since it was loaded."""
        return self._mtime_s() != self._loaded_mtime_s

    def reload(self, log: Callable[[str, Faults], None]) -> None:
        """Loads the file again; an invalid one leaves the settings in force.

        The name, location and addresses of a running process do not change.
        `log` is called with an event and the faults.
        """
        self._loaded_mtime_s = self._mtime_s()
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

    def _mtime_s(self) -> float:
        try:
            return self._path.stat().st_mtime
        except OSError:
            # The file is being replaced; the next check finds the new one.
            return 0
