"""A few routers and upstreams at the interfaces, and the history of what they did."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from pondhatch.limits import RetryBudget
from pondhatch.placement import Gate, SpillMemory, winner
from pondhatch.requests import (
    CROSSED,
    BodySource,
    Broken,
    Delivery,
    Headers,
    KeyTable,
    LocalOwner,
    Lost,
    NotRun,
    Opened,
    Owner,
    OwnerReply,
    Patience,
    Placed,
    ReplayableBody,
    RequestHead,
    Target,
    Unknown,
    Walk,
    Whole,
)

EVENTS = 5
STREAM: Headers = (("Content-Type", "text/event-stream"),)
#: What may befall one try at an upstream, or one hop between routers.
UPSTREAM_FAULTS = (
    "none",
    "refused",
    "unreachable",
    "lost-before-it-came",
    "lost-after-it-ran",
    "crossed",
    "cut",
    "cut-inside-an-event",
    "slow",
)
HOP_FAULTS = ("none", "unreachable", "lost-before-it-came", "lost-after-it-ran", "cut", "not-owner")


def answer_of(request: str) -> bytes:
    """Return the whole answer to a request."""
    events = [f"data: {request} {at}\n\n" for at in range(EVENTS)]
    return ("".join(events) + "data: [DONE]\n\n").encode()


@dataclass
class History:
    """What upstreams ran and what callers got."""

    runs: Counter[str] = field(default_factory=Counter)
    sends_to_leaving: int = 0
    outcome_by_request: dict[str, object] = field(default_factory=dict)
    text_by_request: dict[str, bytes] = field(default_factory=dict)


class Script:
    """Faults in the order in which they strike; none once it is used up."""

    def __init__(self, faults: list[str]) -> None:
        self._faults = list(faults)

    def next(self) -> str:
        return self._faults.pop(0) if self._faults else "none"


class Stream:
    """An answer that may be cut."""

    def __init__(self, content: bytes, cut_at: int | None, slow: bool) -> None:
        self.status = 200
        self.headers = STREAM
        self._content = content
        self._cut_at = cut_at
        self._slow = slow
        self._at = 0

    async def read(self) -> bytes:
        await asyncio.sleep(0.5 if self._slow else 0.01)
        if self._cut_at is not None and self._at >= self._cut_at:
            raise Lost(Broken("answer-broken", "cut"))
        end = min(self._at + 9, len(self._content), self._cut_at or len(self._content))
        part, self._at = self._content[self._at : end], end
        return part

    def cancel(self) -> None:
        """Do nothing more."""


class FakeUpstreams:
    """Upstreams that run, refuse, lose and cut as the script says."""

    def __init__(self, history: History, script: Script, leaving: set[str]) -> None:
        self._history = history
        self._script = script
        self._leaving = leaving

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> Opened | NotRun | Unknown:
        self._history.sends_to_leaving += target.name in self._leaving and not head.resuming
        fault = self._script.next()
        await asyncio.sleep(0.01)
        if fault == "refused":
            return NotRun("upstream-refused", "refused")
        if fault == "unreachable":
            return NotRun("upstream-unreachable", "unreachable")
        if fault == "lost-before-it-came":
            return Unknown("upstream-lost", "lost")
        request = head.request_id.split(".")[0]
        resumed_from = int(dict(head.headers).get("X-Resume-From", -1))
        if resumed_from < 0:
            self._history.runs[request] += 1
        if fault == "lost-after-it-ran":
            return Unknown("upstream-lost", "lost")
        if fault == "crossed":
            return Unknown(CROSSED, "another's answer")
        whole = answer_of(request)
        events = whole.split(b"\n\n")
        content = b"\n\n".join(events[max(0, resumed_from) :])
        cut = {"cut": len(content) // 2, "cut-inside-an-event": 4}.get(fault)
        return Opened(Stream(content, cut, fault == "slow"))


class Hop:
    """A peer's engines, behind a connection that may fail."""

    def __init__(self, owner: LocalOwner, script: Script) -> None:
        self._owner = owner
        self._script = script

    async def open(self, head: RequestHead, body: BodySource) -> OwnerReply:
        fault = self._script.next()
        await asyncio.sleep(0.01)
        if fault == "unreachable":
            return NotRun("router-unreachable", "unreachable")
        if fault == "lost-before-it-came":
            return Unknown("router-lost", "lost")
        reply = await self._owner.open(head, body)
        if fault == "lost-after-it-ran":
            if isinstance(reply, Opened):
                reply.answer.cancel()
            return Unknown("router-lost", "lost")
        if fault == "cut" and isinstance(reply, Opened):
            return Opened(_CutHop(reply))
        return reply

    async def remember(self, chat: int, engine: str) -> None:
        await self._owner.remember(chat, engine)


