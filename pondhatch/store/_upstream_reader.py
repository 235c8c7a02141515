"""Decoding of the platform's upstream entries, each independently of the others."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from pondhatch.kernel import host_and_port
from pondhatch.observing import LogOnce, log_for
from pondhatch.store._objects import Listed
from pondhatch.store._upstream_entries import LEAVING, LIVE, Upstream, UpstreamEntry, UpstreamUpdate

log = log_for("store")


class UpstreamReader:
    """Decodes the platform's upstream entries; an invalid one does not affect the others."""

    def __init__(self) -> None:
        self._logged_errors = LogOnce()

    def read_listing(self, listed: Listed) -> UpstreamUpdate:
        """Return a platform listing as an update; ``left_out`` names its invalid entries."""
        found = [
            (each, self.read_upstream(each.name, each.version, each.value))
            for each in listed.objects
        ]
        entries = [UpstreamEntry(read, each.version) for each, read in found if read is not None]
        left_out = {each.name for each, read in found if read is None}
        return UpstreamUpdate(
            listed.version, tuple(entries), listed.is_whole, listed.left_out | left_out
        )

    def read_upstream(self, name: str, version: int, value: Any) -> Upstream | None:
        """Return an entry's upstream; None if the entry is invalid, which is logged once."""
        try:
            found = _convert_upstream(name, value)
        except msgspec.ValidationError as error:
            if self._logged_errors.is_first((name, version)):
                log.error("Upstream {} is ignored, its entry is invalid: {}.", name, error)
            return None
        if found.state == LIVE and not _has_address(found.url):
            if self._logged_errors.is_first((name, version)):
                log.error(
                    "Upstream {} gets no new work, its address is invalid: {!r}.", name, found.url
                )
            # Not left out: an upstream known by an earlier address must get no new work either.
            return msgspec.structs.replace(found, url="", state=LEAVING)
        return found


def _convert_upstream(name: str, value: Any) -> Upstream:
    """Return an entry's upstream. Raises msgspec.ValidationError if it does not decode."""
    try:
        return msgspec.convert(value, Upstream)
    except msgspec.ValidationError:
        if not _is_leaving(value):
            raise
        # A leaving upstream must get no new work, even if the rest of its entry is invalid.
        return Upstream(name, "", "", "", LEAVING)


def _is_leaving(value: Any) -> bool:
    return isinstance(value, Mapping) and value.get("state") == LEAVING


def _has_address(url: str) -> bool:
    return host_and_port(url.removeprefix("http://").rstrip("/")) is not None
