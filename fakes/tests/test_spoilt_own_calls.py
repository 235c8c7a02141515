"""Spoilt answers to calls of routers and commands: nothing that they say is acted upon.

Guards against readers of answers that have rules of their own: the client of the standard interface
and of the commands took a status 000, two ends of a body and lines of no fields for answers.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any, ClassVar

from fakes._cuttable_relay import Cut, CuttableRelay
from fakes._local_fleet import HOST, ROOT, Backend, LocalFleet, fetch
from fakes._machines_fleet import HALLS, MachinesFleet, MachinesRouter, eventually
from fakes._spoilt import CUT_STREAMS, SPOILT_BY_NAME, SpoiltUpstream
from pondhatch.platform.tests._wire import CONFIGURATION
from pondhatch.standard.tests.test_odd_objects import ODD_VALUES

#: Those whose last chunk says that they are whole, and that are spoilt only after that.
WHOLE = frozenset({"bytes-after-chunks", "chunks-with-spoilt-trailer"})
NAMES = tuple(sorted(SPOILT_BY_NAME.keys() - WHOLE - CUT_STREAMS.keys()))
#: One of each kind of spoilt answer whose body may be read whole.
READABLE_NAMES = (
    "length-and-chunks",
    "chunks-and-longer-length",
    "coding-of-old-version",
    "continues-another-by-tab",
    "nul-in-value",
    "carriage-return-in-value",
    "blank-before-name",
    "status-000",
    "status-999",
    "unknown-version",
    "spoilt-protocol",
)
#: Seconds for which a router polls or calls what answers so.
PLAY_SECONDS = 5.0
LEAVING_REPORT = b'{"running": 0, "waiting": 0, "leaving": true}'
#: The store's position in the first of its answers here: later than any before.
FIRST_REVISION = 10**6
#: An upstream that only spoilt answers name.
GHOST = "ghost"
#: Exit code of a command that gets no answer.
UNREACHABLE = 4
#: Commands at a time.
COMMANDS = 4


class CommandsTest(unittest.TestCase):
    """Commands that ask a running router, at whose address something else answers."""

    def dump(self, name: str) -> subprocess.CompletedProcess[bytes]:
        with SpoiltUpstream(HOST) as upstream:
            upstream.always = name
            return self.run_command("dump", upstream)

    def run_command(
        self, name: str, upstream: SpoiltUpstream
    ) -> subprocess.CompletedProcess[bytes]:
        command = (sys.executable, "-m", "pondhatch", name, "--admin", upstream.address)
        return subprocess.run(command, cwd=ROOT, capture_output=True, check=False)

    def test_no_spoilt_answer_is_shown(self) -> None:
        with ThreadPoolExecutor(COMMANDS) as pool:
            for name, ended in zip(NAMES, pool.map(self.dump, NAMES), strict=True):
                with self.subTest(name):
                    self.assertEqual((ended.returncode, ended.stdout), (UNREACHABLE, b""))
                    self.assertNotIn(b"Traceback", ended.stderr)

    def test_an_answer_that_is_no_state_is_told_as_such(self) -> None:
        bodies = (b"", b"[1]", b"{}", b"[" * 5000, b"1e99999", b'{"members":[{"name":7}]}')
        for body in bodies:
            with self.subTest(body[:20]), SpoiltUpstream(HOST) as upstream:
                upstream.body_of = lambda _, body=body: body  # type: ignore[misc]
                ended = self.run_command("where", upstream)
                self.assertEqual((ended.returncode, ended.stdout), (UNREACHABLE, b""))
                self.assertNotIn(b"Traceback", ended.stderr)

    def test_a_whole_answer_is_shown(self) -> None:
        ended = self.dump("whole")
        self.assertEqual((ended.returncode, ended.stdout), (0, b"the whole body of this engine"))


class _StoreChecks(unittest.TestCase):
    """A router whose store answers each call with the next of the spoilt answers."""

    #: Name of the upstream that the router has from its store.
    IN_USE: ClassVar[str]
    #: "IP:port" of the store, and the relay through which the router reaches it.
    store: ClassVar[str]
    relay: ClassVar[CuttableRelay]

    def content(self, path: str, revision: int, name: str, odd_value: bytes = b"") -> bytes:
        """Return the answer to a call of any kind, by which there is an upstream of a name.

        With a value in place of another upstream's, which is in use, where one is stated.
        """
        raise NotImplementedError

    def divert(self, port: int | None) -> None:
        """Have the router's calls reach a port, or the store again."""
        raise NotImplementedError

    def upstreams(self) -> set[str]:
        """Return the names of the upstreams that the router knows."""
        raise NotImplementedError

    def test_no_upstream_of_a_spoilt_answer_is_known(self) -> None:
        for name in READABLE_NAMES:
            with self.subTest(name):
                self.play(name, PLAY_SECONDS)
                self.assertNotIn(GHOST, self.upstreams())
        with SpoiltUpstream(HOST) as sound:
            sound.body_of = lambda path: self.content(path, FIRST_REVISION, GHOST)
            self.divert(int(sound.address.rpartition(":")[2]))
            eventually(lambda: GHOST in self.upstreams())
        self.divert(None)

    # Guards against an odd object, or an odd change of one in use, that hides all later ones.
    def test_an_odd_object_hides_no_other(self) -> None:
        with SpoiltUpstream(HOST) as store:
            answered = [("new", b"")]

            def body_of(path: str) -> bytes:
                return self.content(path, FIRST_REVISION + len(answered), *answered[-1])

            store.body_of = body_of
            self.divert(int(store.address.rpartition(":")[2]))
            try:
                for kind, value in ODD_VALUES.items():
                    with self.subTest(kind):
                        answered.append((f"new-{len(answered)}", value))
                        eventually(lambda: answered[-1][0] in self.upstreams())
            finally:
                self.divert(None)

    def play(self, name: str, seconds: float) -> None:
        """Have the store answer so until it was asked twice, or a ghost is known."""
        with SpoiltUpstream(HOST) as upstream:
            upstream.body_of = lambda path: self.content(path, FIRST_REVISION, GHOST)
            upstream.always = name
            self.divert(int(upstream.address.rpartition(":")[2]))
            try:
                gives_up_at = time.monotonic() + seconds
                while upstream.sent_by_name[name] < 2 and time.monotonic() < gives_up_at:
                    time.sleep(0.05)
                self.assertGreater(upstream.sent_by_name[name], 0)
                time.sleep(0.1)
            finally:
                self.divert(None)


