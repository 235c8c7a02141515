"""Requests whose prompts share a part that crashes engines, and the engines that they end."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import random
import time
import uuid

from fakes._local_fleet import Backend
from fakes._machines_engine import CRASH_PART
from soak._fleet import SoakFleet, in_thread
from soak._plan import BAD_PART, STREAM_SERVICE
from soak._relay import Relay

#: Requests with the part, one by one and at once, and the seconds between two of these.
REQUESTS, PAUSE = 12, 0.3
KEY = "key-1"
DEADLINE_MS = 4000
#: Seconds between two looks for engines that ended, and until one that ended serves again.
LOOK_SECONDS, RESTART_SECONDS = 0.01, 1.5


class BadPart:
    """One part that crashes engines."""

    def __init__(self, fleet: SoakFleet, number: int) -> None:
        self._fleet = fleet
        self._part = f"{CRASH_PART}{number:04x}"
        self._rng = random.Random(number)
        #: Replacements of engines that are under way.
        self._replacing: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests with the part, and replace the engines that end; record how many did."""
        watching = asyncio.ensure_future(self._replace_ended())
        sends = []
        for _ in range(REQUESTS):
            sends.append(asyncio.ensure_future(in_thread(self._send)))
            await asyncio.sleep(PAUSE)
        await asyncio.gather(*sends)
        await asyncio.sleep(RESTART_SECONDS)
        await self._until_all_are_replaced()
        watching.cancel()
        await asyncio.gather(*self._replacing)

    async def _until_all_are_replaced(self) -> None:
        """Wait until each engine that the part ended is replaced.

        One that ended while it was being started is seen to have ended only after its start: once
        the store has confirmed its entry.
        """
        is_busy = True
        while is_busy:
            is_busy = bool(self._fleet.starting_engines or self._ended())
            is_busy = is_busy or not all(each.done() for each in self._replacing)
            await asyncio.sleep(LOOK_SECONDS)

    def _ended(self) -> list[Backend]:
        """Return the engines that ended by themselves, and for which no other was started yet."""
        return [
            each
            for each in self._fleet.engines
            if each.service == STREAM_SERVICE and each.process.poll() is not None
        ]

    def _send(self) -> None:
        """Send a request that shares nothing but the part with any other."""
        router = self._rng.choice(self._fleet.routers)
        own, attempt = uuid.uuid4().hex[:8], uuid.uuid4().hex[:16]
        headers = {
            "Host": "desk.example",
            "Attempt-Id": attempt,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": str(DEADLINE_MS),
            "Prefix-Hash": f"7e30:100,{self._part}:100,c{own}:50,d{own}:10",
        }
        address = router.caller_url.removeprefix("http://")
        connection = http.client.HTTPConnection(address, timeout=DEADLINE_MS / 1000)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", "/notes/a", own.encode(), headers)
            connection.getresponse().read()
        connection.close()

    async def _replace_ended(self) -> None:
        """Look for engines that the part ended, and replace each."""
        while True:
            for engine in self._ended():
                self._note_end(engine)
                self._replacing.add(asyncio.ensure_future(self._replace(engine)))
            await asyncio.sleep(LOOK_SECONDS)

    def _note_end(self, engine: Backend) -> None:
        ends = self._fleet.records.ends_by_bad_part
        ends[self._part] = ends.get(self._part, 0) + 1
        self._fleet.ended_engines.add(engine.name)
        self._fleet.record_end(engine)

    async def _replace(self, engine: Backend) -> None:
        """Start another engine at the address of one that ended, some time later.

        Until then its relays refuse connections, as the host of an engine that ended does.
        """
        begins = time.monotonic()
        relays = self._relays_to(engine)
        for relay in relays:
            relay.cut(is_silent=False)
        self._fleet.record_disturbance(BAD_PART, engine.name, begins)
        await asyncio.sleep(RESTART_SECONDS)
        for relay in relays:
            await relay.restore()
        fleet = self._fleet
        await fleet.add_engine(engine.service, engine.software_version, in_place_of=engine)
        await in_thread(lambda: fleet.machines_fleet.remove_object("servers", engine.name))
        self._fleet.record_disturbance(BAD_PART, engine.name, begins)

    def _relays_to(self, engine: Backend) -> tuple[Relay, ...]:
        relay = self._fleet.relay_by_name[engine.name]
        return (relay, *self._fleet.paths.relays_to(relay.address))
