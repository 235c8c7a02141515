"""The entry router's side of grants: questions to owners, and what is held of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from pondhatch.placement import Granted
from pondhatch.requests._grant_packets import (
    GrantedWord,
    GrantPacket,
    Hold,
    Spilled,
    Waiting,
    Word,
    release_of,
    reply_of,
)
from pondhatch.requests._outcomes import NotRun
from pondhatch.requests._owner import LocalOwner
from pondhatch.requests._owner_waits import OwnerWaits
from pondhatch.requests._questions import Ended, Holder, OwnerReply, Question

#: Seconds to wait for an owner that said that the question waits, try by try: it is asked
#: now and then, in case its word was lost or it was.
WAITING_PAUSES = (0.5, 0.3, 0.3)
#: The same for a question about one of several queues in which its request waits: a lost reply
#: costs it less, and each of the questions is sent as often.
SEVERAL_WAITING_PAUSES = (1.0, 0.5, 0.5)
#: Seconds between two tellings of what is held; two fit into a lease, so one may be lost.
RENEW_SECONDS = 12.0

#: Numbers start over after so many questions.
NUMBERS = 2**32

Send = Callable[[str, GrantPacket], None]


def _ignore(_: str) -> None:
    return None


class _Asked(msgspec.Struct):
    """A question that waits for its owner's word."""

    owner: str
    reply: asyncio.Future[OwnerReply]
    #: When it was first sent, in the loop's seconds.
    sent_at: float
    #: How often it was sent.
    sends: int = 0
    #: Whether the owner said that it waits, since the question was last sent.
    waiting: bool = False


class Held(msgspec.Struct, frozen=True):
    """A grant that a request of this router holds."""

    engine: str
    owner: str


