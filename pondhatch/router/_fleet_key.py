"""The fleet's shared key, stored at the platform where no file holds it.

The first router creates the object, on condition that there is none. A router that starts later or
loses the race reads it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

import msgspec

from pondhatch.kernel import Backoff
from pondhatch.observing import log_for
from pondhatch.store import (
    Accepted,
    Conflict,
    Found,
    Missing,
    OutcomeUnknown,
    Platform,
    StoredObject,
    Unavailable,
    era_of,
)

log = log_for("process")

#: Kind and name of the object that holds the key.
KEY_KIND = "pondhatch-fleet-key"
KEY_NAME = "current"
#: Seconds between retries during an outage of the platform, at first and at most.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0

#: The era of a platform that was never restored from an older copy; one that reports none is in an
#: earlier one.
FIRST_ERA = 1

Sleep = Callable[[float], Awaitable[None]]


class AgreedKey(msgspec.Struct, frozen=True):
    """The key on which the routers of a fleet agreed."""

    key: bytes
    #: Whether this router was the first of all: the platform held no key, and took this one.
    is_new: bool


async def obtain_fleet_key(
    platform: Platform, new_key: str, rng: random.Random, sleep: Sleep = asyncio.sleep
) -> AgreedKey:
    """Return the fleet's key, ``new_key`` if there was none; retry until the platform answers."""
    backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, rng)
    # An existing key does not change, so a stale read of it is good enough. A stale read that finds
    # none is corrected by the write.
    may_be_old = True
    while True:
        found = await platform.get(KEY_KIND, KEY_NAME, may_be_old)
        may_be_old = False
        if isinstance(found, Unavailable):
            log.warning("Reading the fleet's key from the platform failed: {}.", found.reason)
            await sleep(backoff.next())
            continue
        key = _read_key(found.object) if isinstance(found, Found) else None
        if key is not None:
            return AgreedKey(key.encode(), is_new=False)
        written = await _write_key(platform, found, {"key": new_key})
        if isinstance(written, Accepted):
            return AgreedKey(new_key.encode(), _was_never_written(found))
        log.info(
            "Another router wrote the fleet's key, or the answer was lost; retrying: {}.", written
        )
        await sleep(backoff.next())


async def restore_fleet_key(platform: Platform, key: bytes) -> None:
    """Write the fleet's key to the platform again if the platform has lost it."""
    written = await platform.create(KEY_KIND, KEY_NAME, {"key": key.decode()})
    if isinstance(written, Accepted):
        log.warning("The platform had lost the fleet's key; this router wrote it again.")
        return
    found = await platform.get(KEY_KIND, KEY_NAME)
    if isinstance(found, Found) and _read_key(found.object) not in (None, key.decode()):
        log.error("The platform holds a different fleet key; routers that start now cannot join.")


def _was_never_written(found: Found | Missing) -> bool:
    """Return whether there was no key, and the platform has not lost one either."""
    return isinstance(found, Missing) and era_of(found.as_of) <= FIRST_ERA


def _read_key(stored: StoredObject) -> str | None:
    """Return the key in a stored object, or None where it holds none."""
    key = stored.value.get("key") if isinstance(stored.value, Mapping) else None
    return key if isinstance(key, str) and key else None


async def _write_key(
    platform: Platform, found: Found | Missing, value: dict[str, str]
) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
    """Create the object that holds the key, or replace one that holds none."""
    if isinstance(found, Missing):
        return await platform.create(KEY_KIND, KEY_NAME, value)
    # If this object stayed, no router that starts could join the fleet.
    log.error("The platform's object for the fleet's key holds no valid key; replacing it.")
    return await platform.update(KEY_KIND, KEY_NAME, value, found.object.version)
