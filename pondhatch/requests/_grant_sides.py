"""Combines the entry side and the owner side of one router's grants."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.requests._entry_grants import EntryGrants
from pondhatch.requests._grant_packets import GrantPacket, Hold, Release, Spilled
from pondhatch.requests._grant_requests import GrantRequest
from pondhatch.requests._owner_grants import OwnerGrants, SendBack


class GrantSides(msgspec.Struct, frozen=True):
    """The entry side and the owner side of one router."""

    entry: EntryGrants
    owner: OwnerGrants

    def receive(self, packet: GrantPacket, send_back: SendBack) -> None:
        """Handle a packet; ``send_back`` sends one to its sender."""
        if isinstance(packet, GrantRequest):
            self.owner.receive_request(packet, send_back)
        elif isinstance(packet, Release | Hold | Spilled):
            self.owner.receive_update(packet)
        else:
            self.entry.receive(packet, send_back)

    def tick(self, now: float, owner_name: Callable[[str], str | None]) -> None:
        """Do the periodic work; ``owner_name`` returns an engine's present owner."""
        self.entry.move_to_new_owners(owner_name)
        self.entry.tick(now)
        self.owner.local.tick()
