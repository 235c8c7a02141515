"""Reachability: which engines this router can open connections to.

It belongs to the pair of this router and an engine, and says nothing about the engine's health: the
path may be lost while the engine works and other routers reach it. A single failed connection makes
an engine unreachable from here, since another router can relay its requests at once. From then on a
new connection is tried from time to time, beside the requests that are relayed; the first that
opens makes the engine reachable again.
"""

from __future__ import annotations

import msgspec

#: Seconds between two tries to open a connection to an unreachable engine, while requests for it
#: come. A restored path is in use again within twice that time.
RECHECK_SECONDS = 0.4
#: The longest time between two tries, for a path that is lost again and again.
LONGEST_RECHECK_SECONDS = 3.2
#: A path that is lost within this many seconds of its last recovery is retried half as often.
FLAPPING_SECONDS = 10.0
#: Seconds after a failure for which an idle connection that is still open was tested by the
#: system's keep-alive probes, which close a silent one.
PROBED_SECONDS = 4.0
#: Seconds without a try after which an unreachable engine is forgotten: nothing is sent to it.
UNUSED_SECONDS = 60.0


class _LostPath(msgspec.Struct, frozen=True):
    """The path to an engine that is unreachable from here; times in the clock's seconds."""

    #: When the first of the failures in a row came.
    failed_at: float
    recheck_at: float
    #: Seconds between two tries.
    pause: float


class _RestoredPath(msgspec.Struct, frozen=True):
    """The path to an engine that was unreachable until recently."""

    restored_at: float
    #: Seconds between two tries while it was lost.
    pause: float


class Reachability(msgspec.Struct):
    """The reachability of engines from this router; engines that are not listed are reachable."""

    _lost_by_engine: dict[str, _LostPath] = msgspec.field(default_factory=dict)
    _restored_by_engine: dict[str, _RestoredPath] = msgspec.field(default_factory=dict)
    #: When any engine last accepted a connection or sent an answer.
    _last_contact_at: float = float("-inf")

    def is_reachable(self, engine: str) -> bool:
        """Return whether the last connection to an engine opened, or none was tried."""
        return engine not in self._lost_by_engine

    def unreachable(self) -> tuple[str, ...]:
        """Return the engines that are unreachable from here."""
        return tuple(self._lost_by_engine)

    def connections_valid_since(self, engine: str, now: float) -> float:
        """Return from when on a connection must have received bytes to count as open.

        After a failure the others may be dead too, until they were probed.
        """
        lost = self._lost_by_engine.get(engine)
        if lost is None or now - lost.failed_at >= PROBED_SECONDS:
            return float("-inf")
        return lost.failed_at

    def is_doubtful(self) -> bool:
        """Return whether the paths of this router may be at fault rather than the engines.

        That is so if no engine at all was in contact since the newest loss of a path.
        """
        newest = max((lost.failed_at for lost in self._lost_by_engine.values()), default=None)
        return newest is not None and self._last_contact_at <= newest

    def start_recheck(self, engine: str, now: float) -> bool:
        """Return whether to try to open a connection to an unreachable engine now."""
        lost = self._lost_by_engine.get(engine)
        if lost is None or now < lost.recheck_at:
            return False
        self._lost_by_engine[engine] = msgspec.structs.replace(lost, recheck_at=now + lost.pause)
        return True

    def record_failure(self, engine: str, now: float) -> bool:
        """Record that no connection to an engine opened; return whether it was reachable."""
        if engine in self._lost_by_engine:
            return False
        restored = self._restored_by_engine.pop(engine, None)
        is_flapping = restored is not None and now - restored.restored_at < FLAPPING_SECONDS
        pause = RECHECK_SECONDS
        if restored is not None and is_flapping:
            pause = min(LONGEST_RECHECK_SECONDS, restored.pause * 2)
        self._lost_by_engine[engine] = _LostPath(now, now + pause, pause)
        return True

    def record_connection(self, engine: str, now: float) -> bool:
        """Record that a connection to an engine opened; return whether it was unreachable."""
        self._last_contact_at = now
        lost = self._lost_by_engine.pop(engine, None)
        if lost is None:
            return False
        self._restored_by_engine[engine] = _RestoredPath(now, lost.pause)
        return True

    def record_answer(self, now: float) -> None:
        """Record that an engine answered, over whichever connection."""
        self._last_contact_at = now

    def drop_unused(self, now: float) -> None:
        """Forget engines that no request was meant for lately."""
        self._lost_by_engine = {
            engine: lost
            for engine, lost in self._lost_by_engine.items()
            if now - lost.recheck_at < UNUSED_SECONDS
        }
        self._restored_by_engine = {
            engine: restored
            for engine, restored in self._restored_by_engine.items()
            if now - restored.restored_at < FLAPPING_SECONDS
        }
