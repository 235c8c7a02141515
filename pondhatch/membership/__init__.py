"""Membership: which routers are there, and which owns what."""

from pondhatch.membership._gossip import Address, Datagram, Gossip, GossipLimits, Member, Peer
from pondhatch.membership._ownership import owner_of, watchers
from pondhatch.membership._records import Heartbeat, Packet, Phase, Profile, ServiceLoad, short_id
from pondhatch.membership._seal import Seal

__all__ = [
    "Address",
    "Datagram",
    "Gossip",
    "GossipLimits",
    "Heartbeat",
    "Member",
    "Packet",
    "Peer",
    "Phase",
    "Profile",
    "Seal",
    "ServiceLoad",
    "owner_of",
    "short_id",
    "watchers",
]
