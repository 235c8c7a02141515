"""The owner's side: grants against the ceiling, then one try at the upstream."""

from __future__ import annotations

import functools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pondhatch.placement import Full, Gate, Granted, Health, SpillMemory, Verdict, context_engine
from pondhatch.requests._keys import Claim, KeyRecord, KeyTable
from pondhatch.requests._lines import Lines
from pondhatch.requests._messages import (
    AnswerStream,
    BodySource,
    Busy,
    Elsewhere,
    Headers,
    NotOwner,
    Opened,
    OwnerReply,
    RequestHead,
)
from pondhatch.requests._outcomes import NotRun, Unknown


@dataclass(frozen=True)
class Target:
    """An upstream as the owner needs it."""

    name: str
    url: str
    #: False once it is known to be leaving.
    takes_work: bool
    #: The service's set multiple of the mean.
    bound: float
    #: How many upstreams of the service take work.
    peers: int
    #: Requests that it can take at once, whatever the mean.
    slots: int


class Upstreams(Protocol):
    """Connections to upstreams."""

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> Opened | NotRun | Unknown:
        """Send a request once; never repeat it."""


class OwnerView(Protocol):
    """What the owner's side reads of the router's state."""

    def target(self, engine: str) -> Target | None:
        """Return an upstream, or None where it is not known."""

    def owner_name(self, engine: str) -> str | None:
        """Return the router that owns an engine in this router's view."""

    def elsewhere_in_flight(self, engine: str) -> int:
        """Return the in-flight total of the service's other engines."""

    def is_young(self, engine: str) -> bool:
        """Return whether an upstream joined a short while ago."""

    def stopping(self) -> bool:
        """Return whether this router is draining."""


class GrantedAnswer:
    """An answer that gives its grant back when it ends, once, in whatever way."""

    def __init__(self, answer: AnswerStream, release: Callable[[], None]) -> None:
        self._answer = answer
        self._release: Callable[[], None] | None = release
        self.status: int = answer.status
        self.headers: Headers = answer.headers

    async def read(self) -> bytes:
        """Return the next part, or b"" at the end; see AnswerStream."""
        try:
            part = await self._answer.read()
        except BaseException:
            self._end()
            raise
        if not part:
            self._end()
        return part

    def cancel(self) -> None:
        """Give the answer up and the grant back."""
        self._answer.cancel()
        self._end()

    def _end(self) -> None:
        release, self._release = self._release, None
        if release is not None:
            release()


class LocalOwner:
    """The engines that this router owns, and the keys that it holds."""

    def __init__(
        self,
        name: str,
        view: OwnerView,
        gate: Gate,
        memory: SpillMemory,
        upstreams: Upstreams,
        clock: Callable[[], float],
        keys: KeyTable,
    ) -> None:
        self._name = name
        self._view = view
        self._gate = gate
        self._memory = memory
        self._upstreams = upstreams
        self._clock = clock
        self._lines = Lines(self._released)
        self.health = Health()
        self._keys = keys

    async def open(self, head: RequestHead, body: BodySource) -> OwnerReply:
        """Grant the request against the ceiling and run it; see Owner."""
        if self._view.stopping():
            return NotOwner()
        target = self._view.target(head.engine)
        if target is None or not (target.takes_work or head.resuming):
            return _leaving(head.engine)
        owner = self._view.owner_name(head.engine)
        if owner != self._name:
            return NotOwner(owner)
        if self.health.is_down(target.name, self._clock()):
            return NotRun("upstream-down", f"{target.name} failed several times in a row")
        believed = self._context_engine(head)
        if believed != head.engine:
            return Elsewhere(believed)
        self._lines.serve(target.name)
        verdict = self._ask_gate(target, head)
        if isinstance(verdict, Full) and head.patience > 0:
            ask = functools.partial(self._ask_gate, target, head)
            verdict = await self._lines.wait(target.name, head, verdict, ask)
            if isinstance(verdict, Granted) and not self._still_takes(head):
                self._released(target.name)
                return _leaving(head.engine)
        if isinstance(verdict, Full):
            return Busy(verdict.in_flight, verdict.ceiling)
        if head.home:
            self._memory.forget(head.chat)
        return await self._run(target, head, body)

    def _context_engine(self, head: RequestHead) -> str:
        """Return where to send the chat: here, unless this is its home and it lies elsewhere."""
        if not (head.home and head.returning) or head.insist:
            return head.engine
        young = self._view.is_young(head.engine)
        return context_engine(self._memory, head.chat, head.engine, head.runner_up, young)

    async def remember(self, chat: int, engine: str) -> None:
        """Note where a chat was served away from its home engine."""
        self._memory.remember(chat, engine)

    async def claim(self, key: str, record: KeyRecord) -> Claim | None:
        """Claim a key here; see KeyHolder."""
        return self._keys.claim(key, record, self._clock())

    async def settle(self, key: str, record: KeyRecord) -> None:
        """Record what became of a keyed request; see KeyHolder."""
        self._keys.settle(key, record, self._clock())

    async def release(self, key: str, request_id: str) -> None:
        """Forget a claim; see KeyHolder."""
        self._keys.release(key, request_id)

    def _still_takes(self, head: RequestHead) -> bool:
        """Return whether an engine did not begin to leave while a request waited for it."""
        target = self._view.target(head.engine)
        return target is not None and (target.takes_work or head.resuming)

    def serve_lines(self) -> None:
        """Serve those who wait; called each round, since a ceiling may have risen."""
        self._lines.serve_all()

    def _ask_gate(self, target: Target, head: RequestHead) -> Verdict:
        now = self._clock()
        others = max(self._view.elsewhere_in_flight(target.name), head.seen_elsewhere)
        return self._gate.ask(target.name, now, target.bound, others, target.peers, target.slots)

    def _released(self, engine: str) -> None:
        """Give a grant back, and let whoever is next in line have it."""
        self._gate.release(engine)
        self._lines.gave_back(engine, self._clock())

    def _note_health(self, engine: str, reply: Opened | NotRun | Unknown) -> None:
        if isinstance(reply, Opened):
            self.health.answered(engine)
        elif reply.code != "upstream-refused":
            self.health.failed(engine, self._clock())

    async def _run(self, target: Target, head: RequestHead, body: BodySource) -> OwnerReply:
        try:
            reply = await self._upstreams.send(target, head, body)
        except BaseException:
            self._released(target.name)
            raise
        self._note_health(target.name, reply)
        if not isinstance(reply, Opened):
            self._released(target.name)
            return reply
        return Opened(GrantedAnswer(reply.answer, lambda: self._released(target.name)))


def _leaving(engine: str) -> NotRun:
    return NotRun("upstream-leaving", f"{engine} takes no new work")
