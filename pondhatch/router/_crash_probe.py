"""Finds out whether an engine crashed, by connections to it and to others.

An engine that refuses connections has crashed, unless the path from this router to the engines is
at fault: then all engines seem to refuse. So a refusal counts only if another engine accepts.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from pondhatch.placement import ranked
from pondhatch.requests import Target
from pondhatch.router._router_paths import RouterPaths
from pondhatch.router._state import RouterState
from pondhatch.store import LIVE

#: Other engines that are tried: one of them may have ended at the same time.
MAX_OTHERS = 2

#: Returns whether an engine refuses, or accepts, connections.
Probe = Callable[[Target], Awaitable[bool]]


class CrashProbe:
    """Tells a crashed engine from lost paths of this router."""

    def __init__(
        self, state: RouterState, paths: RouterPaths, refuses: Probe, accepts: Probe
    ) -> None:
        self._state = state
        self._paths = paths
        self._refuses = refuses
        self._accepts = accepts

    async def has_crashed(self, target: Target) -> bool:
        """Return whether nothing listens at an engine any more; see CrashEvidenceExchange."""
        if not await self._refuses(target):
            return False
        others = self._others(target)
        if not others:
            return True
        for other in others:
            if await self._accepts(other):
                return True
        return False

    def _others(self, target: Target) -> list[Target]:
        """Return other engines to compare with; those that were reachable until now if any."""
        entries = self._state.upstreams.entry_by_name.values()
        names = [
            each.upstream.name
            for each in entries
            if each.upstream.state == LIVE and each.upstream.name != target.name
        ]
        reachable = [name for name in names if self._paths.is_reachable(name)]
        chosen = ranked(target.name, reachable or names, MAX_OTHERS)
        return [found for name in chosen if (found := self._state.target(name)) is not None]
