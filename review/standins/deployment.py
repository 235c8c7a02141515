"""A small deployment on loopback: routers by the deploy file's command, stand-ins for the rest."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import asdict
from pathlib import Path
from typing import Any

from standins.engine import Options
from standins.wire import call, read_head

ROOT = Path(__file__).resolve().parents[2]
REVIEW = ROOT / "review"
HEARTBEAT_MS = 1200
PORTS = (12000, 30000)
ZONES = ("boa-viagem", "suape", "olinda", "jaboatao")
#: The platform's fields that are alike on all machines, as in the settings of a small site.
FIELDS: dict[str, Any] = {
    "Zones": dict.fromkeys(ZONES, "recife"),
    "Limits": {
        "CpuQuota": 0.537,
        "Cores": 2,
        "MemoryMb": 300,
        "MaxFds": 4100,
        "LinkMbps": 1000.0,
        "DiskMb": 0,
    },
    "HeartbeatMs": HEARTBEAT_MS,
    "Contracts": [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "engine",
        "stream",
        "tenants",
        "platform",
    ],
    "Bounds": {
        "ContactMs": 3000,
        "DrainMs": 2000,
        "GraceS": 8,
        "ConfigApplyMs": 2000,
        "RetryBudgetRatio": 0.2,
        "RetryWindowS": 10,
        "BudgetSlack": 56,
        "CapacityFactor": 2,
    },
}


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of a template or a command line; a gap without a value stays empty."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match["name"].split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if match["form"]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{(?P<name>[\w.]+)(?P<form>\|json)?\}\}", value, template)


class Router:
    """One router's process and addresses."""

    def __init__(self, name: str, address: str, ready: str, command: list[str]) -> None:
        self.name = name
        self.address = address
        self.ready = ready
        self.command = command
        self.process: subprocess.Popen[bytes]


class Deployment:
    """Starts processes, and ends all of them when it is left."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.routers: list[Router] = []
        self.engines: dict[str, subprocess.Popen[bytes]] = {}
        self.options: dict[str, Options] = {}
        self._processes: list[subprocess.Popen[bytes]] = []
        self._ports: set[int] = set()
        #: A second byte of its own, so that a port that all routers name alike is free.
        self._net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self._machines = 0
        self._roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.store = f"127.0.0.1:{self.free_port('127.0.0.1')}"

    async def __aenter__(self) -> Deployment:
        """Start the store."""
        self._start_stand_in("store", self.store, str(HEARTBEAT_MS))
        await self._until(self.store, "/objects/config")
        return self

    async def __aexit__(self, *_: object) -> None:
        """End every process that was started here."""
        for each in self._processes:
            if each.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    each.send_signal(signal.SIGCONT)
                each.kill()
        for each in self._processes:
            each.wait()
        if "KEEP" in os.environ:
            print("kept", self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def free_port(self, host: str) -> int:
        """Return a port that is free for TCP and UDP.

        It lies below those that the system gives to outgoing connections, so that none takes it
        before its process listens there.
        """
        while True:
            port = random.randrange(*PORTS)
            if port in self._ports:
                continue
            with (
                contextlib.suppress(OSError),
                socket.socket() as tcp,
                socket.socket(type=socket.SOCK_DGRAM) as udp,
            ):
                tcp.bind((host, port))
                udp.bind((host, port))
                self._ports.add(port)
                return port

    async def engines_listen(self) -> None:
        """Wait until all engines that were started accept connections."""
        for options in self.options.values():
            await self._until(options.address, "/healthz")

    async def configure(self, configuration: dict[str, Any]) -> None:
        """Write the operator's configuration."""
        body = {"Metadata": {"Name": "main"}, "Spec": configuration}
        status, _ = await call(self.store, "PUT", "/objects/config/main", body)
        if status == 404:
            await call(self.store, "POST", "/objects/config", body)

    def start_engine(self, service: str, zone: int, **options: Any) -> str:
        """Start an engine under an id of its own; return the id."""
        name = f"i-{len(self.options):04x}{random.randrange(16**4):04x}"
        address = options.pop("address", f"127.0.0.1:{self.free_port('127.0.0.1')}")
        filled = Options(
            name=name,
            address=address,
            service=service,
            zone=ZONES[zone % len(ZONES)],
            store=self.store,
            journal=str(self.folder / f"engine-{name}.jsonl"),
            **options,
        )
        self.options[name] = filled
        self.engines[name] = self._start_stand_in("engine", json.dumps(asdict(filled)))
        return name

    async def start_router(self, zone: int) -> Router:
        """Start a router as the deploy file says, and wait until it is ready."""
        self._machines += 1
        ip = f"{self._net}.{self._machines}"
        fields = {
            **FIELDS,
            "NodeName": f"edge-{ZONES[zone % len(ZONES)]}-{self._machines}",
            "Zone": ZONES[zone % len(ZONES)],
            "Ip": ip,
            "Listen": {
                "Frontend": f"{ip}:{self.free_port(ip)}",
                "Ready": f"{ip}:{self.free_port(ip)}",
            },
            "PortRange": [self.free_port(ip), self.free_port("127.0.0.1")],
            "Platform": {"Address": self.store, "form": "objects"},
        }
        role = self._roles["router"]
        settings = self.folder / f"{fields['NodeName']}.yaml"
        settings.write_text(fill((ROOT / role["template"]).read_text(), fields))
        words = [fill(word, fields) for word in role["run"].split()]
        command = [str(settings) if word == "/etc/pondhatch/boot.json" else word for word in words]
        listen: Any = fields["Listen"]
        router = Router(str(fields["NodeName"]), listen["Frontend"], listen["Ready"], command)
        self.routers.append(router)
        await self.run_router(router)
        return router

    async def run_router(self, router: Router) -> None:
        """Start a router's process, for the first time or again; wait until it is ready."""
        settings = self.folder / f"{router.name}.yaml"
        variables = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PONDHATCH_CONFIG"] = str(settings)
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.folder / f"{router.name}.log").open("ab")
        router.process = subprocess.Popen(
            router.command, cwd=ROOT, env=variables, stdout=log, stderr=log
        )
        self._processes.append(router.process)
        await self._until(router.ready, "/readyz")

    async def is_ready(self, router: Router) -> bool:
        """Return whether a router calls itself ready."""
        try:
            return await _status(router.ready, "/readyz") == 200
        except (OSError, TimeoutError):
            return False

    def events(self) -> list[dict[str, Any]]:
        """Return what all engines have written, in the order of time."""
        found = []
        for path in self.folder.glob("*.jsonl"):
            lines = path.read_text().splitlines()
            found += [json.loads(line) for line in lines if line.endswith("}")]
        return sorted(found, key=lambda each: float(each["at"]))

    def _start_stand_in(self, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", f"standins.{module}", *arguments]
        log = (self.folder / f"{module}.log").open("ab")
        process = subprocess.Popen(command, cwd=REVIEW, stdout=log, stderr=log)
        self._processes.append(process)
        return process

    async def _until(self, address: str, path: str, seconds: float = 20.0) -> None:
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(OSError, TimeoutError):
                    if await _status(address, path) == 200:
                        return
                await asyncio.sleep(0.1)


async def _status(address: str, path: str) -> int:
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            head = await read_head(reader)
            return int(head[0].split()[1]) if head is not None else 0
        finally:
            writer.close()
