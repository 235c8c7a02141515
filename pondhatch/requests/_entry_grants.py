"""The entry router's side of grants: asks owners for grants and tracks those held."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from msgspec.structs import replace

from pondhatch.kernel import Standstill
from pondhatch.placement import Granted
from pondhatch.requests._grant_packets import (
    GrantedReply,
    GrantPacket,
    Hold,
    ReplyPacket,
    Spilled,
    Waiting,
    release_of,
    reply_of,
)
from pondhatch.requests._grant_requests import EndReason, GrantRequest, Holder, OwnerReply
from pondhatch.requests._outcomes import NotRun
from pondhatch.requests._owner import LocalOwner
from pondhatch.requests._owner_timeouts import OwnerTimeouts

#: Seconds to wait after each send to an owner that has the request queued: it is asked again
#: from time to time, in case its reply was lost or the owner failed.
QUEUED_PAUSES = (0.5, 0.3, 0.3)
#: The same for a request that waits in several queues: a lost reply costs it less, and each of
#: its several grant requests is sent again at these times.
PARALLEL_QUEUED_PAUSES = (1.0, 0.5, 0.5)
#: Seconds between two renewals of held grants; two fit into a lease, so one may be lost.
RENEW_SECONDS = 12.0
#: Seconds after a standstill in which requests end because of it.
AFTER_STANDSTILL_SECONDS = 1.0

#: Grant request numbers wrap around at this value.
NUMBER_LIMIT = 2**32

Send = Callable[[str, GrantPacket], None]


def _ignore(_: str) -> None:
    return None


class _PendingRequest(msgspec.Struct):
    """A grant request that waits for its owner's reply."""

    owner: str
    reply: asyncio.Future[OwnerReply]
    #: When it was first sent, in the event loop's seconds.
    sent_at: float
    #: How often it was sent.
    sends: int = 0
    #: Whether the owner reported it as queued since it was last sent.
    is_queued: bool = False


class HeldGrant(msgspec.Struct, frozen=True):
    """A grant that a request of this router holds."""

    engine: str
    owner: str


