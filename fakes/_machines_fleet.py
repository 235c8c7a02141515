"""A fleet of processes on loopback with router settings as on the prepared machines."""

from __future__ import annotations

import copy
import json
import re
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from subprocess import Popen
from typing import Any

import yaml

from fakes._local_fleet import HOST, ROOT, Backend, LocalFleet, fetch, free_ports
from fakes._machines_engine import SLOTS

TEMPLATE = ROOT / "deploy" / "router.yaml"
HALLS = ("hall-1", "hall-2")
#: The bounds that the platform fills into a router's settings.
BOUNDS = {
    "CapacityFactor": 2,
    "GraceS": 8,
    "RetryBudgetRatio": 0.2,
    "BudgetSlack": 56,
    "ColdOvershoot": 1.5,
    "ColdSlack": 5,
}
#: Names of the platform's rules in force.
RULES: tuple[str, ...] = ("base", "engine", "stream", "tenants", "platform")
#: The limits of a router's VM that the platform fills into its settings.
LIMITS = {"MemoryMb": 1024, "CpuQuota": 0.5, "Cores": 2.15, "LinkMbps": 100}
#: The region of each hall.
REGIONS = {"hall-1": "north", "hall-2": "south"}


def fill_template(template: str, values: dict[str, Any]) -> str:
    """Fill the kinds of placeholders that the deployed template uses as the platform does.

    A placeholder whose name the platform does not know becomes empty.
    """

    def value(match: re.Match[str]) -> str:
        found: Any = values
        for part in match["name"].split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return json.dumps(found) if match["form"] else str(found)

    return re.sub(r"\{\{(?P<name>[\w.]+)(?P<form>\|json)?\}\}", value, template)


@dataclass(frozen=True)
class RouterPorts:
    """The ports of one router."""

    callers: int
    readiness: int
    peers: int
    admin: int
    metrics: int


@dataclass
class MachinesRouter:
    """One router process and its addresses."""

    name: str
    caller_url: str
    readiness_url: str
    metrics_url: str
    #: "IP:port".
    admin_address: str
    process: Popen[bytes]

    def is_ready(self) -> bool:
        """Return whether the router's readiness check succeeds, as the balancer sees it."""
        try:
            with urllib.request.urlopen(f"{self.readiness_url}/readyz", timeout=5) as answer:
                return bool(answer.status == 200)
        except OSError:
            return False


@dataclass(frozen=True)
class StreamShape:
    """The streams of an engine: how many events, and the seconds between two of them."""

    events: int
    event_interval: float


