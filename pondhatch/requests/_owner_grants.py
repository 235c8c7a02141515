"""The owner's side of grants: handles the packets of other routers' grant requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from pondhatch.kernel import Tasks
from pondhatch.requests._grant_packets import (
    GrantPacket,
    GrantUpdate,
    Hold,
    Release,
    Waiting,
    end_reason_of,
    packet_of,
)
from pondhatch.requests._grant_requests import EndReason, GrantRequest, Holder
from pondhatch.requests._owner import LocalOwner, MustWait

SendBack = Callable[[GrantPacket], None]


class OwnerGrants(msgspec.Struct):
    """Replies to grant requests, to queued ones once they are granted or time out."""

    local: LocalOwner
    tasks: Tasks
    _waiting_by_holder: dict[Holder, asyncio.Task[None]] = msgspec.field(default_factory=dict)

    def receive_request(self, grant_request: GrantRequest, send_back: SendBack) -> None:
        """Handle a grant request, new or repeated; ``send_back`` sends the reply."""
        if grant_request.holder in self._waiting_by_holder:
            send_back(Waiting(grant_request.number))
            return
        reply = self.local.decide(grant_request)
        if not isinstance(reply, MustWait):
            send_back(packet_of(grant_request.number, reply))
            return
        send_back(Waiting(grant_request.number))
        task = self.tasks.start(self._wait(grant_request, reply, send_back))
        self._waiting_by_holder[grant_request.holder] = task
        # Not removed within the task, which may be cancelled before its first step.
        task.add_done_callback(lambda _: self._waiting_by_holder.pop(grant_request.holder))

    def receive_update(self, update: GrantUpdate) -> None:
        """Handle an entry router's update on its grants or chats."""
        if isinstance(update, Release):
            self._release(Holder(update.router, update.number), end_reason_of(update))
        elif isinstance(update, Hold):
            self.local.hold(update.router, update.engine, update.numbers)
        else:
            self.local.note_spill(update.chat, update.engine)

    def _release(self, holder: Holder, end_reason: EndReason) -> None:
        waiting = self._waiting_by_holder.get(holder)
        if waiting is not None:
            waiting.cancel()
        self.local.release(holder, end_reason)

    async def _wait(
        self, grant_request: GrantRequest, must_wait: MustWait, send_back: SendBack
    ) -> None:
        reply = await self.local.wait(grant_request, must_wait)
        send_back(packet_of(grant_request.number, reply))
