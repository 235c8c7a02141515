"""Sources of the configuration at the platform, and how to follow them.

A source is either a log of changes, written by pondhatch's own commands, or one document that
another system writes as a whole.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import msgspec

from pondhatch.configuration._changes import Change, Snapshot
from pondhatch.configuration._fleet import FleetConfiguration, Rejected
from pondhatch.configuration._publishing import (
    CHANGE_KIND,
    Inconsistent,
    read_change,
    read_configuration,
)
from pondhatch.configuration._validation import Misfit
from pondhatch.store import Listed, Platform, PlatformLost, Position, Unavailable

ConfigurationEvent = Change | FleetConfiguration | Rejected | Inconsistent


class ConfigurationSource(Protocol):
    """Where a fleet's configuration is kept."""

    def follow(
        self, current: Callable[[], FleetConfiguration]
    ) -> AsyncIterator[ConfigurationEvent]:
        """Yield whatever is newer than the current configuration, as it arrives.

        ``current`` returns the configuration in use. Raises PlatformLost or TooOld.
        """

    async def read_newer(
        self, current: FleetConfiguration, since: Position
    ) -> ConfigurationEvent | Unavailable | None:
        """Return what is newer than a configuration now; None if nothing is.

        ``since`` is the platform's position up to which ``current`` is the newest; 0 if unknown.
        """


class ChangeLog:
    """The log of changes, written by pondhatch's commands; see ConfigurationSource."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def follow(
        self, current: Callable[[], FleetConfiguration]
    ) -> AsyncIterator[ConfigurationEvent]:
        """Yield each change, and the whole configuration if some were missed."""
        async for event in self._platform.watch(CHANGE_KIND, None):
            if event.type == "set":
                yield read_change(int(event.name), event.value)
            # Checked after the receiver applied it: if it is still ahead, earlier ones are missing.
            is_ahead = event.type == "set" and int(event.name) > current().version
            if event.type == "bookmark" or is_ahead:
                configuration = await read_configuration(self._platform, current())
                if isinstance(configuration, Unavailable):
                    raise PlatformLost(configuration.reason)
                yield configuration

    async def read_newer(
        self, current: FleetConfiguration, since: Position
    ) -> ConfigurationEvent | Unavailable | None:
        """Return the whole configuration, also if it is no newer."""
        return await read_configuration(self._platform, current)


class ConfigurationDocument:
    """One object that holds the whole configuration; see ConfigurationSource."""

    def __init__(
        self, platform: Platform, kind: str, name: str, decode: Callable[[Any], Snapshot]
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._name = name
        #: Decodes the object into entries; raises msgspec.ValidationError.
        self._decode = decode

    async def follow(
        self, current: Callable[[], FleetConfiguration]
    ) -> AsyncIterator[ConfigurationEvent]:
        """Yield the configuration, or Rejected, for each version of the document."""
        listed = await self._platform.list(self._kind)
        if isinstance(listed, Unavailable):
            raise PlatformLost(listed.reason)
        for each in listed.objects:
            if each.name == self._name:
                yield self._apply(current(), each.value)
        async for event in self._platform.watch(self._kind, listed.version):
            if event.type == "set" and event.name == self._name:
                yield self._apply(current(), event.value)

    async def read_newer(
        self, current: FleetConfiguration, since: Position
    ) -> ConfigurationEvent | Unavailable | None:
        """Return the configuration of the document, or Rejected; None if it did not change."""
        read = await self._platform.changes(self._kind, since)
        if isinstance(read, Unavailable):
            return read
        written = (
            read.objects
            if isinstance(read, Listed)
            else [each for each in read.events if each.type == "set"]
        )
        values = [each.value for each in written if each.name == self._name]
        return self._apply(current, values[-1]) if values else None

    def _apply(
        self, configuration: FleetConfiguration, value: Any
    ) -> FleetConfiguration | Rejected:
        try:
            snapshot = self._decode(value)
        except msgspec.ValidationError as error:
            return Rejected(((("document", self._name), Misfit((), str(error))),))
        if snapshot.version <= configuration.version:
            return configuration
        return configuration.with_snapshot(snapshot)
