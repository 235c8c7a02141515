"""Publishes changes and snapshots to the platform, and reads them back."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import msgspec

from pondhatch.configuration._changes import Change, Edit, Snapshot, change_object_name
from pondhatch.configuration._fleet import FleetConfiguration
from pondhatch.observing import log_for
from pondhatch.store import (
    Accepted,
    Found,
    Missing,
    OutcomeUnknown,
    Platform,
    Unavailable,
)

log = log_for("configuration")

#: Kind of the platform's objects that hold changes.
CHANGE_KIND = "pondhatch-change"
#: Kind of the objects that hold parts of snapshots, and of the pointer to the latest one.
SNAPSHOT_KIND = "pondhatch-snapshot"
POINTER_NAME = "latest"
#: A snapshot is written after this many changes, so that no reader applies more of them.
CHANGES_PER_SNAPSHOT = 64
#: Bytes of entries in one part of a snapshot; the platform accepts objects of up to 1 MB.
SNAPSHOT_PART_BYTES = 512 * 1024
#: Attempts to read back a write whose reply was lost, and seconds between them.
READ_BACK_TRIES = 5
READ_BACK_SECONDS = 0.3


class SnapshotPointer(msgspec.Struct, frozen=True):
    """Points to the latest complete snapshot."""

    version: int
    parts: int


class Published(msgspec.Struct, frozen=True):
    """The change is accepted at this version; a due snapshot may or may not be written."""

    version: int


class LostRace(msgspec.Struct, frozen=True):
    """Another change has the version; none of this one is applied."""

    winner: Change


class Unresolved(msgspec.Struct, frozen=True):
    """The outcome is unknown: the change may be accepted, under this id."""

    change_id: str
    version: int
    reason: str


class NotWritten(msgspec.Struct, frozen=True):
    """The platform could not be reached; nothing was written."""

    reason: str


class Inconsistent(msgspec.Struct, frozen=True):
    """The objects at the platform are inconsistent, as when part of a snapshot is missing."""

    reason: str


PublishOutcome = Published | LostRace | Unresolved | NotWritten | Inconsistent

Sleep = Callable[[float], Awaitable[None]]


async def read_configuration(
    platform: Platform, configuration: FleetConfiguration, until_version: int | None = None
) -> FleetConfiguration | Unavailable | Inconsistent:
    """Return the configuration at the platform, starting from one already known.

    ``until_version`` asks for an older version instead of the newest. Starting from an empty
    configuration, no version before that of the latest snapshot is available.
    """
    if configuration.version == 0:
        start = await _read_snapshot(platform)
        if not isinstance(start, FleetConfiguration):
            return start
        configuration = start
    while until_version is None or configuration.version < until_version:
        found = await platform.get(CHANGE_KIND, change_object_name(configuration.version + 1))
        if isinstance(found, Missing):
            return configuration
        if isinstance(found, Unavailable):
            return found
        change = read_change(configuration.version + 1, found.object.value)
        following = configuration.with_change(change)
        configuration = (
            following
            if isinstance(following, FleetConfiguration)
            else configuration.with_skipped_change(change)
        )
    return configuration


def read_change(version: int, value: Any) -> Change:
    """Return the change that the log holds at a version; an empty one if it is unreadable.

    Every router skips an unreadable change in the same way. Otherwise it would block all later
    changes, and starting routers would get no configuration.
    """
    try:
        change = msgspec.convert(value, Change)
    except msgspec.ValidationError as error:
        return _unreadable(version, str(error))
    if change.version != version:
        return _unreadable(version, f"calls itself {change.version}")
    return change


def _unreadable(version: int, reason: str) -> Change:
    log.error("Change {} is unreadable and has no effect: {}.", version, reason)
    return Change(version, "", "", 0.0, f"unreadable: {reason}", ())


async def publish(
    platform: Platform, change: Change, sleep: Sleep = asyncio.sleep
) -> PublishOutcome:
    """Create a change; if the reply is lost, read it back and compare the change ids."""
    name = change_object_name(change.version)
    outcome = await platform.create(CHANGE_KIND, name, msgspec.to_builtins(change))
    if isinstance(outcome, Accepted):
        return Published(change.version)
    if isinstance(outcome, Unavailable):
        return NotWritten(outcome.reason)
    outcome_unknown = isinstance(outcome, OutcomeUnknown)
    reason = outcome.reason if isinstance(outcome, OutcomeUnknown) else "conflict"
    for _ in range(READ_BACK_TRIES):
        found = await platform.get(CHANGE_KIND, name)
        if isinstance(found, Found):
            stored = read_change(change.version, found.object.value)
            is_own = stored.change_id == change.change_id
            return Published(change.version) if is_own else LostRace(stored)
        if isinstance(found, Missing) and outcome_unknown:
            outcome = await platform.create(CHANGE_KIND, name, msgspec.to_builtins(change))
            if isinstance(outcome, Accepted):
                return Published(change.version)
        await sleep(READ_BACK_SECONDS)
    return Unresolved(change.change_id, change.version, reason)


async def write_snapshot(platform: Platform, snapshot: Snapshot) -> bool:
    """Write a snapshot's parts, then the pointer to it.

    Returns whether the pointer names this snapshot or a newer one.
    """
    parts = _split_parts(snapshot.edits)
    for number, part in enumerate(parts):
        value = [msgspec.to_builtins(edit) for edit in part]
        outcome = await platform.create(SNAPSHOT_KIND, _part_name(snapshot.version, number), value)
        if isinstance(outcome, Unavailable | OutcomeUnknown):
            return False
    pointer = SnapshotPointer(snapshot.version, len(parts))
    return await _move_pointer(platform, pointer)


async def _move_pointer(platform: Platform, pointer: SnapshotPointer) -> bool:
    value: Any = msgspec.to_builtins(pointer)
    found = await platform.get(SNAPSHOT_KIND, POINTER_NAME)
    if isinstance(found, Unavailable):
        return False
    if isinstance(found, Missing):
        return isinstance(await platform.create(SNAPSHOT_KIND, POINTER_NAME, value), Accepted)
    if msgspec.convert(found.object.value, SnapshotPointer).version >= pointer.version:
        return True
    outcome = await platform.update(SNAPSHOT_KIND, POINTER_NAME, value, found.object.version)
    return isinstance(outcome, Accepted)


async def _read_snapshot(platform: Platform) -> FleetConfiguration | Unavailable | Inconsistent:
    found = await platform.get(SNAPSHOT_KIND, POINTER_NAME)
    if isinstance(found, Unavailable):
        return found
    if isinstance(found, Missing):
        return FleetConfiguration()
    pointer = msgspec.convert(found.object.value, SnapshotPointer)
    edits: list[Edit] = []
    for number in range(pointer.parts):
        part = await platform.get(SNAPSHOT_KIND, _part_name(pointer.version, number))
        if isinstance(part, Unavailable):
            return part
        if isinstance(part, Missing):
            return Inconsistent(f"part {number} of snapshot {pointer.version} is missing")
        edits.extend(_readable_edits(pointer.version, part.object.value))
    return FleetConfiguration.from_snapshot(Snapshot(pointer.version, tuple(edits)))


def _readable_edits(version: int, part: Any) -> Iterator[Edit]:
    """Yield the entries in a part of a snapshot; unreadable ones are logged and left out."""
    for value in part:
        try:
            yield msgspec.convert(value, Edit)
        except msgspec.ValidationError as error:
            log.error("An entry of snapshot {} is left out: {}.", version, error)


def _part_name(version: int, number: int) -> str:
    return f"{change_object_name(version)}-{number:03d}"


def _split_parts(edits: tuple[Edit, ...]) -> list[list[Edit]]:
    """Split entries into parts, each within the platform's limit on the size of an object."""
    parts: list[list[Edit]] = [[]]
    size = 0
    for edit in edits:
        edit_size = len(msgspec.json.encode(edit))
        if parts[-1] and size + edit_size > SNAPSHOT_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(edit)
        size += edit_size
    return parts
