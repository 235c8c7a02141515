"""Starts a small deployment on loopback: a store, engines and routers, each a process.

Routers are started with the command of ``deploy/system.toml`` and settings made from its template,
as the pages on the deploy file say. Everything ends with the ``Fleet``.
"""

from __future__ import annotations

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path

from engine import put_object

HARNESS = Path(__file__).resolve().parent
ROOT = HARNESS.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: The bounds of the small deployments (traco-ne, vqit-line, notasenja-kl).
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250, "OuterMs": 5000, "FailClosed": False, "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "BudgetSlack": 56, "RecoveryS": 12,
    "IterationMs": 120, "RetryAfterS": 10, "CapacityFactor": 2,
}  # fmt: skip
CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
    "platform",
]  # fmt: skip
ZONES = {"zone-a": "region-1", "zone-b": "region-1"}
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "desk.example"
CANNOT_RUN = 2
LISTENING_PORTS = range(10_000, 32_000)
_first = random.randrange(len(LISTENING_PORTS))
_ports = iter([*LISTENING_PORTS[_first:], *LISTENING_PORTS[:_first]])


class CannotRun(Exception):
    """The case could not be set up."""


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free for TCP and UDP, and that this process has not returned before.

    It lies below the range of outgoing connections, which could take it meanwhile.
    """
    for port in _ports:
        with socket.socket() as found, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                found.bind((host, port))
                datagrams.bind((host, port))
            except OSError:
                continue
            return port
    raise CannotRun("no free port")


def fill(template: str, values: dict) -> str:
    """Fill the gaps of a template as the platform does (without sections)."""

    def value(match: re.Match[str]) -> str:
        found: object = values
        for part in match["name"].split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
        if match["json"]:
            return json.dumps(found)
        if found is None:
            return ""
        if isinstance(found, list):
            return ",".join(map(str, found))
        return str(found).lower() if isinstance(found, bool) else str(found)

    return re.sub(r"\{\{(?P<name>[\w.]+)(?P<json>\|json)?\}\}", value, template)


@dataclass
class Router:
    """One router."""

    name: str
    ip: str
    port: int
    ready_port: int
    admin_port: int
    command: list[str]
    log: Path
    process: subprocess.Popen | None = None


class Fleet:
    """Processes of one small deployment, and the record of what happened."""

    def __init__(self, case: Path) -> None:
        self.case = case
        self.started_at = time.time()
        self._record = (case / "record.txt").open("w", buffering=1)
        self._folder = tempfile.TemporaryDirectory(prefix="pondhatch-review-")
        self.folder = Path(self._folder.name)
        self.notes_path = self.folder / "notes.jsonl"
        self.notes_path.touch()
        self.routers: list[Router] = []
        self._processes: list[subprocess.Popen] = []
        self.store = f"127.0.0.1:{free_port()}"
        self._version = 0

    def __enter__(self) -> Fleet:
        script, port = str(HARNESS / "store.py"), self.store.rpartition(":")[2]
        self.spawn([sys.executable, script, port], "store")
        self.await_port("127.0.0.1", int(port))
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        for note in self.notes():
            self.record(note.pop("t"), f"engine {note.pop('engine')}: {json.dumps(note)}")
        self._record.close()
        self._folder.cleanup()

    def say(self, text: str) -> None:
        """Write a line with the time now into the record, and to standard output."""
        self.record(time.time(), text)
        sys.stdout.write(text + "\n")
        sys.stdout.flush()

    def record(self, at: float, text: str) -> None:
        """Write a line into the record; times are seconds from the start of the case."""
        self._record.write(f"{at - self.started_at:8.3f}  {text}\n")

    def notes(self) -> list[dict]:
        """Return what engines noted so far."""
        return [json.loads(line) for line in self.notes_path.read_text().splitlines()]

    def spawn(self, command: list[str], name: str, **more: object) -> subprocess.Popen:
        """Start a process that ends with the fleet."""
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, **more)
        self._processes.append(process)
        return process

    def await_port(self, host: str, port: int, seconds: float = 10.0) -> None:
        """Wait until something listens."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                with socket.create_connection((host, port), timeout=1):
                    return
            except OSError:
                time.sleep(0.02)
        raise CannotRun(f"nothing listens at {host}:{port}")

    def add_engine(self, name: str, service: str, port: int = 0, **options: object):
        """Start an engine; it writes its own entry."""
        port = port or free_port()
        stated = {
            "id": name, "service": service, "port": port, "store": self.store,
            "notes": str(self.notes_path), **options,
        }  # fmt: skip
        process = self.spawn(
            [sys.executable, str(HARNESS / "engine.py"), json.dumps(stated)], f"engine-{name}"
        )
        self.await_port("127.0.0.1", port)
        return process, port

    def remove_entry(self, name: str) -> None:
        """Remove an engine's entry, as the store does after three silent heartbeats."""
        request = urllib.request.Request(
            f"http://{self.store}/objects/servers/{name}", method="DELETE"
        )
        try:
            urllib.request.urlopen(request, timeout=3).close()
        except urllib.error.HTTPError as error:
            error.close()

    def put_configuration(self, routes: list[dict], services: list[dict], **more: object) -> None:
        """Write the operator's configuration, under the next version."""
        self._version += 7
        document = {
            "Version": self._version,
            "Routes": [{"Host": HOST, "Priority": 1, **each} for each in routes],
            "Services": services,
            "Limits": {
                "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000,
                "IdleTimeoutMs": 30000,
            },
            "Tenants": [{"Name": "hule930", "ApiKeys": [KEY]}],
            **more,
        }  # fmt: skip
        put_object(self.store, "config", "main", document)

    def add_router(self, zone: str = "zone-a", **limits: float) -> Router:
        """Start a router as the deploy file says; it has an address of its own on loopback.

        ``limits`` replace those of its machine.
        """
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        number = len(self.routers)
        name, ip = f"edge-{zone}-{number}", f"127.0.0.{20 + number}"
        port, ready, admin = free_port(ip), free_port(ip), free_port()
        values = {
            "NodeName": name, "Role": "router", "MachineClass": "edge", "Serves": ["edge"],
            "Ip": ip, "Zone": zone, "Region": ZONES[zone], "Zones": ZONES,
            "Listen": {"Frontend": f"{ip}:{port}", "Ready": f"{ip}:{ready}"},
            "PortRange": [free_port(ip), admin], "Seeds": [], "Bootstrap": True,
            "Limits": {"CpuQuota": 1.07, "Cores": 1, "MemoryMb": 300, "MaxFds": 4100,
                       "LinkMbps": 1000.0, "DiskMb": 0, **limits},
            "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200, "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS,
            "Platform": {"Address": self.store, "form": "objects"},
        }  # fmt: skip
        settings = self.folder / f"{name}.yaml"
        settings.write_text(fill((ROOT / role["template"]).read_text(), values))
        words = fill(role["run"], values).replace("/etc/pondhatch/boot.json", str(settings))
        router = Router(
            name, ip, port, ready, admin, words.split(), self.folder / f"router-{name}.log"
        )
        self.routers.append(router)
        self.start_router(router)
        return router

    def start_router(self, router: Router) -> None:
        """Start a router's process, again if it has ended."""
        if not (ROOT / "target/deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        router.process = self.spawn(router.command, f"router-{router.name}", env=environment)

    def is_ready(self, router: Router) -> bool:
        """Ask as the balancer does."""
        try:
            url = f"http://{router.ip}:{router.ready_port}/readyz"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return bool(answer.status == 200)
        except OSError:
            return False

    def await_ready(self, seconds: float = 20.0) -> None:
        """Wait until all routers are ready."""
        until = time.monotonic() + seconds
        while not all(map(self.is_ready, self.routers)):
            if time.monotonic() > until:
                tails = [
                    each.log.read_text()[-300:] for each in self.routers if not self.is_ready(each)
                ]
                raise CannotRun(f"routers are not ready: {tails}")
            time.sleep(0.1)
        time.sleep(1.0)


class Client:
    """One client connection over a plain socket, which reads as slowly as it is told."""

    def __init__(self, router: Router, window: int = 0, segment: int = 0) -> None:
        self.socket = socket.socket()
        if segment:
            # Loopback has segments of 64 KB, and send buffers of megabytes to fit; a network not.
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        if window:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.socket.settimeout(20)
        self.socket.connect((router.ip, router.port))
        self._rest = b""

    def send(
        self, attempt: str, path: str, deadline_ms: int, method: str = "POST", body: bytes = b"x",
        headers: dict[str, str] | None = None, key: str = KEY, body_bytes: int = 0,
    ) -> None:  # fmt: skip
        """Send one request; with ``body_bytes`` its head, and the caller sends as much itself."""
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}",
            f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}",
            *(f"{name}: {value}" for name, value in (headers or {}).items()),
        ]  # fmt: skip
        body = b"" if body_bytes else body
        if body or body_bytes:
            lines.append(f"Content-Length: {len(body) or body_bytes}")
        self.socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def read_head(self) -> tuple[int, dict[str, str]]:
        """Read the head of an answer."""
        while b"\r\n\r\n" not in self._rest:
            part = self.socket.recv(4096)
            if not part:
                raise ConnectionError("closed before a head")
            self._rest += part
        head, _, self._rest = self._rest.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return int(lines[0].split(" ")[1]), fields

    def read_body(self, fields: dict[str, str], pause: float = 0.0, step: int = 65536):
        """Read the body; return it and whether its framing says that it is complete."""
        body = b""
        chunked = "chunked" in fields.get("transfer-encoding", "")
        length = None if chunked else int(fields.get("content-length", "0"))
        try:
            while True:
                if chunked:
                    done, body = _dechunk(self._rest)
                    if done:
                        return body, True
                elif len(self._rest) >= length:
                    return self._rest[:length], True
                else:
                    body = self._rest
                if pause:
                    time.sleep(pause)
                part = self.socket.recv(step)
                if not part:
                    return body, False
                self._rest += part
        except OSError:
            return body, False

    def forget_rest(self) -> None:
        """Forget the answer that was read, before the next request on the connection."""
        self._rest = b""

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


def _dechunk(raw: bytes) -> tuple[bool, bytes]:
    """Return whether the last chunk is there, and the content so far."""
    body, at = b"", 0
    while True:
        end = raw.find(b"\r\n", at)
        if end < 0:
            return False, body
        size = int(raw[at:end] or b"0", 16)
        if size == 0:
            return raw[end + 2 : end + 4] == b"\r\n", body
        body += raw[end + 2 : end + 2 + size]
        at = end + 2 + size + 2
        if at > len(raw):
            return False, body


def run_case(case: Path, play) -> None:
    """Play a case and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    # So that its processes end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        with Fleet(case) as fleet:
            broken = play(fleet)
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(CANNOT_RUN)
    except Exception as error:
        print(f"cannot run: {type(error).__name__}: {error}")
        raise SystemExit(CANNOT_RUN) from error
    sys.exit(1 if broken else 0)
