"""The admission ceiling: the promise on load, as a number.

An engine is granted new work only while its requests in flight stay at or
below ``ceil(bound * (total + 1) / engines)``. Where the mean falls under
standing work nothing is moved, and nothing new is granted above the ceiling.
"""

from __future__ import annotations

import math


def admission_ceiling(bound: float, total: int, engines: int) -> int:
    """Return the most requests in flight that one engine may hold.

    ``bound`` is the set multiple of the mean (over 1), ``total`` the requests
    in flight in the service before the new one, ``engines`` how many serve it.
    """
    if engines < 1:
        return 0
    return math.ceil(bound * (total + 1) / engines)