class _CutHop:
    """A relayed answer whose router is lost after its first part."""

    def __init__(self, opened: Opened) -> None:
        self._answer = opened.answer
        self.status = opened.answer.status
        self.headers = opened.answer.headers
        self._reads = 0

    async def read(self) -> bytes:
        self._reads += 1
        if self._reads > 2:
            self._answer.cancel()
            raise Lost(Broken("router-lost", "lost"))
        return await self._answer.read()

    def cancel(self) -> None:
        self._answer.cancel()


class View:
    """One router's view; routers may differ on who owns an engine."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name
        self.disagrees = False

    def target(self, engine: str) -> Target | None:
        takes_work = engine not in self._fleet.known_leaving
        return Target(engine, "", takes_work, 1.5, len(self._fleet.engines), 8)

    def owner_name(self, engine: str) -> str | None:
        if self.disagrees:
            return self._name
        return winner(engine, self._fleet.names)

    def elsewhere_in_flight(self, engine: str) -> int:
        return 0

    def is_young(self, engine: str) -> bool:
        return False

    def stopping(self) -> bool:
        return False

    def owner(self, name: str) -> Owner | None:
        if name == self._name:
            return self._fleet.owners[name]
        return Hop(self._fleet.owners[name], self._fleet.hop_script)

    def unreachable(self, name: str) -> None:
        """Do nothing: the walk goes on."""

    def live_upstreams(self, service: str) -> tuple[str, ...]:
        return tuple(e for e in self._fleet.engines if e not in self._fleet.known_leaving)

    def resumes(self, engine: str) -> bool:
        return self._fleet.resumes


class Fleet:
    """Three routers before three engines."""

    def __init__(self, upstream_faults: list[str], hop_faults: list[str], resumes: bool) -> None:
        self.names = ("r0", "r1", "r2")
        self.engines = ("e0", "e1", "e2")
        self.resumes = resumes
        self.history = History()
        self.hop_script = Script(hop_faults)
        self.leaving: set[str] = set()
        self.known_leaving: set[str] = set()
        script = Script(upstream_faults)
        self.views = {name: View(self, name) for name in self.names}
        self.gates = {name: Gate() for name in self.names}
        clock = asyncio.get_running_loop().time
        self.owners = {
            name: LocalOwner(
                name,
                self.views[name],
                self.gates[name],
                SpillMemory(),
                FakeUpstreams(self.history, script, self.known_leaving),
                clock,
                KeyTable(),
            )
            for name in self.names
        }

    async def request(self, number: int, repeatable: bool, gives_up: bool) -> None:
        """Send one request through a router and record what came of it."""
        name = f"q{number}"
        entry = self.names[number % len(self.names)]
        task = asyncio.ensure_future(self._serve(name, entry, repeatable))
        if gives_up:
            await asyncio.sleep(0.05)
            task.cancel()
        await asyncio.wait([task])

    async def _serve(self, request: str, entry: str, repeatable: bool) -> None:
        head = RequestHead(request, "a", "s", "", 0, "POST", "/", (), repeatable, 10.0, 5)
        until = asyncio.get_running_loop().time() + 10.0
        remaining: Callable[[], float] = lambda: until - asyncio.get_running_loop().time()  # noqa: E731
        walk = Walk(
            self.views[entry],
            RetryBudget(),
            head,
            ReplayableBody(b"body"),
            remaining,
            Patience(0.2, 1.0),
        )
        reply = await walk.run()
        if not isinstance(reply, Placed):
            self.history.outcome_by_request[request] = reply.refusal
            return
        received = bytearray()

        async def write(part: bytes) -> None:
            received.extend(part)
            self.history.text_by_request[request] = bytes(received)

        delivered = await Delivery(walk, reply, write).run()
        self.history.outcome_by_request[request] = delivered.outcome


def violations(fleet: Fleet, repeatable: dict[str, bool]) -> list[str]:
    """Return every promise that the history breaks."""
    history = fleet.history
    found = []
    for request, outcome in history.outcome_by_request.items():
        runs = history.runs[request]
        text = history.text_by_request.get(request, b"")
        if isinstance(outcome, NotRun) and runs:
            found.append(f"{request} was said not to have run, and ran {runs} times")
        if isinstance(outcome, Whole) and text != answer_of(request):
            found.append(f"{request} got {text!r} as its whole answer")
    for request, text in history.text_by_request.items():
        if not answer_of(request).startswith(text):
            found.append(f"{request} got {text!r}, no part of its answer")
    for request, may_repeat in repeatable.items():
        if not may_repeat and history.runs[request] > 1:
            found.append(f"{request} may not be repeated and ran {history.runs[request]} times")
    if history.sends_to_leaving:
        found.append("an upstream known to be leaving got new work")
    for name, gate in fleet.gates.items():
        held = {engine: c.granted for engine, c in gate.by_engine.items() if c.granted}
        if held:
            found.append(f"{name} still counts {held} after everything ended")
    return found
