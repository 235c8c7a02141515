"""The stand-in of the prepared machines' store, on a virtual clock."""

from __future__ import annotations

import asyncio
import json
import unittest
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from fakes import _machines_store
from fakes._machines_store import MachinesStoreFake
from fakes._virtual_loop import run_virtually

KIND = "evacuations"
#: Length of a wait, and the time between two moments at which a write is tried, in milliseconds.
WAIT_MS = 50
STEP_MS = 1


class FakeRequest:
    """A call that asks for the changes after a revision."""

    method = b"GET"

    def __init__(self, since: int) -> None:
        self.args = {b"Watch": [b"%d" % since], b"WaitMs": [b"%d" % WAIT_MS]}
        self.code = 200

    def setResponseCode(self, code: int) -> None:
        self.code = code

    def setHeader(self, name: str, value: str) -> None:
        """Do nothing."""


class WatchTest(unittest.TestCase):
    def seen(self, writes: list[tuple[str, float]]) -> list[str]:
        """Return the names that a watcher of three waits in a row sees.

        Each write is its kind, and the seconds from the watch's start until it.
        """

        async def write(fake: MachinesStoreFake) -> None:
            began = asyncio.get_running_loop().time()
            for index, (kind, after) in enumerate(writes):
                await asyncio.sleep(began + after - asyncio.get_running_loop().time())
                fake.store.write(kind, f"{kind}-{index}", {})

        async def main() -> list[str]:
            clock = SimpleNamespace(monotonic=asyncio.get_running_loop().time)
            fake = MachinesStoreFake()
            fake.store.write(KIND, "before", {})
            since, found = fake.store.revision, []
            with patch.object(_machines_store, "time", clock):
                writer = asyncio.create_task(write(fake))
                for _ in range(3):
                    request = FakeRequest(since)
                    answer: Any = json.loads(await fake._handle_collection(request, KIND))
                    self.assertEqual(request.code, 200)
                    self.assertGreaterEqual(answer["Timestamp"], since)
                    since = answer["Timestamp"]
                    found += [each["Object"]["Metadata"]["Name"] for each in answer["events"]]
                await writer
            return found

        return run_virtually(main())

    # A write in the last 10 ms of a wait that brought nothing was skipped by that watch for good.
    def test_a_write_at_any_time_of_a_wait_is_seen_once(self) -> None:
        for after_ms in range(0, 2 * WAIT_MS, STEP_MS):
            with self.subTest(after_ms=after_ms):
                found = self.seen([(KIND, after_ms / 1000)])
                self.assertEqual(found, [f"{KIND}-0"])

    def test_a_write_of_another_kind_at_any_time_hides_none(self) -> None:
        for after_ms in range(0, 2 * WAIT_MS, STEP_MS):
            with self.subTest(after_ms=after_ms):
                at = after_ms / 1000
                found = self.seen([(KIND, at), ("servers", at), (KIND, at + 0.001)])
                self.assertEqual(found, [f"{KIND}-0", f"{KIND}-2"])
