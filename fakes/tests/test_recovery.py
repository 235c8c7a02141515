"""What callers see while routers are lost under load or the platform is out."""

from __future__ import annotations

import asyncio
import threading
import time
import unittest
from typing import ClassVar

from bench._chats import ChatLoad, Tally, send_chats
from fakes._local_fleet import fetch
from fakes.tests._fleet_case import KEY, FleetCase

#: Refusal codes that are acceptable while ownership of engines moves.
ALLOWED_CODES = {"engines-full", "router-unreachable", "upstream-unreachable", "rate-limited"}


class RecoveryCase(FleetCase):
    """Six routers in two halls."""

    HALLS: ClassVar[tuple[str, ...]] = ("recife-1", "recife-2") * 3
    ENGINES = 4
    RESUMES = True

    def start_load(self, entries: list[int], chats: int = 40) -> tuple[threading.Thread, Tally]:
        """Start chats through some routers; the tally is complete when the thread ends."""
        bases = [self.fleet.routers[index].callers for index in entries]
        load = ChatLoad("scene-writer", (KEY,), chats=chats, turns=4, concurrency=8, pause=0.5)
        tally = Tally()

        def send() -> None:
            vars(tally).update(vars(asyncio.run(send_chats(bases, load))))

        thread = threading.Thread(target=send)
        thread.start()
        return thread, tally


class HallFailureTest(RecoveryCase):
    def test_routers_killed_together_leave_no_answer_broken(self) -> None:
        thread, tally = self.start_load([1, 3, 5])
        time.sleep(2)
        for index in (0, 2):
            self.fleet.routers[index].process.kill()
        thread.join(120)
        self.assertEqual(tally.bad, [])
        self.assertLessEqual(set(tally.refused), ALLOWED_CODES)
        self.assertGreaterEqual(tally.whole, 0.9 * tally.sent)
        self.eventually(lambda: len(self.fleet.routers[1].state()["members"]) == 4, 10)


class PlatformOutageTest(RecoveryCase):
    def test_traffic_is_unaffected_and_a_new_router_learns_from_peers(self) -> None:
        outage = {"name": "outage", "count": 1, "seconds": 25}
        fetch(f"{self.fleet.platform_url}/faults", outage)
        thread, tally = self.start_load([0, 1, 2, 3, 4, 5], chats=25)
        with self.assertRaises(OSError):
            fetch(f"{self.fleet.platform_url}/v1/objects/vm")
        seed = f"127.0.0.1:{self.peer_port(0)}"
        self.fleet.start_router_during_outage("router-new", "recife-1", seed)
        thread.join(120)
        self.assertEqual((tally.bad, tally.refused), ([], {}))
        self.assertEqual(tally.whole, tally.sent)
        self.eventually(lambda: self.fleet.routers[-1].state()["configuration"] == 1, 15)
        self.assertTrue(self.is_whole_answer(self.stream("through the new one", router=-1)))

    def peer_port(self, router: int) -> int:
        return self.fleet.routers[router].peer_port


if __name__ == "__main__":
    unittest.main()