class MachinesFleet(LocalFleet):
    """Starts a store, engines and routers, and kills them on exit."""

    #: Names of the platform's rules in force.
    rules = RULES
    #: The region of each hall.
    region_by_hall: Mapping[str, str] = REGIONS

    def __enter__(self) -> MachinesFleet:
        super().__enter__()
        url, process = self._start_stand_in("machines-store")
        self.object_store = Backend("store", "", url, "", process)
        self.machine_routers: list[MachinesRouter] = []
        return self

    def put_object(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or an engine would; create it if it is missing."""
        document = {"Metadata": {"Name": name}, "Spec": spec}
        try:
            fetch(f"{self.object_store.url}/objects/{kind}/{name}", document, "PUT")
        except urllib.error.HTTPError as error:
            error.close()
            fetch(f"{self.object_store.url}/objects/{kind}", document, "POST")

    def remove_object(self, kind: str, name: str) -> None:
        """Remove an object."""
        fetch(f"{self.object_store.url}/objects/{kind}/{name}", method="DELETE")

    def add_engine(self, name: str, service: str, hall: str) -> Backend:
        """Start an engine and write its entry."""
        engine = self._start_engine(name, service, hall, [])
        self.put_engine(engine, "ready")
        return engine

    def add_versioned_engine(
        self,
        name: str,
        service: str,
        hall: str,
        software_version: str,
        stream: StreamShape,
        port: int = 0,
    ) -> Backend:
        """Start an engine of a software version and write its entry.

        ``port`` is that of an engine that has ended, for one that gets its address.
        """
        engine = self.start_versioned_engine(name, service, hall, software_version, stream, port)
        self.put_engine(engine, "ready")
        return engine

    def start_versioned_engine(
        self,
        name: str,
        service: str,
        hall: str,
        software_version: str,
        stream: StreamShape,
        port: int = 0,
    ) -> Backend:
        """Start an engine of a software version, of which routers learn once it has an entry."""
        flags = [
            f"--software-version={software_version}",
            f"--events={stream.events}",
            f"--event-interval={stream.event_interval}",
            f"--port={port or free_ports(1)[0]}",
        ]
        engine = self._start_engine(name, service, hall, flags)
        engine.software_version = software_version
        return engine

    def _start_engine(self, name: str, service: str, hall: str, flags: list[str]) -> Backend:
        url, process = self._start_stand_in("machines-engine", f"--name={name}", *flags)
        engine = Backend(name, service, url, hall, process)
        self.backends.append(engine)
        return engine

    def kill_engine(self, engine: Backend) -> None:
        """Kill an engine and remove its entry, as after missed heartbeats."""
        engine.process.kill()
        engine.process.wait()
        self.backends.remove(engine)
        self.remove_object("servers", engine.name)

    def put_engine(self, engine: Backend, state: str, **changes: Any) -> None:
        """Write an engine's entry; ``changes`` override or add fields."""
        entry = {
            "Service": engine.service,
            "Address": self.address_of(engine),
            "Zone": engine.hall,
            "Version": engine.software_version,
            "Slots": SLOTS,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            **changes,
        }
        self.put_object("servers", engine.name, entry)

    def address_of(self, backend: Backend) -> str:
        """Return the "IP:port" at which routers reach a stand-in."""
        return backend.url.removeprefix("http://")

    def restart(self, router: MachinesRouter) -> None:
        """Restart a router whose process has ended, with its previous settings."""
        router.process = self._start_router_process(router.name)

    def add_router(
        self,
        hall: str,
        diversions: dict[str, int] | None = None,
        ports: RouterPorts | None = None,
    ) -> MachinesRouter:
        """Start a router with settings made from the template in the deploy folder.

        ``diversions`` holds the port that it connects to instead of an "IP:port", ``ports`` its
        own ports, free ones by default.
        """
        ports = ports or RouterPorts(*free_ports(len(fields(RouterPorts))))
        name = f"edge-{len(self.machine_routers)}"
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(name, hall, ports)))
        if diversions is not None:
            self.divert(name, diversions)
        router = MachinesRouter(
            name,
            f"http://{HOST}:{ports.callers}",
            f"http://{HOST}:{ports.readiness}",
            f"http://{HOST}:{ports.metrics}/metrics",
            f"{HOST}:{ports.admin}",
            self._start_router_process(name),
        )
        self.machine_routers.append(router)
        return router

    def _settings(self, name: str, hall: str, ports: RouterPorts) -> dict[str, Any]:
        """Return a router's settings: the template filled as the platform does."""
        values = {
            "NodeName": name,
            "Zone": hall,
            "Zones": dict(self.region_by_hall),
            "Ip": HOST,
            "Listen": {
                "Frontend": f"{HOST}:{ports.callers}",
                "Ready": f"{HOST}:{ports.readiness}",
            },
            "PortRange": [ports.peers, ports.admin],
            "Platform": {"Address": self.address_of(self.object_store)},
            "Bounds": BOUNDS,
            "Contracts": self.rules,
            "Limits": LIMITS,
        }
        settings: dict[str, Any] = yaml.safe_load(fill_template(TEMPLATE.read_text(), values))
        settings["log"] = {"level": self.log_level}
        # Each deployed router has its own machine; here all share one and need different ports.
        settings["metrics"]["port"] = ports.metrics
        return settings


def eventually(condition: Callable[[], bool], seconds: float = 30.0) -> None:
    """Wait until a condition holds; raise AssertionError if it does not within ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"the condition did not hold within {seconds} s")
        time.sleep(0.05)


def with_version(configuration: dict[str, Any], version: int) -> dict[str, Any]:
    """Return a copy of a configuration under another version."""
    copied = copy.deepcopy(configuration)
    copied["Version"] = version
    return copied
