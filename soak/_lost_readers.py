"""Strikes the routers that read the platform for the others, all at once, and drops a key.

Callers are idle meanwhile, as a router that calls another notices sooner that it is lost.
"""

from __future__ import annotations

import asyncio
import functools
import time
import urllib.error
import urllib.request
import uuid

from fakes._machines_fleet import MachinesRouter
from soak._disturbing import freeze
from soak._fleet import SoakFleet, in_thread
from soak._plan import LOST_READERS, Fault
from soak._records import KeyUse

#: Seconds from the loss to the change, and for which the readers stand still at least.
CHANGE_AFTER_SECONDS, MIN_LOST_SECONDS = 0.1, 3.5
#: Seconds after the change from which the dropped key is used, for how long, and how often.
USED_AFTER_SECONDS, USED_SECONDS, USE_INTERVAL = 2.05, 1.0, 0.2
ANSWER_TIMEOUT = 5.0


class LostReaders:
    """See the module."""

    def __init__(self, fleet: SoakFleet, busy: set[str]) -> None:
        self._fleet = fleet
        #: Routers and engines that are under a fault and get no second one meanwhile.
        self._busy = busy

    async def inject(self, fault: Fault) -> None:
        """Strike the readers of the halls; return when they go on and the key was used."""
        key = self._fleet.take_key()
        readers = [each for each in await self._fleet.readers() if each.name not in self._busy]
        if not readers or not key:
            return
        begins = time.monotonic()
        names = [each.name for each in readers]
        self._busy.update(names)
        for name in names:
            # Recorded at the start too, so that what is checked before the end is excused.
            self._fleet.record_disturbance(LOST_READERS, name, begins)
        self._fleet.idle_until = begins + USED_AFTER_SECONDS
        seconds = max(MIN_LOST_SECONDS, fault.seconds)
        try:
            async with asyncio.TaskGroup() as group:
                for each in readers:
                    group.create_task(freeze(each, seconds))
                await asyncio.sleep(CHANGE_AFTER_SECONDS)
                await self._fleet.configure()
                await self._use(key, names, time.monotonic())
        finally:
            self._busy.difference_update(names)
            for name in names:
                self._fleet.record_disturbance(LOST_READERS, name, begins)

    async def _use(self, key: str, lost: list[str], dropped_at: float) -> None:
        """Use a dropped key at the other routers."""
        await asyncio.sleep(USED_AFTER_SECONDS)
        others = [each for each in self._fleet.routers if each.name not in lost]
        while time.monotonic() < dropped_at + USED_AFTER_SECONDS + USED_SECONDS:
            sent_at = time.monotonic()
            statuses = await asyncio.gather(
                *(in_thread(functools.partial(_status, each, key)) for each in others)
            )
            for each, status in zip(others, statuses, strict=True):
                use = KeyUse(each.name, dropped_at, sent_at, status)
                self._fleet.records.key_uses.append(use)
            await asyncio.sleep(USE_INTERVAL)


def _status(router: MachinesRouter, key: str) -> int:
    """Return the status of a request with a key, 0 if there is none."""
    headers = {
        "Host": "desk.example",
        "Attempt-Id": uuid.uuid4().hex[:16],
        "Authorization": f"Bearer {key}",
        "Deadline-Ms": "1000",
    }
    request = urllib.request.Request(f"{router.caller_url}/proofs/a", data=b"x", headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_TIMEOUT) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as error:
        error.close()
        return error.code
    except OSError:
        return 0
