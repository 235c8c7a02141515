"""The times and sizes that membership keeps to."""

from __future__ import annotations

import msgspec


class MembershipLimits(msgspec.Struct, frozen=True):
    """Time limits and the budget of a packet."""

    #: Seconds between pings.
    ping_interval: float = 1.0
    #: Seconds without an answer after which others are asked to ping.
    direct_timeout: float = 0.35
    #: Routers that are asked to ping for this one.
    indirect_pings: int = 3
    #: Seconds from suspicion until a router counts as dead.
    suspicion_timeout: float = 2.0
    #: Seconds for which a router is passed over after a failed call.
    unreachable_seconds: float = 5.0
    #: Seconds for which a dead router is remembered, longer than regions lose each other.
    dead_retention: float = 7200.0
    #: Seconds between two tries to reach a dead router or a seed, so that a cut heals.
    reconnect_interval: float = 3.0
    #: Rumors in one packet at most.
    max_rumors: int = 6
    #: Times that a rumor is passed on, over the logarithm of the fleet's size.
    rumor_repeats: float = 3.0
    #: Rumors in one part of a whole view.
    sync_part_rumors: int = 20
    #: Seconds between two whole views sent to the others.
    sync_interval: float = 5.0
    #: Peers that are told at once of something new.
    announcement_fanout: int = 4
