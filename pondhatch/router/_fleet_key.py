"""The fleet's shared key, where no file holds it: agreed on through the platform.

The first router creates the object, under the condition that there is none; whoever
comes later, or loses the race, reads it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

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
)

log = log_for("process")

#: Kind and name of the object that holds the key.
KEY_KIND = "pondhatch-fleet-key"
KEY_NAME = "current"
#: Seconds between tries, first and at most, while the platform is out.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0

Sleep = Callable[[float], Awaitable[None]]


async def obtain_fleet_key(
    platform: Platform, new_key: str, rng: random.Random, sleep: Sleep = asyncio.sleep
) -> bytes:
    """Return the fleet's key, ``new_key`` if there was none; waits for the platform."""
    backoff = Backoff(INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, rng)
    # A key that is there stays, so what the platform held some seconds ago will do. That there
    # was none then is found out by writing one.
    may_be_old = True
    while True:
        found = await platform.get(KEY_KIND, KEY_NAME, may_be_old)
        may_be_old = False
        if isinstance(found, Unavailable):
            log.warning("The platform does not tell the fleet's key: {}.", found.reason)
            await sleep(backoff.next())
            continue
        key = _read_key(found.object) if isinstance(found, Found) else None
        if key is not None:
            return key.encode()
        written = await _write_key(platform, found, {"key": new_key})
        if isinstance(written, Accepted):
            return new_key.encode()
        log.info("Another router writes the fleet's key, or the answer was lost: {}.", written)
        await sleep(backoff.next())


async def restore_fleet_key(platform: Platform, key: bytes) -> None:
    """Have the platform hold the fleet's key again, where it has lost it."""
    written = await platform.create(KEY_KIND, KEY_NAME, {"key": key.decode()})
    if isinstance(written, Accepted):
        log.warning("The platform had lost the fleet's key; it holds it again.")
        return
    found = await platform.get(KEY_KIND, KEY_NAME)
    if isinstance(found, Found) and _read_key(found.object) not in (None, key.decode()):
        log.error("The platform holds another key than this fleet's: who starts now stands apart.")


def _read_key(stored: StoredObject) -> str | None:
    """Return the key that an object holds, or None where it holds none."""
    key = stored.value.get("key") if isinstance(stored.value, Mapping) else None
    return key if isinstance(key, str) and key else None


async def _write_key(
    platform: Platform, found: Found | Missing, value: dict[str, str]
) -> Accepted | Conflict | OutcomeUnknown | Unavailable:
    """Write the key where there is none, in the place of whatever holds none."""
    if isinstance(found, Missing):
        return await platform.create(KEY_KIND, KEY_NAME, value)
    # Kept, it would keep every router that starts from its fleet.
    log.error("What the platform holds as the fleet's key is none; it is replaced.")
    return await platform.update(KEY_KIND, KEY_NAME, value, found.object.version)
