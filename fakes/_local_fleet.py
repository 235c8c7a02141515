"""A fleet of router and stand-in processes on loopback, for demo, tests and benchmarks."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import IO, Any

import yaml

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
#: Ports that a fleet listens on, below the ephemeral range of outgoing connections.
LISTENING_PORTS = range(10_000, 32_000)
#: Distance between the first ports that processes with successive ids try, so that concurrent
#: fleets do not collide.
PORT_STRIDE = 211
#: Seconds within which a command ends, a process stops or a fleet converges.
TIMEOUT_SECONDS = 60.0


def free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP, and stay reserved while this process lives.

    They lie below the ephemeral range, so that no outgoing connection takes one before
    the process that is to listen has bound it.
    """
    found: list[int] = []
    while len(found) < count:
        port = next(_candidate_ports)
        if _reserve(port):
            found.append(port)
    return found


def _reserve(port: int) -> bool:
    """Reserve a port unless it is taken; return whether it was free.

    The reserving socket never listens. It allows the port to whoever sets SO_REUSEADDR, as all
    that listen on these ports do, and to nobody who looks for a free port.
    """
    holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        holder.bind((HOST, port))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((HOST, port))
    except OSError:
        holder.close()
        return False
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _holder_by_port[port] = holder
    return True


def _generate_ports() -> Iterator[int]:
    """Yield ports endlessly, from a start that depends on the process id."""
    span = LISTENING_PORTS.stop - LISTENING_PORTS.start
    for step in itertools.count(os.getpid() * PORT_STRIDE):
        yield LISTENING_PORTS.start + step % span


_candidate_ports = _generate_ports()
#: The sockets that reserve ports for this process's fleets.
_holder_by_port: dict[int, socket.socket] = {}


def fetch(url: str, body: Any | None = None, method: str | None = None) -> Any:
    """Return the decoded JSON body of a URL's answer, or its text if it is not JSON."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=10) as answer:
        content = answer.read().decode()
    try:
        return json.loads(content)
    except ValueError:
        return content


@dataclass
class Router:
    """A router process and its addresses."""

    name: str
    hall: str
    callers: str
    admin: str
    peer_port: int
    process: subprocess.Popen[bytes]

    def state(self) -> dict[str, Any]:
        """Return the router's state dump."""
        found: dict[str, Any] = fetch(f"http://{self.admin}/state.json")
        return found


@dataclass
class Backend:
    """A stand-in process and its address."""

    name: str
    service: str
    url: str
    hall: str
    process: subprocess.Popen[bytes]
    #: Whether the platform lists it as able to resume a broken stream.
    resumes: bool = False
    checks_fencing: bool = False
    #: Version of its software, as the prepared machines' engines state it.
    software_version: str = "v1"

    def arm(self, fault: str, count: int = 1, seconds: float = 0.0, share: float = 1.0) -> None:
        """Arm a fault of the stand-in, which occurs on a share of its occasions."""
        armed = {"name": fault, "count": count, "seconds": seconds, "share": share}
        fetch(f"{self.url}/faults", armed)


def _flag(key: str, value: Any) -> str:
    """Return a keyword argument as a command-line flag."""
    name = f"--{key.replace('_', '-')}"
    return name if value is True else f"{name}={value}"