class EntryGrants(msgspec.Struct):
    """See Grants; packets and time in, packets out."""

    #: This router's name, and its short id.
    name: str
    router: int
    local: LocalOwner
    #: Sends a packet to a router by name.
    send: Send
    #: Number of the last question; to begin at a place of each process's own, so that
    #: none repeats one that an earlier process of this name used a short while ago.
    number: int
    #: Takes in the name of a router that was passed over, and is heard from again.
    on_heard: Callable[[str], None] = _ignore
    waits: OwnerWaits = msgspec.field(default_factory=OwnerWaits)
    held_by_number: dict[int, Held] = msgspec.field(default_factory=dict)
    _asked_by_number: dict[int, _Asked] = msgspec.field(default_factory=dict)
    _renewed_at: float = float("-inf")

    def next_number(self) -> int:
        """Return a number that no question of this router had."""
        self.number = (self.number + 1) % NUMBERS
        return self.number

    async def ask(self, owner: str, question: Question, bearable: float) -> OwnerReply:
        """Ask an owner; see Grants."""
        if owner == self.name:
            reply = await self.local.ask(question)
        else:
            reply = await self._ask_peer(owner, question, bearable)
        if isinstance(reply, Granted):
            self.held_by_number[question.number] = Held(question.engine, owner)
        return reply

    def ask_nobody(self, question: Question) -> OwnerReply:
        """Decide by what is known here; see Grants."""
        reply = self.local.decide_alone(question)
        if isinstance(reply, Granted):
            self.held_by_number[question.number] = Held(question.engine, self.name)
        return reply

    def release(self, number: int, ended: Ended) -> None:
        """Give a grant back; see Grants."""
        held = self.held_by_number.pop(number, None)
        if held is not None:
            self._release_at(held.owner, number, ended)

    def remember(self, owner: str, chat: int, engine: str) -> None:
        """Tell the owner of a chat's home engine where the chat was served."""
        if owner == self.name:
            self.local.remember(chat, engine)
        else:
            self.send(owner, Spilled(chat, engine))

    def receive(self, word: Word, source: Callable[[GrantPacket], None]) -> None:
        """Take in an owner's word; ``source`` sends a packet back to where it came from."""
        asked = self._asked_by_number.get(word.number)
        reply = reply_of(word)
        if asked is None:
            self._came_late(word, source)
            return
        self._note_time(asked)
        if reply is None:
            asked.waiting = True
        elif not asked.reply.done():
            asked.reply.set_result(reply)

    def follow_owners(self, owner_name: Callable[[str], str | None]) -> None:
        """Hold at its new owner what is held at an engine whose owner changed."""
        for number, held in tuple(self.held_by_number.items()):
            owner = owner_name(held.engine)
            if owner is None or owner == held.owner:
                continue
            self._release_at(held.owner, number, Ended.NOTHING)
            self.held_by_number[number] = replace(held, owner=owner)
            self._hold_at(owner, held.engine, (number,))

    def hold_again(self, owner: str) -> None:
        """Tell an owner that restarted, and counts from nothing, what is held there."""
        numbers_by_engine: dict[str, list[int]] = {}
        for number, held in self.held_by_number.items():
            if held.owner == owner:
                numbers_by_engine.setdefault(held.engine, []).append(number)
        for engine, numbers in numbers_by_engine.items():
            self._hold_at(owner, engine, tuple(numbers))

    def tick(self, now: float) -> None:
        """Renew the leases of what is held, when it is time."""
        self.waits.forget_old(now)
        if now - self._renewed_at < RENEW_SECONDS:
            return
        self._renewed_at = now
        numbers_by_held: dict[Held, list[int]] = {}
        for number, held in self.held_by_number.items():
            numbers_by_held.setdefault(held, []).append(number)
        for held, numbers in numbers_by_held.items():
            self._hold_at(held.owner, held.engine, tuple(numbers))

    def _came_late(self, word: Word, source: Callable[[GrantPacket], None]) -> None:
        """Give back a grant, or a place in line, whose request ended or went elsewhere.

        A question may come after its own release, which the owner then knew nothing of.
        """
        now = asyncio.get_running_loop().time()
        owner = self.waits.came_late(word.number, now)
        if owner is not None and not self.waits.is_too_slow(owner, now):
            self.on_heard(owner)
        # Granted by another owner since, it holds nothing at this one.
        is_held_here = word.number in self.held_by_number and owner is None
        if isinstance(word, GrantedWord | Waiting) and not is_held_here:
            source(release_of(self.router, word.number, Ended.NOTHING))

    def _note_time(self, asked: _Asked) -> None:
        """Note how long an owner took, where it is clear which send it answers."""
        if asked.sends == 1 and not asked.waiting and not asked.reply.done():
            now = asyncio.get_running_loop().time()
            self.waits.answered(asked.owner, now - asked.sent_at, now)

    async def _ask_peer(self, owner: str, question: Question, bearable: float) -> OwnerReply:
        loop = asyncio.get_running_loop()
        pauses = self.waits.pauses(owner, bearable, loop.time())
        if not pauses:
            return NotRun("router-unreachable", f"router {owner} takes too long for a word")
        asked = _Asked(owner, loop.create_future(), loop.time())
        self._asked_by_number[question.number] = asked
        reply: OwnerReply | None = None
        was_withdrawn = False
        try:
            reply = await self._await_reply(question, asked, pauses)
        except asyncio.CancelledError:
            # A late reply to a request that was granted elsewhere says nothing of its owner.
            was_withdrawn = question.in_time > 0
            raise
        finally:
            del self._asked_by_number[question.number]
            if reply is None:
                # A grant may be under way, or the question may wait in the engine's line.
                if not was_withdrawn:
                    self.waits.gave_up(question.number, owner, asked.sent_at)
                self._release_at(owner, question.number, Ended.NOTHING)
        if reply is None:
            return NotRun("router-unreachable", f"router {owner} gave no word")
        return reply

    async def _await_reply(
        self, question: Question, asked: _Asked, first_pauses: tuple[float, ...]
    ) -> OwnerReply | None:
        """Return the owner's reply, or None where it gives no word."""
        pauses = iter(first_pauses)
        while (pause := next(pauses, None)) is not None:
            asked.waiting = False
            asked.sends += 1
            self.send(asked.owner, question)
            await asyncio.wait([asked.reply], timeout=pause)
            if asked.reply.done():
                return asked.reply.result()
            if asked.waiting:
                pauses = iter(WAITING_PAUSES if question.queues == 1 else SEVERAL_WAITING_PAUSES)
        return None

    def _release_at(self, owner: str, number: int, ended: Ended) -> None:
        if owner == self.name:
            self.local.release(Holder(self.router, number), ended)
        else:
            self.send(owner, release_of(self.router, number, ended))

    def _hold_at(self, owner: str, engine: str, numbers: tuple[int, ...]) -> None:
        if owner == self.name:
            self.local.hold(self.router, engine, numbers)
        else:
            self.send(owner, Hold(self.router, engine, numbers))
