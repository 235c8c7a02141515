"""How much a router can do beside others, as a multiple of a usual VM.

Owning an engine, watching the platform and summing up loads all cost processor and link. The
capacity is the weight of a router where one is chosen for these.
"""

from __future__ import annotations

#: Capacity of a router whose VM nothing is known of.
USUAL_CAPACITY = 1.0
#: Bounds of what counts: the smallest router still owns something, and none owns nearly all
#: because of a wrong entry.
MIN_CAPACITY = 0.1
MAX_CAPACITY = 10.0
#: Link, in Mbit/s, from which on the processor alone decides.
AMPLE_LINK_MBPS = 10.0


def capacity_of(
    cpu_quota: float | None = None, cores: float | None = None, link_mbps: float | None = None
) -> float:
    """Return a VM's capacity, in tenths; what is not known of it counts as usual.

    ``cpu_quota`` is the part of a core that the VM has, ``cores`` how many times as fast as usual
    that core is.
    """
    processor = (1.0 if cpu_quota is None else cpu_quota) * (1.0 if cores is None else cores)
    link = 1.0 if link_mbps is None else min(1.0, link_mbps / AMPLE_LINK_MBPS)
    return bounded_capacity(round(processor * link, 1))


def bounded_capacity(capacity: float) -> float:
    """Return a capacity within the bounds; what is no number counts as the least."""
    # NaN compares as false, so that max() keeps its first argument.
    return min(MAX_CAPACITY, max(MIN_CAPACITY, capacity))
