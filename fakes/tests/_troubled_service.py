"""Routers whose one upstream of a service is a test's own, in the dialects of both interfaces.

A test class inherits one of these beside its checks; the upstream may be in any trouble.
"""

from __future__ import annotations

import json
import subprocess
import unittest
from dataclasses import dataclass
from typing import Any, ClassVar

from fakes._cuttable_relay import Cut, CuttableRelay
from fakes._local_fleet import ROOT, Backend, LocalFleet, fetch, free_ports
from fakes._machines_fleet import HALLS, MachinesFleet, eventually
from fakes._silent_relay import HOST
from fakes._steady_caller import UNIQUE, CallerRequest, call
from pondhatch.platform.tests._wire import CONFIGURATION

#: Seconds to the deadline of a request.
DEADLINE_SECONDS = 2.0
BENCH_KEY = "bench-key"
OK = 200


class TroubledService(unittest.TestCase):
    """Routers, and a service whose upstreams a test adds and removes."""

    #: Port of the upstream; 0 for any.
    PORT: ClassVar[int] = 0
    #: The routers.
    processes: ClassVar[list[subprocess.Popen[bytes]]]
    #: Those that answer the sound requests.
    sound_upstreams: ClassVar[list[subprocess.Popen[bytes]]]

    def add_upstream(self, name: str, address: str) -> None:
        """Add the one upstream of the service."""
        raise NotImplementedError

    def remove_upstream(self, name: str) -> None:
        """Remove it; the next one begins without its faults."""
        raise NotImplementedError

    def troubled_request(self, name: str) -> CallerRequest:
        """Return a request to the service, whose path ends with a name."""
        raise NotImplementedError

    def sound_request(self) -> CallerRequest:
        """Return a request to another service of the same router."""
        raise NotImplementedError


@dataclass(frozen=True)
class MachinesRoute:
    """A route of the prepared machines."""

    service: str
    #: Where the paths of its requests begin.
    path: str


class MachinesService(TroubledService):
    """Two routers of the prepared machines; the callers' one reaches the upstream."""

    #: Services, and where their routes' paths begin.
    TROUBLED: ClassVar[MachinesRoute] = MachinesRoute("lang", "/notes/")
    SOUND: ClassVar[MachinesRoute] = MachinesRoute("portal", "/x")
    fleet: ClassVar[MachinesFleet]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(MachinesFleet(log_level="ERROR"))
        cls.fleet.put_object("config", "main", CONFIGURATION)
        cls.fleet.add_engine("i-sound-0", cls.SOUND.service, HALLS[0])
        cls.fleet.add_router(HALLS[0], cls.diversions())
        cls.fleet.add_router(HALLS[1])
        cls.processes = [each.process for each in cls.fleet.machine_routers]
        cls.sound_upstreams = [each.process for each in cls.fleet.backends]
        eventually(lambda: all(each.is_ready() for each in cls.fleet.machine_routers))
        eventually(lambda: call(cls._request(cls.SOUND.path)).status == OK)

    @classmethod
    def diversions(cls) -> dict[str, int] | None:
        """Return the ports that the callers' router connects to in place of addresses."""
        return None

    @classmethod
    def _request(cls, path: str) -> CallerRequest:
        headers = (
            ("Host", "desk.example"),
            ("Attempt-Id", UNIQUE),
            ("Authorization", "Bearer key-1"),
            ("Deadline-Ms", str(int(DEADLINE_SECONDS * 1000))),
        )
        url = cls.fleet.machine_routers[0].caller_url + path
        return CallerRequest(url, headers, UNIQUE.encode())

    def add_upstream(self, name: str, address: str) -> None:
        nobody: Any = None
        upstream = Backend(name, self.TROUBLED.service, f"http://{address}", HALLS[0], nobody)
        self.fleet.put_engine(upstream, "ready")

    def remove_upstream(self, name: str) -> None:
        self.fleet.remove_object("servers", name)

    def troubled_request(self, name: str) -> CallerRequest:
        return self._request(f"{self.TROUBLED.path}{name}")

    def sound_request(self) -> CallerRequest:
        return self._request(self.SOUND.path)


class RelayedService(MachinesService):
    """The callers' router does not reach the upstream, and the other one relays."""

    PORT = free_ports(1)[0]

    @classmethod
    def diversions(cls) -> dict[str, int]:
        relay = cls.enterClassContext(CuttableRelay(HOST, cls.PORT))
        relay.cut(Cut.REFUSE)
        return {f"{HOST}:{cls.PORT}": relay.port}


class StandardService(TroubledService):
    """Two routers of the standard interface, and a plain service."""

    fleet: ClassVar[LocalFleet]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(LocalFleet(log_level="ERROR"))
        cls.fleet.add_backend("engine", "engine-0", "scene-language", "recife-1")
        cls.fleet.add_routers(["recife-1", "recife-1"])
        template = cls.fleet.folder / "fleet.yaml"
        deadline = f"kind: plain\n    deadline: {DEADLINE_SECONDS}"
        text = (ROOT / "bench/fleet.yaml").read_text()
        template.write_text(text.replace("kind: plain", deadline))
        applied = cls.fleet.apply(template)
        if applied.returncode != 0:
            raise AssertionError(applied.stderr)
        cls.processes = [each.process for each in cls.fleet.routers]
        cls.sound_upstreams = [each.process for each in cls.fleet.backends]
        cls.fleet.await_convergence(1)
        eventually(lambda: call(cls._chat()).status == OK)

    @classmethod
    def _request(cls, path: str, body: bytes) -> CallerRequest:
        headers = (("Authorization", f"Bearer {BENCH_KEY}"), ("X-Call-Id", UNIQUE))
        return CallerRequest(cls.fleet.routers[0].callers + path, headers, body)

    @classmethod
    def _chat(cls) -> CallerRequest:
        messages = [{"role": "user", "content": UNIQUE}]
        chat = {"model": "scene-writer", "messages": messages, "max_tokens": 1, "stream": False}
        return cls._request("/v1/chat/completions", json.dumps(chat).encode())

    def add_upstream(self, name: str, address: str) -> None:
        nobody: Any = None
        upstream = Backend(name, "proof-portal", f"http://{address}", "recife-1", nobody)
        self.fleet.put_upstream(upstream, "live")

    def remove_upstream(self, name: str) -> None:
        fetch(f"{self.fleet.platform_url}/v1/objects/upstream/{name}", method="DELETE")

    def troubled_request(self, name: str) -> CallerRequest:
        return self._request(f"/proofs/{name}", b"x")

    def sound_request(self) -> CallerRequest:
        return self._chat()
