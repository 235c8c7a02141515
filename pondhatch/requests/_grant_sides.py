"""Both sides of one router's grants: where packets go, and what is due each round."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pondhatch.requests._entry_grants import EntryGrants
from pondhatch.requests._grant_packets import GrantPacket, Hold, Release, Spilled
from pondhatch.requests._grant_requests import GrantRequest
from pondhatch.requests._owner_grants import OwnerGrants, SendBack


class GrantSides(msgspec.Struct, frozen=True):
    """The entry's side and the owner's side of one router."""

    entry: EntryGrants
    owner: OwnerGrants

    def receive(self, packet: GrantPacket, send_back: SendBack) -> None:
        """Take in a packet; ``answer`` sends one back to where it came from."""
        if isinstance(packet, GrantRequest):
            self.owner.receive_request(packet, send_back)
        elif isinstance(packet, Release | Hold | Spilled):
            self.owner.receive_update(packet)
        else:
            self.entry.receive(packet, send_back)

    def tick(self, now: float, owner_name: Callable[[str], str | None]) -> None:
        """Do what is due each round; ``owner_name`` says who owns an engine now."""
        self.entry.move_to_new_owners(owner_name)
        self.entry.tick(now)
        self.owner.local.tick()
