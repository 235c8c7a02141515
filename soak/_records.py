"""What callers and engines saw in one run, and what was done to whom."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Route:
    """A kind of request, as callers know it."""

    path: str
    #: Whether it may run more than once.
    is_repeatable: bool
    #: Whether its answer is a stream of events.
    is_stream: bool


@dataclass(frozen=True)
class Attempt:
    """One request as its caller saw it."""

    id: str
    route: Route
    #: Name of the router that it was sent to.
    router: str
    #: When it was sent, and when its answer was whole or its connection ended, in seconds of the
    #: machine's steady clock.
    sent_at: float
    ended_at: float
    #: None where the connection ended before an answer's head.
    status: int | None = None
    #: Who signed the answer; empty where nobody did.
    signature: str = ""
    #: Whether the answer was framed as whole.
    is_whole: bool = False
    body: bytes = b""


@dataclass(frozen=True)
class Arrival:
    """One request as an engine saw it."""

    id: str
    engine: str
    arrived_at: float
    #: When its answer's head went out; None where none did.
    answered_at: float | None
    ran: bool
    #: Whether its answer said that the engine leaves.
    announced_leaving: bool
    #: Seconds of rest that its answer asked for.
    rest_seconds: float


@dataclass(frozen=True)
class Disturbance:
    """Something that was done to a router, an engine or the store."""

    kind: str
    #: Name of what it struck.
    name: str
    begins: float
    ends: float


@dataclass(frozen=True)
class ObservedVersion:
    """The configuration that a router said to have in force."""

    router: str
    #: Counts the starts of the router's process.
    restarts: int
    observed_at: float
    version: int


@dataclass
class Records:
    """All of one run."""

    attempts: list[Attempt] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    versions: list[ObservedVersion] = field(default_factory=list)
    #: Processes that ended though nobody ended them.
    unexpected_exits: list[str] = field(default_factory=list)
    #: Errors that processes told of in what they write.
    errors: list[str] = field(default_factory=list)
    #: From when on nearly all must be served; infinite where that was not waited for.
    recovery_deadline: float = float("inf")

    def is_disturbed(self, name: str, begins: float, ends: float) -> bool:
        """Return whether something was done to one of the processes in a time."""
        found = (each for each in self.disturbances if each.name == name)
        return any(each.begins <= ends and begins <= each.ends for each in found)
