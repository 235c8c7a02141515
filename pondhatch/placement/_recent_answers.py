"""Through which routers an engine answered lately, as evidence against a router's own paths.

A request that is lost tells nothing about its engine while the engine answers through another
router: the path of the router that lost the request is at fault.
"""

from __future__ import annotations

import msgspec

#: Seconds after an answer through one router for which losses of others do not count. An engine
#: that goes down is found down that much later; until then its requests go elsewhere one by one.
RECENT_SECONDS = 0.5


class _LastAnswers(msgspec.Struct, frozen=True):
    """When an engine last answered, in the clock's seconds."""

    #: Short id of the router through which the newest answer came, and when.
    router: int
    at: float
    #: When the newest answer through any other router came.
    at_others: float = float("-inf")


class RecentAnswers(msgspec.Struct):
    """The newest answers of the engines that this router owns."""

    _by_engine: dict[str, _LastAnswers] = msgspec.field(default_factory=dict)

    def record(self, engine: str, router: int, now: float) -> None:
        """Record that an engine answered through a router."""
        last = self._by_engine.get(engine)
        at_others = float("-inf")
        if last is not None:
            at_others = last.at_others if last.router == router else last.at
        self._by_engine[engine] = _LastAnswers(router, now, at_others)

    def answers_others(self, engine: str, router: int, now: float) -> bool:
        """Return whether an engine answered lately through another router than this."""
        last = self._by_engine.get(engine)
        if last is None:
            return False
        at = last.at_others if last.router == router else last.at
        return now - at < RECENT_SECONDS

    def drop_old(self, now: float) -> None:
        """Forget answers that are no longer recent."""
        self._by_engine = {
            engine: last
            for engine, last in self._by_engine.items()
            if now - last.at < RECENT_SECONDS
        }
