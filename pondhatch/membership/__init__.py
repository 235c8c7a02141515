"""Membership: the live routers, their versions and loads, and the owners of engines."""

from pondhatch.membership._capacity import USUAL_CAPACITY, capacity_of
from pondhatch.membership._datagrams import Datagram
from pondhatch.membership._gossip import Gossip
from pondhatch.membership._hall_tree import TreeLevel, aggregation_order
from pondhatch.membership._load_aggregation import FleetLoadView
from pondhatch.membership._member_table import Address, MemberTable
from pondhatch.membership._members import Member
from pondhatch.membership._membership_limits import MembershipLimits
from pondhatch.membership._ownership import live_by_hall, owner_of, watchers
from pondhatch.membership._records import (
    Alive,
    Confirmation,
    LimitDemand,
    LimitDemands,
    LimitMessage,
    LimitShare,
    LimitShares,
    Phase,
    ServiceLoad,
    Status,
    Versions,
    short_id,
)
from pondhatch.membership._seal import Seal
from pondhatch.membership._swim import Membership

__all__ = [
    "Address",
    "Alive",
    "Confirmation",
    "Datagram",
    "FleetLoadView",
    "Gossip",
    "LimitDemand",
    "LimitDemands",
    "LimitMessage",
    "LimitShare",
    "LimitShares",
    "Member",
    "Membership",
    "MembershipLimits",
    "Phase",
    "Seal",
    "ServiceLoad",
    "Status",
    "TreeLevel",
    "MemberTable",
    "USUAL_CAPACITY",
    "Versions",
    "capacity_of",
    "live_by_hall",
    "owner_of",
    "short_id",
    "aggregation_order",
    "watchers",
]
