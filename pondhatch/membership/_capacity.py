"""The capacity of a router relative to others, as a multiple of a usual VM's.

Owning engines, watching the platform and aggregating loads all use processor and network. The
capacity is a router's weight when one is chosen for these tasks.
"""

from __future__ import annotations

#: Capacity of a router with an unknown VM.
USUAL_CAPACITY = 1.0
#: Bounds of a capacity: the smallest router still owns some engines, and none owns nearly all of
#: them because it states a wrong capacity.
MIN_CAPACITY = 0.1
MAX_CAPACITY = 10.0
#: Link speed, in Mbit/s, above which only the processor counts.
AMPLE_LINK_MBPS = 10.0


def capacity_of(
    cpu_quota: float | None = None, cores: float | None = None, link_mbps: float | None = None
) -> float:
    """Return a VM's capacity, rounded to tenths; unknown values count as usual.

    ``cpu_quota`` is the VM's share of a core, ``cores`` the speed of that core as a multiple of a
    usual one's.
    """
    processor = (1.0 if cpu_quota is None else cpu_quota) * (1.0 if cores is None else cores)
    link = 1.0 if link_mbps is None else min(1.0, link_mbps / AMPLE_LINK_MBPS)
    return bounded_capacity(round(processor * link, 1))


def bounded_capacity(capacity: float) -> float:
    """Return a capacity limited to the bounds; NaN counts as the minimum."""
    # NaN compares as false, so max() keeps its first argument.
    return min(MAX_CAPACITY, max(MIN_CAPACITY, capacity))
