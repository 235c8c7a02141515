"""The admission ceiling: the largest load that one engine of a service may have.

An engine is granted new requests only while its requests in flight stay at or
below ``ceil(bound * (total + 1) / engines)``. When the mean falls below what an engine
already runs, no request is moved, and nothing new is granted above the ceiling.
"""

from __future__ import annotations

import math


def admission_ceiling(bound: float, total: int, engines: int) -> int:
    """Return the maximum number of requests in flight at one engine.

    ``bound`` is the configured multiple of the mean (above 1), ``total`` the number of
    requests in flight in the service before the new one, ``engines`` the number of its engines.
    """
    if engines < 1:
        return 0
    return math.ceil(bound * (total + 1) / engines)
