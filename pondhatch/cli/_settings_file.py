"""Detects changes of the settings file of a running router, and reloads it."""

from __future__ import annotations

from pathlib import Path

from msgspec.structs import replace

from pondhatch.configuration import ConfigurationError, Settings, load_settings
from pondhatch.observing import log_for

log = log_for("settings")

#: Settings that a running router can reload; the others take effect at its next start.
RELOADABLE = ("limits", "drain", "drain_seconds")


class SettingsFile:
    """The settings file of one router."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._last_content = self._read_content()

    def has_changed(self) -> bool:
        """Return whether the file's content differs from when it was last read."""
        return self._read_content() != self._last_content

    def reload(self, current: Settings) -> Settings | None:
        """Return the current settings with those reloaded from the file; None if it is invalid."""
        self._last_content = self._read_content()
        try:
            read = load_settings(self._path)
        except ConfigurationError as error:
            for problem in error.problems:
                log.error("Settings not reloaded: {}.", problem)
            return None
        reloadable = {name: getattr(read, name) for name in RELOADABLE}
        reloaded = replace(current, **reloadable)
        notes = [] if reloaded == read else ["other changes take effect at the next start"]
        log.info("Settings reloaded{}.", "".join(f"; {each}" for each in notes))
        return reloaded

    def _read_content(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError as error:
            log.warning("Settings file cannot be read: {}.", error.strerror)
            return b""
