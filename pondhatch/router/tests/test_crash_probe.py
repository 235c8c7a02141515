"""Guards against quarantining requests because a router's own paths to the engines were cut.

A cut that resets connections and refuses new ones looks like a crash of every engine at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from pondhatch.observing import NoRecords
from pondhatch.placement import upstream_id_of
from pondhatch.requests import Target
from pondhatch.router import CrashProbe, RouterPaths
from pondhatch.router.tests.test_notice_exchange import ENGINES
from pondhatch.router.tests.test_notice_exchange import FleetCase as _FleetCase


def answering(names: str) -> Callable[[Target], Awaitable[bool]]:
    """Return a probe that is true of some engines."""

    async def probe(target: Target) -> bool:
        return upstream_id_of(target.name) in names.split()

    return probe


class CrashProbeTest(_FleetCase):
    def has_crashed(self, engine: str, refusing: str, accepting: str) -> bool:
        state = self.states["r0"]
        paths = RouterPaths(state, NoRecords())
        probe = CrashProbe(state, paths, answering(refusing), answering(accepting))
        (target,) = (
            found
            for name in state.upstreams.entry_by_name
            if upstream_id_of(name) == engine and (found := state.target(name)) is not None
        )
        return asyncio.run(probe.has_crashed(target))

    def test_an_engine_crashed_if_it_refuses_and_another_accepts(self) -> None:
        self.assertTrue(self.has_crashed("e0", "e0", "e1 e2"))
        self.assertTrue(self.has_crashed("e0", "e0 e1", "e2"))
        self.assertFalse(self.has_crashed("e0", "", "e0 e1 e2"))

    def test_no_engine_crashed_if_all_refuse_or_the_others_are_silent(self) -> None:
        for engine in ENGINES:
            self.assertFalse(self.has_crashed(engine, "e0 e1 e2", ""))
            self.assertFalse(self.has_crashed(engine, engine, ""))

    def test_the_only_engine_crashed_if_it_refuses(self) -> None:
        state = self.states["r0"]
        for version, engine in enumerate(ENGINES[1:], 100):
            self.set_upstream(state, engine, version, state="leaving")
        self.assertTrue(self.has_crashed("e0", "e0", ""))
