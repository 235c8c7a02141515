"""The settings that a running router uses, some of which change without a restart."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from pondhatch.cli._settings_file import SettingsFile
from pondhatch.configuration import Settings

#: Seconds between checks of the settings file for changes.
CHECK_SECONDS = 5.0


class CurrentSettings:
    """The settings in use; ``on_reload`` is called after they were read anew."""

    def __init__(self, settings: Settings, path: Path, on_reload: Callable[[], None]) -> None:
        self.value = settings
        self._file = SettingsFile(path)
        self._on_reload = on_reload

    async def watch(self) -> None:
        """Check the settings file periodically, since it may change without a signal."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self._file.has_changed():
                self.reload()

    def reload(self) -> None:
        """Apply those changed settings that a running router can reload."""
        reloaded = self._file.reload(self.value)
        if reloaded is not None:
            self.value = reloaded
            self._on_reload()