def _stored(revision: int, name: str, value: bytes) -> bytes:
    """Return an object of the prepared machines' store with a value."""
    metadata = b'{"Name":"%s","Revision":%d,"Created":1}' % (name.encode(), revision)
    return b'{"Metadata":%s,"Spec":%s}' % (metadata, value)


class MachinesStoreTest(_StoreChecks):
    """The store of the prepared machines, whose calls pass the client of upstreams."""

    IN_USE = "i-portal-0"
    fleet: ClassVar[MachinesFleet]
    router: ClassVar[MachinesRouter]

    def content(self, path: str, revision: int, name: str, odd_value: bytes = b"") -> bytes:
        engine = {
            "Service": "portal",
            "Address": f"{HOST}:9",
            "Zone": HALLS[0],
            "Version": "v1",
            "Slots": 2,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }
        objects = [_stored(revision, name, json.dumps(engine).encode())]
        if odd_value:
            objects.insert(0, _stored(revision, self.IN_USE, odd_value))
        if "Watch=" in path:
            events = b",".join(b'{"Deleted":false,"Object":%s}' % each for each in objects)
            return b'{"events":[%s],"Timestamp":%d}' % (events, revision)
        return b'{"Entries":[%s],"HasMore":false,"Timestamp":%d}' % (b",".join(objects), revision)

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(MachinesFleet(log_level="ERROR"))
        cls.fleet.put_object("config", "main", CONFIGURATION)
        cls.store = cls.fleet.address_of(cls.fleet.object_store)
        port = int(cls.store.rpartition(":")[2])
        cls.relay = cls.enterClassContext(CuttableRelay(HOST, port))
        cls.fleet.add_engine("i-portal-0", "portal", HALLS[0])
        cls.router = cls.fleet.add_router(HALLS[0], {cls.store: cls.relay.port})
        eventually(cls.router.is_ready)

    def divert(self, port: int | None) -> None:
        if port is None:
            self.relay.restore()
        self.fleet.divert(self.router.name, {self.store: port or self.relay.port})
        if port is not None:
            self.relay.cut(Cut.REFUSE)

    def upstreams(self) -> set[str]:
        state = fetch(f"http://{self.router.admin_address}/state.json")
        return {each["name"] for each in state["upstreams"]}


