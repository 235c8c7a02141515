"""A fleet whose routers reach the engines and the store through relays."""

from __future__ import annotations

import functools
import http.client
import subprocess
import tempfile
import time
import urllib.error
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fakes._local_fleet import Backend
from fakes._machines_fleet import MachinesFleet, RouterPorts
from soak._relay import Relay

#: Seconds within which a write to the store must succeed, and between two tries.
STORE_WRITE_TIMEOUT = 60.0
STORE_RETRY_PAUSE = 0.2
#: First line of an error's traceback in the standard error of a process.
TRACEBACK = "Traceback (most recent call last):"
#: Status by which the store says that there is no such object.
NOT_FOUND = 404


class RelayedFleet(MachinesFleet):
    """A fleet whose routers reach the engines and the store through relays."""

    def __init__(self, relay_by_name: dict[str, Relay], log_file: Path | None = None) -> None:
        super().__init__(log_level="ERROR" if log_file is None else "INFO")
        self._relay_by_name = relay_by_name
        #: Gets what all processes write; None to keep only errors, until the end.
        self._log_file = log_file

    def __enter__(self) -> RelayedFleet:
        if self._log_file is None:
            self._stderr = tempfile.TemporaryFile(prefix="pondhatch-soak-")
        else:
            self._stderr = self._log_file.open("w+b")
        super().__enter__()
        return self

    def _settings(self, name: str, hall: str, ports: RouterPorts) -> dict[str, Any]:
        settings = super()._settings(name, hall, ports)
        if self._log_file is not None:
            settings["log"]["form"] = "lines"
        return settings

    def _start(
        self, module: str, *arguments: str, stdout: int | None = None
    ) -> subprocess.Popen[bytes]:
        if self._log_file is not None and self._stderr is not None and stdout is None:
            stdout = self._stderr.fileno()
        return super()._start(module, *arguments, stdout=stdout)

    def errors(self) -> list[str]:
        """Return the error line of each traceback that a process wrote."""
        if self._stderr is None:
            return []
        self._stderr.seek(0)
        text = self._stderr.read().decode(errors="replace")
        return [_error_line(part) for part in text.split(TRACEBACK)[1:]]

    def put_object(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, and retry until the store confirms it."""
        _retry_until_confirmed(functools.partial(super().put_object, kind, name, spec))

    def remove_object(self, kind: str, name: str) -> None:
        """Remove an object; if it is not there, a try whose answer was lost has removed it."""
        _retry_until_confirmed(functools.partial(super().remove_object, kind, name))

    def address_of(self, backend: Backend) -> str:
        host, _, port = backend.url.removeprefix("http://").rpartition(":")
        relay = self._relay_by_name[backend.name]
        relay.target = (host, int(port))
        return relay.address


def _error_line(trace: str) -> str:
    """Return the first line of a traceback that is not indented: it names the error."""
    lines = (line for line in trace.splitlines() if line and not line.startswith(" "))
    return next(lines, "an error that is cut off")


def _retry_until_confirmed(call: Callable[[], None]) -> None:
    deadline = time.monotonic() + STORE_WRITE_TIMEOUT
    while time.monotonic() < deadline:
        try:
            return call()
        except urllib.error.HTTPError as error:
            error.close()
            if error.code == NOT_FOUND:
                return None
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(STORE_RETRY_PAUSE)
    raise TimeoutError(f"the store did not confirm a write in {STORE_WRITE_TIMEOUT} s")