class EntryGrants(msgspec.Struct):
    """Implements Grants over packets, without I/O of its own."""

    #: This router's name, and its short id.
    name: str
    router: int
    local: LocalOwner
    #: Sends a packet to a router by name.
    send: Send
    #: Number of the last grant request; each process starts at a different number, so that none
    #: repeats a recent one of an earlier process of this name.
    number: int
    #: Called with the name of a router that replied after its timeout and is fast enough again.
    on_late_reply: Callable[[str], None] = _ignore
    timeouts: OwnerTimeouts = msgspec.field(default_factory=OwnerTimeouts)
    standstill: Standstill = msgspec.field(default_factory=Standstill)
    held_by_number: dict[int, HeldGrant] = msgspec.field(default_factory=dict)
    _pending_by_number: dict[int, _PendingRequest] = msgspec.field(default_factory=dict)
    _renewed_at: float = float("-inf")

    def next_number(self) -> int:
        """Return a number that no recent grant request of this router has."""
        self.number = (self.number + 1) % NUMBER_LIMIT
        return self.number

    async def ask(self, owner: str, grant_request: GrantRequest, max_wait: float) -> OwnerReply:
        """Ask an owner; see Grants."""
        if owner == self.name:
            reply = await self.local.ask(grant_request)
        else:
            reply = await self._ask_peer(owner, grant_request, max_wait)
        if isinstance(reply, Granted):
            self.held_by_number[grant_request.number] = HeldGrant(grant_request.engine, owner)
        return reply

    def decide_without_owner(self, grant_request: GrantRequest) -> OwnerReply:
        """Decide from local state; see Grants."""
        reply = self.local.decide_without_owner(grant_request)
        if isinstance(reply, Granted):
            self.held_by_number[grant_request.number] = HeldGrant(grant_request.engine, self.name)
        return reply

    def release(self, number: int, end_reason: EndReason) -> None:
        """Release a grant; see Grants."""
        held = self.held_by_number.pop(number, None)
        if held is not None:
            self._release_at(held.owner, number, self._as_evidence(end_reason))

    def report_spill(self, owner: str, chat: int, engine: str) -> None:
        """Tell the owner of a chat's home engine which other engine served the chat."""
        if owner == self.name:
            self.local.note_spill(chat, engine)
        else:
            self.send(owner, Spilled(chat, engine))

    def receive(self, packet: ReplyPacket, send_back: Callable[[GrantPacket], None]) -> None:
        """Handle an owner's reply; ``send_back`` sends a packet to the replying router."""
        pending = self._pending_by_number.get(packet.number)
        reply = reply_of(packet)
        if pending is None:
            self._handle_late_reply(packet, send_back)
            return
        self._note_reply_time(pending)
        if reply is None:
            pending.is_queued = True
        elif not pending.reply.done():
            pending.reply.set_result(reply)

    def move_to_new_owners(self, owner_name: Callable[[str], str | None]) -> None:
        """Move the grants of engines whose owner changed to the new owners."""
        for number, held in tuple(self.held_by_number.items()):
            owner = owner_name(held.engine)
            if owner is None or owner == held.owner:
                continue
            self._release_at(held.owner, number, EndReason.NEUTRAL)
            self.held_by_number[number] = replace(held, owner=owner)
            self._hold_at(owner, held.engine, (number,))

    def report_held_grants(self, owner: str) -> None:
        """Report the held grants to an owner that restarted and has lost its counts."""
        numbers_by_engine: dict[str, list[int]] = {}
        for number, held in self.held_by_number.items():
            if held.owner == owner:
                numbers_by_engine.setdefault(held.engine, []).append(number)
        for engine, numbers in numbers_by_engine.items():
            self._hold_at(owner, engine, tuple(numbers))

    def renew_soon(self) -> None:
        """Renew the leases of all held grants in the next round."""
        self._renewed_at = float("-inf")

    def tick(self, now: float) -> None:
        """Renew the leases of held grants when due."""
        self.standstill.note_round(now)
        self.timeouts.drop_expired(now)
        if now - self._renewed_at < RENEW_SECONDS:
            return
        self._renewed_at = now
        numbers_by_held: dict[HeldGrant, list[int]] = {}
        for number, held in self.held_by_number.items():
            numbers_by_held.setdefault(held, []).append(number)
        for held, numbers in numbers_by_held.items():
            self._hold_at(held.owner, held.engine, tuple(numbers))

    def _handle_late_reply(
        self, packet: ReplyPacket, send_back: Callable[[GrantPacket], None]
    ) -> None:
        """Release a grant or a queue position whose request ended or was granted elsewhere.

        A grant request may arrive after its own release, which the owner then ignored.
        """
        now = asyncio.get_running_loop().time()
        owner = self.timeouts.note_late_reply(packet.number, now, self.standstill)
        if owner is not None and not self.timeouts.is_too_slow(owner, now):
            self.on_late_reply(owner)
        # If another owner has granted the request since, it holds nothing at this one.
        is_held_here = packet.number in self.held_by_number and owner is None
        if isinstance(packet, GrantedReply | Waiting) and not is_held_here:
            send_back(release_of(self.router, packet.number, EndReason.NEUTRAL))

    def _note_reply_time(self, pending: _PendingRequest) -> None:
        """Record an owner's reply time if it is clear which send the reply belongs to."""
        now = asyncio.get_running_loop().time()
        is_first = pending.sends == 1 and not pending.is_queued and not pending.reply.done()
        if is_first and not self.standstill.has_been_since(pending.sent_at, now):
            self.timeouts.note_reply(pending.owner, now - pending.sent_at, now)

    async def _ask_peer(
        self, owner: str, grant_request: GrantRequest, max_wait: float
    ) -> OwnerReply:
        loop = asyncio.get_running_loop()
        pauses = self.timeouts.send_pauses(owner, max_wait, loop.time())
        if not pauses:
            return NotRun("router-unreachable", f"router {owner} takes too long for a word")
        pending = _PendingRequest(owner, loop.create_future(), loop.time())
        self._pending_by_number[grant_request.number] = pending
        reply: OwnerReply | None = None
        was_withdrawn = False
        try:
            reply = await self._await_reply(grant_request, pending, pauses)
        except asyncio.CancelledError:
            # A late reply to a request that got its grant elsewhere is no sign of a slow owner.
            was_withdrawn = grant_request.in_time > 0
            raise
        finally:
            del self._pending_by_number[grant_request.number]
            if reply is None:
                # A grant may be under way, or the request may wait in the owner's queue.
                if not was_withdrawn:
                    self.timeouts.note_timeout(grant_request.number, owner, pending.sent_at)
                self._release_at(owner, grant_request.number, EndReason.NEUTRAL)
        if reply is None:
            return NotRun("router-unreachable", f"router {owner} gave no word")
        return reply

    async def _await_reply(
        self, grant_request: GrantRequest, pending: _PendingRequest, first_pauses: tuple[float, ...]
    ) -> OwnerReply | None:
        """Return the owner's reply, or None if it does not reply in time.

        A reply that waited while this process stood still is dropped, and the owner asked again: it
        may have found this router dead since, and have given the slot to another request.
        """
        clock = asyncio.get_running_loop().time
        pauses = iter(first_pauses)
        while (pause := next(pauses, None)) is not None:
            pending.is_queued = False
            pending.sends += 1
            sent_at = clock()
            self.send(pending.owner, grant_request)
            await asyncio.wait([pending.reply], timeout=pause)
            if self.standstill.has_been_since(sent_at, clock()):
                pending.reply = asyncio.get_running_loop().create_future()
                pauses = iter(first_pauses)
            elif pending.reply.done():
                return pending.reply.result()
            elif pending.is_queued:
                pauses = iter(
                    QUEUED_PAUSES if grant_request.queue_count == 1 else PARALLEL_QUEUED_PAUSES
                )
        return None

    def _as_evidence(self, end_reason: EndReason) -> EndReason:
        """Return an end reason to report: right after a standstill, a loss is this router's own.

        Time ran out, or the other side closed, while nothing was read here.
        """
        if end_reason is not EndReason.CONNECTION_FAILED:
            return end_reason
        now = asyncio.get_running_loop().time()
        is_own = self.standstill.has_been_since(now - AFTER_STANDSTILL_SECONDS, now)
        return EndReason.NEUTRAL if is_own else end_reason

    def _release_at(self, owner: str, number: int, end_reason: EndReason) -> None:
        if owner == self.name:
            self.local.release(Holder(self.router, number), end_reason)
        else:
            self.send(owner, release_of(self.router, number, end_reason))

    def _hold_at(self, owner: str, engine: str, numbers: tuple[int, ...]) -> None:
        if owner == self.name:
            self.local.hold(self.router, engine, numbers)
        else:
            self.send(owner, Hold(self.router, engine, numbers))