class StandardStoreTest(_StoreChecks):
    """The platform of the standard interface."""

    IN_USE = "portal-0"
    fleet: ClassVar[LocalFleet]

    def content(self, path: str, revision: int, name: str, odd_value: bytes = b"") -> bytes:
        upstream = {
            "name": name,
            "service": "proof-portal",
            "url": f"http://{HOST}:9",
            "hall": "recife-1",
            "state": "live",
        }
        shape = b'{"kind":"upstream","name":"%s","version":%d,"value":%s}'
        objects = [shape % (name.encode(), revision, json.dumps(upstream).encode())]
        if odd_value:
            objects.insert(0, shape % (self.IN_USE.encode(), revision, odd_value))
        return b'{"version":%d,"objects":[%s]}' % (revision, b",".join(objects))

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(LocalFleet(log_level="ERROR"))
        cls.store = cls.fleet.platform_url.removeprefix("http://")
        port = int(cls.store.rpartition(":")[2])
        cls.relay = cls.enterClassContext(CuttableRelay(HOST, port))
        cls.fleet.add_backend("plain", "portal-0", "proof-portal", "recife-1")
        cls.fleet.divert("router-0", {cls.store: cls.relay.port})
        cls.fleet.add_routers(["recife-1"])
        cls.fleet.await_convergence(0)

    def divert(self, port: int | None) -> None:
        if port is None:
            self.relay.restore()
        self.fleet.divert("router-0", {self.store: port or self.relay.port})
        if port is not None:
            self.relay.cut(Cut.REFUSE)

    def upstreams(self) -> set[str]:
        return {each["name"] for each in self.fleet.routers[0].state()["upstreams"]}


class LoadReportsTest(unittest.TestCase):
    """Engines whose load reports say that they are leaving, in spoilt answers."""

    def test_no_engine_is_leaving_by_a_spoilt_report(self) -> None:
        fleet = self.enterContext(LocalFleet(log_level="ERROR"))
        fleet.add_backend("engine", "engine-0", "scene-language", "recife-1")
        fleet.add_routers(["recife-1"])
        applied = fleet.apply(ROOT / "bench/fleet.yaml")
        self.assertEqual(applied.returncode, 0, applied.stderr)
        fleet.await_convergence(1)
        engines = {}
        nobody: Any = None
        for name in (*NAMES, "whole"):
            engines[name] = self.enterContext(SpoiltUpstream(HOST))
            engines[name].always = name
            engines[name].body_of = lambda _: LEAVING_REPORT
            url = f"http://{engines[name].address}"
            fleet.put_upstream(Backend(name, "scene-language", url, "recife-1", nobody), "live")
        leaving: set[str] = set()

        def all_are_polled() -> bool:
            state = fleet.routers[0].state()
            leaving.update(each["name"] for each in state["upstreams_notices"])
            return "whole" in leaving and all(engines[each].sent_by_name[each] for each in NAMES)

        eventually(all_are_polled)
        time.sleep(1.0)
        all_are_polled()
        self.assertEqual(leaving, {"whole"})


del _StoreChecks
