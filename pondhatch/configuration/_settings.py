"""The settings of one router process."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

#: Maximum number of characters in the name of a router or a hall. A gossip packet of at most 65,507
#: bytes describes 20 routers, each with both names, and a character takes up to 4 bytes:
#: 20 * 2 * 255 * 4 = 40,800.
MAX_NAME_LENGTH = 255
#: A name given by the platform. It may have any form, because routers only compare and hash
#: names, and escape them where they are written into paths or metric names.
ExternalName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
#: Bytes in a megabyte of memory.
MEGABYTE = 1024 * 1024
Host = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")]
Port = Annotated[int, Meta(ge=0, le=65535)]
Url = Annotated[str, Meta(pattern=r"^https?://")]


#: When a router manages load: never, as needed or always. It is needed where the platform's
#: rules in force demand it or where engines report their pace: such an engine shares its machine
#: with others, so its capacity can change within a second.
LoadManagement = Literal["off", "as-needed", "on"]


class AdminEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the state dump: loopback only, because clients are not authenticated."""

    host: Annotated[str, Meta(pattern=r"^(127\.[0-9.]+|::1)$")]
    port: Port = 0


class PeerEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address at which other routers reach this one; the port is fixed since it is gossiped.

    With all three files named, calls between routers use mutual TLS. Gossip packets over UDP
    are sealed with the fleet key either way.
    """

    host: Host
    port: Annotated[int, Meta(ge=1, le=65535)]
    #: PEM file with this router's certificate, issued for its IP address.
    certificate: str | None = None
    private_key: str | None = None
    #: PEM file with the certificate authority that signed all routers' certificates.
    authority: str | None = None


class CallerEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address at which callers connect, with TLS if both files are named."""

    host: Host
    port: Port = 0
    #: PEM file with the certificate chain.
    certificate: str | None = None
    #: PEM file with the private key.
    private_key: str | None = None


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on callers; beyond them a caller gets a 4xx response or is disconnected."""

    #: Maximum number of bytes in the body of a chat request.
    chat_body_bytes: Annotated[int, Meta(ge=1024, le=64 * 1024 * 1024)] = 4 * 1024 * 1024
    #: Maximum number of bytes of all headers of a request together.
    header_bytes: Annotated[int, Meta(ge=1024, le=1024 * 1024)] = 16 * 1024
    #: Seconds within which a request's head must arrive in full.
    header_seconds: Annotated[float, Meta(gt=0, le=600)] = 10.0
    #: Seconds that a connection, or a request body on it, may be idle.
    idle_seconds: Annotated[float, Meta(gt=0, le=3600)] = 60.0


class StatsdEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the StatsD server that metrics are sent to, over UDP."""

    host: Host
    port: Port
    prefix: str = "pondhatch"


class ReadyEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the readiness check for the load balancer."""

    host: Host
    port: Port
    path: Annotated[str, Meta(pattern=r"^/")] = "/healthz"


class MetricsEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address at which metrics are served as text."""

    host: Host
    port: Port
    path: Annotated[str, Meta(pattern=r"^/")] = "/metrics"


class ServiceDefaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Defaults for services where the platform's configuration does not specify them."""

    #: See ServiceSpec.
    load_bound: Annotated[float, Meta(gt=1.0, le=10.0)] = 1.25
    load_slack: Annotated[int, Meta(ge=0, le=1000)] = 0
    #: Requests beyond its slots that an engine queues itself rather than refuses.
    engine_queue: Annotated[int, Meta(ge=0, le=1000)] = 0


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The retry budget of the whole fleet for each service.

    A field that is left out, or left empty by the platform, has its default.
    """

    #: Retries as a share of the requests for the service.
    share: Annotated[float, Meta(ge=0)] | None = None
    #: Retries beyond that share in any period of about ten seconds.
    slack: Annotated[float, Meta(ge=0)] | None = None


class ColdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit on the requests that the whole fleet sends to a cold upstream in one second.

    A field that is left out, or left empty by the platform, has its default.
    """

    #: Limit as a multiple of the service's ``cold_pace``.
    overshoot: Annotated[float, Meta(ge=0)] | None = None
    #: Requests allowed beyond that multiple.
    slack: Annotated[float, Meta(ge=0)] | None = None


class MemorySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Memory for callers and engines; see ``Settings.held_bytes_bound``.

    If a field is left out, or left empty by the platform, there is no bound.
    """

    #: Memory of the VM, or the part of it that the router may use, in megabytes.
    megabytes: Annotated[float, Meta(gt=0)] | None = None
    #: Share of it for buffered request bodies and responses.
    held_share: Annotated[float, Meta(gt=0, le=1)] | None = None


class VmSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity of the router's VM, which determines its share of the fleet's work.

    A field that is left out, or left empty by the platform, counts as that of a usual VM.
    """

    #: Share of a core that the VM may use.
    cpu_quota: Annotated[float, Meta(gt=0)] | None = None
    #: Speed of that core as a multiple of the usual speed.
    cores: Annotated[float, Meta(gt=0)] | None = None
    #: Network bandwidth, in megabits per second.
    link_mbps: Annotated[float, Meta(gt=0)] | None = None


class DrainSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a router drains after the stop signal."""

    #: Seconds after the stop signal during which it still accepts requests: until the load
    #: balancer has noticed, callers have no other router to use.
    accept_seconds: Annotated[float, Meta(ge=0, le=600)] = 0.0
    #: Seconds after the stop signal at which it exits, whatever is still running; None for
    #: ``Settings.drain_seconds``.
    whole_seconds: Annotated[float, Meta(gt=0, le=3600)] | None = None


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log."""

    #: "text": plain text to standard error; "lines": messages and decisions as JSON lines to
    #: standard output; "json": loguru's own records, as JSON, to standard error.
    form: Annotated[str, Meta(pattern=r"^(text|lines|json)$")] = "text"
    level: Annotated[str, Meta(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one router process."""

    name: ExternalName
    hall: ExternalName
    callers: CallerEndpoint
    #: TCP port for calls between routers, and the UDP port of the same number for gossip.
    peers: PeerEndpoint
    #: Address of the state dump.
    admin: AdminEndpoint
    #: The platform's object API.
    platform: Url
    #: File with the fleet's shared key, at least 16 bytes; without it, the routers agree on
    #: one through an object at the platform.
    fleet_key_file: str | None = None
    #: Plug-in of kind "interface" with the protocols of callers, upstreams and the platform.
    interface: str = "openai"
    #: Readiness check; without it, the check is served on the callers' port.
    ready: ReadyEndpoint | None = None
    service_defaults: ServiceDefaults = msgspec.field(default_factory=ServiceDefaults)
    retries: RetrySettings = msgspec.field(default_factory=RetrySettings)
    load_management: LoadManagement = "off"
    #: The platform's rules in force, by the platform's names; None if it names none.
    rules_in_force: tuple[str, ...] | None = None
    cold: ColdSettings = msgspec.field(default_factory=ColdSettings)
    memory: MemorySettings = msgspec.field(default_factory=MemorySettings)
    vm: VmSettings = msgspec.field(default_factory=VmSettings)
    #: Region of each data hall, for routes and accounts restricted to regions; None if unknown.
    regions: dict[str, str] | None = None
    #: Peers to contact first, as "IP:port", besides those in the platform's list of VMs.
    seeds: tuple[Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+:\d+$")], ...] = ()
    limits: CallerLimits = msgspec.field(default_factory=CallerLimits)
    statsd: StatsdEndpoint | None = None
    metrics: MetricsEndpoint | None = None
    #: Seconds that a stopping router waits for its streams to finish.
    drain_seconds: Annotated[float, Meta(ge=0, le=3600)] = 120.0
    drain: DrainSettings = msgspec.field(default_factory=DrainSettings)
    log: LogSettings = msgspec.field(default_factory=LogSettings)

    @property
    def held_bytes_bound(self) -> int | None:
        """Maximum bytes that the router buffers for callers and engines; None for no bound."""
        megabytes, share = self.memory.megabytes, self.memory.held_share
        if megabytes is None or share is None:
            return None
        return max(1, int(megabytes * share * MEGABYTE))