@dataclass
class LocalFleet:
    """Starts the processes of a fleet, and kills them on exit."""

    log_level: str = "WARNING"
    routers: list[Router] = field(default_factory=list)
    backends: list[Backend] = field(default_factory=list)
    platform_url: str = ""
    platform: Backend | None = None
    _folder: Any = None
    #: Standard error of the processes; None to inherit this process's.
    _stderr: IO[bytes] | None = None
    _has_planned_exits: bool = False
    _processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def __enter__(self) -> LocalFleet:
        self._folder = tempfile.TemporaryDirectory(prefix="pondhatch-")
        (self.folder / "fleet.key").write_text("a key for trials on loopback\n")
        url, process = self._start_stand_in("platform")
        self.platform_url = url
        self.platform = Backend("platform", "", url, "", process)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self._folder.cleanup()

    @property
    def folder(self) -> Path:
        """The temporary folder of settings and keys."""
        return Path(self._folder.name)

    def add_backend(
        self, kind: str, name: str, service: str, hall: str, resumes: bool = False, **options: Any
    ) -> Backend:
        """Start an engine or a plain service and list it at the platform.

        ``options`` become flags of ``python -m fakes``.
        """
        flags = [_flag(key, value) for key, value in options.items()]
        url, process = self._start_stand_in(kind, f"--name={name}", *flags)
        checks_fencing = bool(options.get("checks_fencing", False))
        backend = Backend(name, service, url, hall, process, resumes, checks_fencing)
        self.backends.append(backend)
        self.put_upstream(backend, "live")
        return backend

    def put_upstream(self, backend: Backend, state: str) -> None:
        """Write an upstream's entry to the platform."""
        value = {
            "name": backend.name,
            "service": backend.service,
            "url": backend.url,
            "hall": backend.hall,
            "state": state,
            "resumes": backend.resumes,
            "checks_fencing": backend.checks_fencing,
        }
        fetch(f"{self.platform_url}/v1/objects/upstream/{backend.name}", value, "PUT")

    def add_routers(
        self,
        halls: Sequence[str],
        caller_settings: dict[str, Any] | None = None,
        peer_settings: dict[str, Any] | None = None,
        **settings: Any,
    ) -> None:
        """Start one router in each of the given halls, and list its VM at the platform."""
        ports = free_ports(3 * len(halls))
        seeds = [f"{HOST}:{ports[1]}"]
        for index, hall in enumerate(halls):
            caller_port, peer_port, admin_port = ports[3 * index : 3 * index + 3]
            name = f"router-{len(self.routers)}"
            vm = {"address": f"{HOST}:{peer_port}", "state": "live"}
            fetch(f"{self.platform_url}/v1/objects/vm/{name}", vm, "PUT")
            endpoint = {"host": HOST, "port": caller_port, **(caller_settings or {})}
            peer = {"host": HOST, "port": peer_port, **(peer_settings or {})}
            router_settings = {"callers": endpoint, "peers": peer, **settings}
            self._start_router(
                name, hall, (caller_port, peer_port, admin_port), seeds, router_settings
            )

    def start_router_during_outage(self, name: str, hall: str, seed: str) -> None:
        """Start one more router without listing its VM at the platform, which is unavailable."""
        caller_port, peer_port, admin_port = free_ports(3)
        router_settings = {"callers": {"host": HOST, "port": caller_port}}
        self._start_router(
            name, hall, (caller_port, peer_port, admin_port), [seed], router_settings
        )

    def await_convergence(self, version: int, upstream_count: int | None = None) -> None:
        """Wait until all routers know each other, the configuration and the upstreams.

        ``version`` is the least configuration version to wait for, ``upstream_count`` the least
        number of upstreams, by default that of all backends. Raises RuntimeError if a router ends
        by itself, TimeoutError after TIMEOUT_SECONDS.
        """
        expected_upstreams = len(self.backends) if upstream_count is None else upstream_count
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not all(
            self._has_converged(router, version, expected_upstreams) for router in self.routers
        ):
            ended = [router.name for router in self.routers if router.process.poll() is not None]
            if ended and not self._has_planned_exits:
                raise RuntimeError(f"routers ended unexpectedly: {', '.join(ended)}")
            if time.monotonic() > deadline:
                raise TimeoutError("the fleet did not converge in time")
            time.sleep(0.1)

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the command line and return its exit code and output."""
        return subprocess.run(
            [sys.executable, "-m", "pondhatch", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )

    def apply(self, *files: str | Path) -> subprocess.CompletedProcess[str]:
        """Apply configuration files."""
        names = [str(file) for file in files]
        return self.run_cli("apply", *names, "--platform", self.platform_url, "--author", "demo")

    def stop(self, process: subprocess.Popen[bytes], signal_number: int = signal.SIGTERM) -> int:
        """Signal a process that this fleet started and return its exit code."""
        self._has_planned_exits = True
        process.send_signal(signal_number)
        return process.wait(timeout=TIMEOUT_SECONDS)

    def divert(self, router: str, diversions: dict[str, int]) -> None:
        """Set the port that a router connects to instead of an "IP:port", from now on."""
        path = self._diversions_path(router)
        # Replaced at once: the router may read it at any time.
        written = path.with_suffix(".new")
        written.write_text(json.dumps(diversions))
        written.replace(path)

    def _diversions_path(self, router: str) -> Path:
        return self.folder / f"{router}.diversions"

    def _start_router_process(self, router: str) -> subprocess.Popen[bytes]:
        settings, diversions = self.folder / f"{router}.yaml", self._diversions_path(router)
        if not diversions.exists():
            return self._start("pondhatch", "run", str(settings))
        return self._start("fakes", "diverted-router", str(settings), f"--diversions={diversions}")

    def _has_converged(self, router: Router, version: int, upstream_count: int) -> bool:
        try:
            state = router.state()
        except (OSError, urllib.error.URLError):
            return False
        return (
            len(state["members"]) == len([r for r in self.routers if r.process.poll() is None])
            and state["configuration"] >= version
            and len(state["upstreams"]) >= upstream_count
        )

    def _start_router(
        self,
        name: str,
        hall: str,
        ports: tuple[int, int, int],
        seeds: list[str],
        settings: dict[str, Any],
    ) -> None:
        caller_port, peer_port, admin_port = ports
        document = {
            "name": name,
            "hall": hall,
            "callers": {"host": HOST, "port": caller_port},
            "peers": {"host": HOST, "port": peer_port},
            "admin": {"host": HOST, "port": admin_port},
            "platform": self.platform_url,
            "fleet_key_file": str(self.folder / "fleet.key"),
            "seeds": seeds,
            "log": {"level": self.log_level},
            **settings,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(document))
        process = self._start_router_process(name)
        scheme = "https" if "certificate" in document["callers"] else "http"
        router = Router(
            name,
            hall,
            f"{scheme}://{HOST}:{caller_port}",
            f"{HOST}:{admin_port}",
            peer_port,
            process,
        )
        self.routers.append(router)

    def _start_stand_in(self, kind: str, *arguments: str) -> tuple[str, subprocess.Popen[bytes]]:
        process = self._start("fakes", kind, *arguments, stdout=subprocess.PIPE)
        if process.stdout is None:
            raise TypeError("a stand-in prints its port to standard output, which is no pipe")
        line = process.stdout.readline().decode()
        if not line.startswith("listening "):
            raise RuntimeError(f"{kind} did not start: {line!r}")
        return f"http://{HOST}:{line.split()[1]}", process

    def _start(
        self, module: str, *arguments: str, stdout: int | None = None
    ) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            cwd=ROOT,
            stdout=stdout,
            stderr=self._stderr,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
        )
        self._processes.append(process)
        return process
