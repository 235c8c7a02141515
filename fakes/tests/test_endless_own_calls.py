"""Bytes without end in answers to a router's own calls, in the standard interface."""

from __future__ import annotations

import time
import unittest
from typing import Any, ClassVar

from fakes._cuttable_relay import Cut, CuttableRelay
from fakes._endless import EndlessUpstream
from fakes._local_fleet import HOST, ROOT, Backend, LocalFleet, fetch
from fakes._machines_fleet import eventually
from fakes._steady_caller import UNIQUE, CallerRequest, SteadyCaller
from fakes.tests._troubled_service import BENCH_KEY, OK
from fakes.tests.test_endless_answers import (
    ALONE_SECONDS,
    SOUND_RATIO,
    SOUND_SLACK,
    latest_hundredth,
    memory_mb,
)

#: Seconds for which each kind is played, and after its end until nobody reads its bytes any more.
PLAY_SECONDS, GIVE_UP_SECONDS = 3.0, 4.0
#: By how many MB the router may grow: answers of the store of up to 32 MB are read side by side.
MAX_GROWTH_MB = 150
#: Seconds after which waits for a processor would be noted: never here.
LONG = 60.0
#: Engines whose load reports have no end at a time.
ENGINES = 8


class _OwnCalls(unittest.TestCase):
    """One router, whose callers call a sound service meanwhile."""

    KINDS: ClassVar[tuple[str, ...]]
    fleet: ClassVar[LocalFleet]
    relay: ClassVar[CuttableRelay]
    store: ClassVar[str]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(LocalFleet(log_level="ERROR"))
        cls.store = cls.fleet.platform_url.removeprefix("http://")
        port = int(cls.store.rpartition(":")[2])
        cls.relay = cls.enterClassContext(CuttableRelay(HOST, port))
        cls.fleet.add_backend("engine", "engine-0", "scene-language", "recife-1")
        cls.fleet.add_backend("plain", "portal-0", "proof-portal", "recife-1")
        cls.fleet.divert("router-0", {cls.store: cls.relay.port})
        cls.fleet.add_routers(["recife-1"])
        applied = cls.fleet.apply(ROOT / "bench/fleet.yaml")
        if applied.returncode != 0:
            raise AssertionError(applied.stderr)
        cls.fleet.await_convergence(1)

    def begin(self, upstreams: list[EndlessUpstream]) -> None:
        """Have the router's calls reach these."""
        raise NotImplementedError

    def end(self, upstreams: list[EndlessUpstream]) -> None:
        """Have them reach sound ones again."""
        raise NotImplementedError

    def test_no_endless_answer_to_an_own_call_holds_up_callers_or_fills_memory(self) -> None:
        router = self.fleet.routers[0]
        headers = (("Authorization", f"Bearer {BENCH_KEY}"), ("X-Call-Id", UNIQUE))
        request = CallerRequest(f"{router.callers}/proofs/x", headers, UNIQUE.encode())
        portal = self.fleet.backends[1].process
        caller = self.enterContext(SteadyCaller(request, (router.process.pid, portal.pid)))
        before = memory_mb(router.process)
        with caller.calls() as alone:
            time.sleep(ALONE_SECONDS)
        usual = latest_hundredth([each.seconds for each in alone])
        for kind in self.KINDS:
            with self.subTest(kind):
                self.check_kind(kind, caller, usual)
        self.assertLess(memory_mb(router.process) - before, MAX_GROWTH_MB)

    def check_kind(self, kind: str, caller: SteadyCaller, usual: float) -> None:
        upstreams = [self.enterContext(EndlessUpstream(HOST, limit=LONG)) for _ in range(ENGINES)]
        for each in upstreams:
            each.always = kind
        self.begin(upstreams)
        try:
            with caller.calls() as sound:
                time.sleep(PLAY_SECONDS)
        finally:
            self.end(upstreams)
        self.assertEqual({each.status for each in sound}, {OK})
        slowest = latest_hundredth([each.seconds for each in sound])
        self.assertLess(slowest, SOUND_RATIO * usual + SOUND_SLACK)
        self.assertGreater(sum(each.begun for each in upstreams), 0)
        eventually(lambda: all(_is_given_up(each, kind) for each in upstreams), GIVE_UP_SECONDS)


def _is_given_up(upstream: EndlessUpstream, kind: str) -> bool:
    return len(upstream.seconds_by_name.get(kind, ())) == upstream.begun


class StoreTest(_OwnCalls):
    """The platform's store answers calls and watches without end."""

    # Guards against a watch that is read for ever, and calls that take the whole loop.
    KINDS = (
        "interim-responses",
        "header-lines",
        "no-answer",
        "trailers",
        "chunks",
        "small-chunks",
        "unframed-body",
    )

    def begin(self, upstreams: list[EndlessUpstream]) -> None:
        port = int(upstreams[0].address.rpartition(":")[2])
        self.fleet.divert("router-0", {self.store: port})
        self.relay.cut(Cut.REFUSE)

    def end(self, upstreams: list[EndlessUpstream]) -> None:
        self.relay.restore()
        self.fleet.divert("router-0", {self.store: self.relay.port})


class LoadReportsTest(_OwnCalls):
    """Several engines report their load without end."""

    # Guards against load reports that take the whole loop.
    KINDS = ("interim-responses", "header-lines", "small-chunks", "header-lines-in-drops")

    def begin(self, upstreams: list[EndlessUpstream]) -> None:
        nobody: Any = None
        for index, each in enumerate(upstreams):
            url = f"http://{each.address}"
            engine = Backend(f"endless-{index}", "scene-language", url, "recife-1", nobody)
            self.fleet.put_upstream(engine, "live")

    def end(self, upstreams: list[EndlessUpstream]) -> None:
        for index in range(len(upstreams)):
            url = f"{self.fleet.platform_url}/v1/objects/upstream/endless-{index}"
            fetch(url, method="DELETE")


del _OwnCalls
