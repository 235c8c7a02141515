"""Following the configuration as the platform holds it.

Either a log of changes, which pondhatch's own commands write, or one document that
somebody else writes whole.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import msgspec

from pondhatch.configuration._changes import Change, Snapshot
from pondhatch.configuration._fit import Misfit
from pondhatch.configuration._fleet import Fleet, Rejected
from pondhatch.configuration._publishing import CHANGE_KIND, Broken, read_change, read_fleet
from pondhatch.store import Platform, PlatformLost, Unavailable

News = Change | Fleet | Rejected | Broken


class ConfigurationSource(Protocol):
    """Where a fleet's configuration is kept."""

    def follow(self, in_force: Callable[[], Fleet]) -> AsyncIterator[News]:
        """Yield what is newer than what is in force, as it comes.

        Raises PlatformLost or TooOld.
        """


class ChangeLog:
    """The log of changes; see ConfigurationSource."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def follow(self, in_force: Callable[[], Fleet]) -> AsyncIterator[News]:
        """Yield each change, or the whole where some were missed."""
        async for event in self._platform.watch(CHANGE_KIND, None):
            if event.type == "set":
                yield read_change(int(event.name), event.value)
            missed = event.type == "set" and int(event.name) > in_force().version
            if event.type == "bookmark" or missed:
                fleet = await read_fleet(self._platform, in_force())
                if isinstance(fleet, Unavailable):
                    raise PlatformLost(fleet.reason)
                yield fleet


class Document:
    """One object that holds the whole configuration; see ConfigurationSource."""

    def __init__(
        self, platform: Platform, kind: str, name: str, decode: Callable[[Any], Snapshot]
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._name = name
        #: Turns the object into entries; raises msgspec.ValidationError.
        self._decode = decode

    async def follow(self, in_force: Callable[[], Fleet]) -> AsyncIterator[News]:
        """Yield the configuration that each newer version of the document makes."""
        listed = await self._platform.list(self._kind)
        if isinstance(listed, Unavailable):
            raise PlatformLost(listed.reason)
        for each in listed.objects:
            if each.name == self._name:
                yield self._replaced(in_force(), each.value)
        async for event in self._platform.watch(self._kind, listed.version):
            if event.type == "set" and event.name == self._name:
                yield self._replaced(in_force(), event.value)

    def _replaced(self, fleet: Fleet, value: Any) -> Fleet | Rejected:
        try:
            whole = self._decode(value)
        except msgspec.ValidationError as error:
            return Rejected(((("document", self._name), Misfit((), str(error))),))
        if whole.version <= fleet.version:
            return fleet
        return fleet.replaced_by(whole)
