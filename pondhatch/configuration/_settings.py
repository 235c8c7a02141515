"""The settings of one router process, read from YAML."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from pondhatch.configuration._problems import ConfigurationError
from pondhatch.configuration._validation import validate
from pondhatch.configuration._yaml import YamlDocument, load_yaml

#: Characters of a router's and a hall's name. Routers tell each other of 20 routers in one
#: packet of at most 65,507 bytes, and a character may take 4 of them: 20 * 2 * 255 * 4 are 40,800.
MAX_NAME_LENGTH = 255
#: A name that the platform gives. It takes any form: routers compare and hash names, and those
#: that write one into a path or a metric's name escape it.
ExternalName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
#: A number as JSON writes it and YAML 1.1 does not read it, such as 1e-05.
EXPONENT_PATTERN = re.compile(r"-?[0-9]+(\.[0-9]+)?[eE][+-]?[0-9]+")
#: Bytes of a megabyte, as memory is counted.
MEGABYTE = 1024 * 1024
Host = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")]
Port = Annotated[int, Meta(ge=0, le=65535)]
Url = Annotated[str, Meta(pattern=r"^https?://")]


#: When a router manages load: never, always, or where it is called for: by the platform's rules in
#: force, or by engines that state their pace. Such an engine shares its machine with others, so
#: that its capacity changes within a second.
LoadManagement = Literal["off", "as-needed", "on"]


class AdminEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the state is dumped: on loopback only, since nobody is asked who they are."""

    host: Annotated[str, Meta(pattern=r"^(127\.[0-9.]+|::1)$")]
    port: Port = 0


class PeerEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where other routers reach this one; they are told the port, so it is a fixed one.

    With all three files named, routers' calls go over TLS and both sides show a
    certificate. Packets over UDP are sealed with the fleet key either way.
    """

    host: Host
    port: Annotated[int, Meta(ge=1, le=65535)]
    #: PEM file with this router's certificate, for its IP number.
    certificate: str | None = None
    private_key: str | None = None
    #: PEM file with the authority that signed all routers' certificates.
    authority: str | None = None


class CallerEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where callers connect, with TLS where both files are named."""

    host: Host
    port: Port = 0
    #: PEM file with the certificate chain.
    certificate: str | None = None
    #: PEM file with the private key.
    private_key: str | None = None


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one caller may send; beyond it the caller gets a 4xx or is cut."""

    #: Bytes of a chat request's body.
    chat_body_bytes: Annotated[int, Meta(ge=1024, le=64 * 1024 * 1024)] = 4 * 1024 * 1024
    #: Bytes of all headers together.
    header_bytes: Annotated[int, Meta(ge=1024, le=1024 * 1024)] = 16 * 1024
    #: Seconds for a request's head to come in full.
    header_seconds: Annotated[float, Meta(gt=0, le=600)] = 10.0
    #: Seconds for which a body may stand still.
    idle_seconds: Annotated[float, Meta(gt=0, le=3600)] = 60.0


class StatsdEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics are sent, over UDP."""

    host: Host
    port: Port
    prefix: str = "pondhatch"


class ReadyEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the balancer asks whether this router takes work."""

    host: Host
    port: Port
    path: Annotated[str, Meta(pattern=r"^/")] = "/healthz"


class MetricsEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics are told as text."""

    host: Host
    port: Port
    path: Annotated[str, Meta(pattern=r"^/")] = "/metrics"


class ServiceDefaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds for services where the platform's configuration does not say."""

    #: See ServiceSpec.
    load_bound: Annotated[float, Meta(gt=1.0, le=10.0)] = 1.25
    load_slack: Annotated[int, Meta(ge=0, le=1000)] = 0
    #: Requests that one engine queues itself beyond its slots, rather than refuse them.
    engine_queue: Annotated[int, Meta(ge=0, le=1000)] = 0


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the whole fleet may send to a service beyond the first try of each request.

    Left out, or left empty by a platform that sets no such bound, each has its default.
    """

    #: Share of the requests for the service.
    share: Annotated[float, Meta(ge=0)] | None = None
    #: Retries beyond the share in any ten seconds or so.
    slack: Annotated[float, Meta(ge=0)] | None = None


class ColdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a cold upstream bears in any one second, whoever sends it.

    Left out, or left empty by a platform that does not say, each has its default.
    """

    #: Multiple of its service's ``cold_pace``.
    overshoot: Annotated[float, Meta(ge=0)] | None = None
    #: Requests beyond that.
    slack: Annotated[float, Meta(ge=0)] | None = None


class MemorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Memory for callers and engines; see ``Settings.held_bytes_bound``.

    Left out, or left empty by a platform that does not say, there is no bound.
    """

    #: Memory of the VM, or what of it the router may use, in megabytes.
    megabytes: Annotated[float, Meta(gt=0)] | None = None
    #: Share of it for bodies and answers that wait for callers and engines.
    held_share: Annotated[float, Meta(gt=0, le=1)] | None = None


class VmSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The VM that the router runs on, from which its share of the fleet's work follows.

    Left out, or left empty by a platform that does not say, each counts as usual.
    """

    #: The part of a core that the VM has.
    cpu_quota: Annotated[float, Meta(gt=0)] | None = None
    #: How many times as fast as usual that core is.
    cores: Annotated[float, Meta(gt=0)] | None = None
    #: Megabits per second.
    link_mbps: Annotated[float, Meta(gt=0)] | None = None


class DrainSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a stopping router ends."""

    #: Seconds after the stop signal for which it still takes requests: until the balancer
    #: has noticed, callers have nowhere else to go.
    accept_seconds: Annotated[float, Meta(ge=0, le=600)] = 0.0
    #: Seconds after the stop signal by which it has ended, whatever still runs.
    whole_seconds: Annotated[float, Meta(gt=0, le=3600)] | None = None


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a process logs."""

    #: "text" to standard error for people; "lines": JSON lines of sentences and decisions
    #: to standard output for machines; "json": loguru's own records, to standard error.
    form: Annotated[str, Meta(pattern=r"^(text|lines|json)$")] = "text"
    level: Annotated[str, Meta(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One router process."""

    name: ExternalName
    hall: ExternalName
    callers: CallerEndpoint
    #: TCP for routers' calls, and UDP on the same number for gossip.
    peers: PeerEndpoint
    #: State dump.
    admin: AdminEndpoint
    #: The platform's object API.
    platform: Url
    #: File whose content is the fleet's shared key, at least 16 bytes; without it, the
    #: routers agree on one through an object at the platform.
    fleet_key_file: str | None = None
    #: What callers, upstreams and the platform speak; a plug-in of kind "interface".
    interface: str = "openai"
    #: Asked on the callers' port where it is not set.
    ready: ReadyEndpoint | None = None
    service_defaults: ServiceDefaults = msgspec.field(default_factory=ServiceDefaults)
    retries: RetrySettings = msgspec.field(default_factory=RetrySettings)
    load_management: LoadManagement = "off"
    #: The platform's rules in force, by its own names; None where it names none.
    rules_in_force: tuple[str, ...] | None = None
    cold: ColdSettings = msgspec.field(default_factory=ColdSettings)
    memory: MemorySettings = msgspec.field(default_factory=MemorySettings)
    vm: VmSettings = msgspec.field(default_factory=VmSettings)
    #: The region of each data hall, for what is bound to regions; None where nobody says.
    regions: dict[str, str] | None = None
    #: Peers to try first, as "IP:port"; the platform's list of VMs adds to them.
    seeds: tuple[Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+:\d+$")], ...] = ()
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)
    statsd: StatsdEndpoint | None = None
    metrics: MetricsEndpoint | None = None
    #: Seconds for which a stopping router lets its streams finish.
    drain_seconds: Annotated[float, Meta(ge=0, le=3600)] = 120.0
    drain: DrainSettings = msgspec.field(default_factory=DrainSettings)
    log: LogSettings = msgspec.field(default_factory=LogSettings)

    @property
    def held_bytes_bound(self) -> int | None:
        """Bytes that the router may hold for callers and engines; None where there is no bound."""
        megabytes, share = self.memory.megabytes, self.memory.held_share
        if megabytes is None or share is None:
            return None
        return max(1, int(megabytes * share * MEGABYTE))


#: Sections whose numbers a platform fills in.
NUMERIC_SECTIONS = ("retries", "cold", "memory", "vm")

#: Shortest fleet key that is taken, in bytes.
MIN_FLEET_KEY_BYTES = 16


def load_settings(path: Path) -> Settings:
    """Read a settings file. Raises ConfigurationError with every problem."""
    document = load_yaml(path)
    settings = validate(Settings, _with_parsed_numbers(_with_split_addresses(document.data)))
    if not isinstance(settings, Settings):
        raise ConfigurationError(
            tuple(document.problem(each.path, each.expected) for each in settings)
        )
    _check_tls(document, settings)
    return settings


def _with_split_addresses(data: Any) -> Any:
    """Return settings in which each ``address: IP:port`` stands as host and port."""
    if not isinstance(data, dict):
        return data
    return {name: _with_split_address(value) for name, value in data.items()}


def _with_split_address(section: Any) -> Any:
    address = section.get("address") if isinstance(section, dict) else None
    host, _, port = str(address).rpartition(":")
    if not host or not port.isdigit():
        return section
    others = {name: value for name, value in section.items() if name != "address"}
    return {"host": host.strip("[]"), "port": int(port), **others}


def _with_parsed_numbers(data: Any) -> Any:
    """Return settings in which numbers with an exponent, as JSON has them, are read."""
    sections = {name: data.get(name) for name in NUMERIC_SECTIONS} if isinstance(data, dict) else {}
    parsed = {
        section: {name: _parse_exponent_number(value) for name, value in values.items()}
        for section, values in sections.items()
        if isinstance(values, dict)
    }
    return {**data, **parsed} if parsed else data


def _parse_exponent_number(value: Any) -> Any:
    is_number = isinstance(value, str) and EXPONENT_PATTERN.fullmatch(value)
    return float(value) if is_number else value


def load_fleet_key(settings: Settings) -> bytes | None:
    """Read the fleet key, None where the settings name no file for it.

    Raises ConfigurationError where the file cannot be read or the key is short.
    """
    if settings.fleet_key_file is None:
        return None
    path = Path(settings.fleet_key_file)
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise _fleet_key_error(settings, f"expected a readable file, {error.strerror}") from error
    if len(key) < MIN_FLEET_KEY_BYTES:
        raise _fleet_key_error(settings, f"expected at least {MIN_FLEET_KEY_BYTES} bytes in {path}")
    return key


def _check_tls(document: YamlDocument, settings: Settings) -> None:
    callers = settings.callers
    if (callers.certificate is None) != (callers.private_key is None):
        problem = document.problem(("callers",), "expected both certificate and private_key")
        raise ConfigurationError((problem,))
    peers = settings.peers
    files = (peers.certificate, peers.private_key, peers.authority)
    if any(files) and not all(files):
        expected = "expected all of certificate, private_key and authority, or none"
        raise ConfigurationError((document.problem(("peers",), expected),))


def _fleet_key_error(settings: Settings, expected: str) -> ConfigurationError:
    document = YamlDocument(settings.name, {}, {(): 0})
    return ConfigurationError((document.problem(("fleet_key_file",), expected),))
