"""Timeouts and sizes of the membership protocol."""

from __future__ import annotations

import msgspec


class MembershipLimits(msgspec.Struct, frozen=True):
    """Timeouts, and sizes of packets."""

    #: Seconds between pings.
    ping_interval: float = 1.0
    #: Seconds without an answer after which other routers are asked to ping.
    direct_timeout: float = 0.35
    #: Routers that are asked to ping for this one.
    indirect_pings: int = 3
    #: Seconds from suspicion until a router counts as dead.
    suspicion_timeout: float = 2.0
    #: Seconds for which a router gets no work after a failed call.
    unreachable_seconds: float = 5.0
    #: Seconds for which a dead router stays in the table: longer than partitions of regions last.
    dead_retention: float = 7200.0
    #: Seconds between two attempts to reach a dead router or a seed, so that a partition heals.
    reconnect_interval: float = 3.0
    #: Maximum number of rumors in a packet.
    max_rumors: int = 6
    #: Times that a rumor is sent, as a multiple of the binary logarithm of the fleet's size.
    rumor_repeats: float = 3.0
    #: Rumors in one part of a full sync.
    sync_part_rumors: int = 20
    #: Minimum seconds between two full syncs that this router starts, varied at random.
    sync_interval: float = 5.0
    #: Peers to which a change is announced at once.
    announcement_fanout: int = 4
