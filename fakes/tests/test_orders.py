"""Orders to engines across processes: rollout, planned handover and failover of the holder."""

from __future__ import annotations

import signal
import time
import unittest
from typing import Any, ClassVar

from fakes._local_fleet import ROOT, LocalFleet, Router, fetch

#: The line of the bench's configuration after which orders are added to its service.
MODELS_LINE = "    models: [scene-writer]\n"
LINES_WITH_ORDERS = (
    MODELS_LINE + "    orders: {{model: scene-writer, version: {version}, at_once: 2}}\n"
)
#: Seconds within which orders continue after the holder was killed and its lease expires.
FAILOVER_SECONDS = 40.0
HANDOVER_SECONDS = 15.0


class OrdersTest(unittest.TestCase):
    """Three routers, one engine that checks fencing numbers and one that ignores them."""

    fleet: ClassVar[LocalFleet]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(LocalFleet(log_level="ERROR"))
        hall = "recife-1"
        cls.fleet.add_backend("engine", "checking", "scene-language", hall, checks_fencing=True)
        cls.fleet.add_backend("engine", "ignoring", "scene-language", hall)
        cls.fleet.add_routers([hall] * 3)

    def apply(self, version: int) -> None:
        text = (ROOT / "bench/fleet.yaml").read_text()
        self.assertIn(MODELS_LINE, text)
        path = self.fleet.folder / "fleet.yaml"
        path.write_text(text.replace(MODELS_LINE, LINES_WITH_ORDERS.format(version=version)))
        applied = self.fleet.apply(path)
        self.assertEqual(applied.returncode, 0, applied.stderr)

    def await_version(self, version: int, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while {self.held_version(engine.url) for engine in self.fleet.backends} != {version}:
            if time.monotonic() > deadline:
                self.fail(f"engines do not hold version {version} after {seconds} s")
            time.sleep(0.1)

    def held_version(self, url: str) -> int | None:
        holds = fetch(f"{url}/orders")["holds"]
        return holds["version"] if holds is not None else None

    def fencing_numbers(self) -> list[list[int]]:
        logs: list[list[dict[str, Any]]]
        logs = [fetch(f"{engine.url}/orders/log") for engine in self.fleet.backends]
        return [[order["fencing"] for order in log] for log in logs]

    def holder(self) -> Router:
        lease = fetch(f"{self.fleet.platform_url}/v1/objects/pondhatch-lease/scene-language")
        name = lease["value"]["holder"]
        return next(router for router in self.fleet.routers if router.name == name)

    def test_orders_continue_after_a_planned_and_an_unplanned_change_of_holder(self) -> None:
        self.apply(1)
        self.await_version(1, HANDOVER_SECONDS)
        shown = self.holder().state()["orders"]
        self.assertEqual([each["service"] for each in shown], ["scene-language"])

        self.assertEqual(self.fleet.stop(self.holder().process, signal.SIGTERM), 0)
        self.apply(2)
        self.await_version(2, HANDOVER_SECONDS)

        self.holder().process.kill()
        self.apply(3)
        self.await_version(3, FAILOVER_SECONDS)
        for numbers in self.fencing_numbers():
            self.assertEqual(numbers, sorted(numbers))
            # Each change of holder raises the fencing number; starting routers may cause one, too.
            self.assertEqual(len(set(numbers)), len(numbers))
            self.assertGreaterEqual(len(numbers), 3)
