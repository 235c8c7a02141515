"""Requests, and parts of prompts, that were completed lately, as evidence that they are sound."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

#: Seconds before a crash within which a completed run of a part shows that the part did not cause
#: the crash. Long enough for the parts that many requests share, short enough that a new software
#: version which a part crashes is not taken for the old one.
COMPLETED_BEFORE_SECONDS = 10.0
#: Maximum number of stored parts; 0.5 MB.
MAX_COMPLETED_PARTS = 4096


class CompletedParts(msgspec.Struct):
    """The parts of prompts that this router has seen complete; no I/O, time is passed in."""

    #: Time of the latest completed run in the clock's seconds, by digest of the part, the latest
    #: last.
    _completed_at: OrderedDict[int, float] = msgspec.field(default_factory=OrderedDict)

    def note(self, digests: Iterable[int], now: float) -> None:
        """Note that a request with these parts was completed."""
        for digest in digests:
            self._completed_at[digest] = now
            self._completed_at.move_to_end(digest)
        while len(self._completed_at) > MAX_COMPLETED_PARTS:
            self._completed_at.popitem(last=False)

    def clears(self, digest: int, crashed_at: float) -> bool:
        """Return whether a run of a part, shortly before a crash or since, was completed."""
        completed_at = self._completed_at.get(digest)
        return completed_at is not None and completed_at > crashed_at - COMPLETED_BEFORE_SECONDS


class CompletedRequests(CompletedParts):
    """The same for whole requests, many of which are never sent twice."""


class WorkingServices(msgspec.Struct):
    """The services of which this router has seen a request complete; time is passed in."""

    #: Time of the latest completed run in the clock's seconds, by service.
    _completed_at: dict[str, float] = msgspec.field(default_factory=dict)

    def note(self, service: str, now: float) -> None:
        """Note that a request of a service was completed."""
        self._completed_at[service] = now

    def worked_before(self, service: str, crashed_at: float) -> bool:
        """Return whether a request of a service was completed shortly before a crash."""
        completed_at = self._completed_at.get(service)
        return completed_at is not None and completed_at > crashed_at - COMPLETED_BEFORE_SECONDS
