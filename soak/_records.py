"""What callers and engines observed in one run, and the disturbances injected."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from soak._plan import STREAM_SERVICE

OK = 200
#: One event of a stand-in's stream: its number, and the software version of its engine.
_EVENT = re.compile(rb"id: (\d+)\ndata: \d+ (\w+)\n\n")


def events_of(body: bytes) -> list[tuple[int, str]]:
    """Return the complete events in a stream's bytes: number and software version of each."""
    return [(int(number), version.decode()) for number, version in _EVENT.findall(body)]


@dataclass(frozen=True)
class Route:
    """A kind of request, by its path."""

    path: str
    #: Whether the request may run more than once.
    is_repeatable: bool
    #: Whether the answer is a stream of events.
    is_stream: bool
    #: The service whose engines answer.
    service: str = STREAM_SERVICE


@dataclass(frozen=True)
class Attempt:
    """One request as the caller saw it."""

    id: str
    route: Route
    #: Name of the router that it was sent to.
    router: str
    #: When it was sent, and when its answer was complete or its connection ended, in seconds of
    #: the machine's monotonic clock.
    sent_at: float
    ended_at: float
    #: None if the connection ended before the head of an answer.
    status: int | None = None
    #: The engine's signature, ENGINE.ATTEMPT; empty if no engine signed the answer.
    signature: str = ""
    #: Whether the answer was complete by its HTTP framing.
    is_whole: bool = False
    body: bytes = b""
    #: Id of the attempt that brought the first event of the stream that it resumes; empty if it
    #: resumes none.
    resumed_attempt: str = ""
    #: The number of the last event that the caller had.
    last_event: int = 0
    #: Whether its caller left before the end of the answer.
    caller_left: bool = False

    @property
    def stream(self) -> str:
        """The id of the attempt that began its stream."""
        return self.resumed_attempt or self.id


@dataclass(frozen=True)
class Arrival:
    """One request as an engine saw it."""

    id: str
    engine: str
    arrived_at: float
    #: When the engine began to answer; None if it did not, or refused without asking for rest.
    answered_at: float | None
    ran: bool
    #: Whether its answer announced that the engine leaves.
    announced_leaving: bool
    #: Rest that its answer asked for, in seconds; 0 for none.
    rest_seconds: float
    #: Name of the engine that it was meant for, as its router gave it; empty if it gave none.
    meant_for: str = ""


@dataclass(frozen=True)
class EngineLife:
    """When an engine served."""

    name: str
    service: str
    software_version: str
    begins: float
    #: When it ended, or announced that it leaves; infinite if it did neither.
    ends: float = float("inf")


@dataclass(frozen=True)
class Disturbance:
    """Something that was done to a router, an engine or the store."""

    kind: str
    #: Name of the router or engine, or of the store.
    name: str
    begins: float
    ends: float


@dataclass(frozen=True)
class ObservedVersion:
    """The version of the configuration that a router reported as in force."""

    router: str
    #: How often the router's process had been restarted.
    restarts: int
    observed_at: float
    version: int


@dataclass(frozen=True)
class KeyUse:
    """A request with a key that was dropped before."""

    router: str
    #: When the store had acknowledged the configuration without the key.
    dropped_at: float
    sent_at: float
    #: 0 if there was no answer.
    status: int


@dataclass
class Records:
    """Everything recorded in one run."""

    attempts: list[Attempt] = field(default_factory=list)
    #: Names of all routers.
    routers: frozenset[str] = frozenset()
    arrivals: list[Arrival] = field(default_factory=list)
    #: By the engine's name.
    engine_lives: dict[str, EngineLife] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    versions: list[ObservedVersion] = field(default_factory=list)
    key_uses: list[KeyUse] = field(default_factory=list)
    #: Processes that exited without being stopped, or not as they should.
    unexpected_exits: list[str] = field(default_factory=list)
    #: Errors whose tracebacks processes wrote.
    errors: list[str] = field(default_factory=list)
    #: Number of engines that each bad part of prompts ended.
    ends_by_bad_part: dict[str, int] = field(default_factory=dict)
    #: When the fleet must serve nearly all requests again; infinite if the run ended before.
    recovery_deadline: float = float("inf")

    def is_disturbed(self, name: str, begins: float, ends: float) -> bool:
        """Return whether a process was disturbed at any time from ``begins`` to ``ends``."""
        found = (each for each in self.disturbances if each.name == name)
        return any(each.begins <= ends and begins <= each.ends for each in found)


def served_share(attempts: list[Attempt]) -> float:
    """Return the share of attempts that were answered with success."""
    return sum(each.status == OK for each in attempts) / max(1, len(attempts))
