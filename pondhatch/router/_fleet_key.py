"""The fleet's shared key, where no file holds it: agreed on through the platform.

The first router creates the object, under the condition that there is none; whoever
comes later, or loses the race, reads it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from pondhatch.kernel import Backoff
from pondhatch.observing import log_for
from pondhatch.store import Accepted, Found, Missing, Platform

log = log_for("process")

#: Kind and name of the object that holds the key.
KEY_KIND = "pondhatch-fleet-key"
KEY_NAME = "current"
#: Seconds between tries, first and at most, while the platform is out.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 2.0

Sleep = Callable[[float], Awaitable[None]]


async def agreed_key(
    platform: Platform, new_key: str, rng: random.Random, sleep: Sleep = asyncio.sleep
) -> bytes:
    """Return the fleet's key, ``new_key`` if there was none; waits for the platform."""
    backoff = Backoff(FIRST_PAUSE, LONGEST_PAUSE, rng)
    while True:
        found = await platform.get(KEY_KIND, KEY_NAME)
        if isinstance(found, Found):
            return str(found.object.value["key"]).encode()
        if isinstance(found, Missing):
            written = await platform.create(KEY_KIND, KEY_NAME, {"key": new_key})
            if isinstance(written, Accepted):
                return new_key.encode()
            log.info("Another router writes the fleet's key, or the answer was lost: {}.", written)
        else:
            log.warning("The platform does not tell the fleet's key: {}.", found.reason)
        await sleep(backoff.next())
