"""Random histories in which routers lose and regain paths to engines, and hops between them fail.

Requests are relayed by other routers then, and all guarantees to callers and engines hold.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.limits import HeldBytes
from pondhatch.placement import Reachability, Regions, RelayChoice, RelayRouter
from pondhatch.requests import (
    RELAY_GONE,
    UPSTREAM_UNREACHABLE,
    AnswerStarted,
    NotRun,
    RelayedRequest,
    RelayingUpstreams,
    RelaySide,
    RequestHead,
    SendResult,
    Target,
    Unknown,
)
from pondhatch.requests._crash_guard import NoCrashGuard
from pondhatch.requests._leases import LEASE_SECONDS
from pondhatch.requests._messages import BodySource
from pondhatch.requests.tests._history import (
    PACKET_FAULTS,
    UPSTREAM_FAULTS,
    FaultScript,
    Fleet,
    violations,
)
from pondhatch.requests.tests.test_histories import PROFILE, REQUEST

#: What becomes of a hop: the router cannot be called, or is lost before or after the send.
HOP_FAULTS = ("none", "gone", "lost-before", "lost-after")
CUT = st.tuples(
    st.sampled_from(["r0", "r1", "r2"]),
    st.sampled_from(["e0", "e1", "e2", ""]),  # all engines if empty
    st.floats(0, 0.5),  # start, in seconds
    st.floats(0.01, 2.0),  # duration, in seconds
    st.booleans(),  # whether connections are refused; otherwise they hang
)
Cut = tuple[str, str, float, float, bool]


class Paths:
    """One router's paths and relays; see EnginePaths, DirectUpstreams, Relays and RelayView."""

    def __init__(self, name: str, fleet: Fleet, cuts: list[Cut], hops: FaultScript) -> None:
        self._name = name
        self._fleet = fleet
        self._cuts = cuts
        self._hops = hops
        self._upstreams = fleet.connections_by_router[name]
        self._reachability = Reachability()
        self._choice = RelayChoice(name, "h")
        self.paths_by_router: dict[str, Paths] = {}
        self.side = RelaySide(self, self, NoCrashGuard(), HeldBytes(), lambda _: None)

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def cut(self, engine: str) -> Cut | None:
        """Return the cut of the path to an engine, if there is one now."""
        for cut in self._cuts:
            router, cut_engine, start, lasts, _ = cut
            is_this_path = router == self._name and cut_engine in ("", engine)
            if is_this_path and start <= self.now < start + lasts:
                return cut
        return None

    async def send(
        self, target: Target, head: RequestHead, body: BodySource, patience: float | None = None
    ) -> SendResult:
        cut = self.cut(target.name)
        if cut is not None:
            await asyncio.sleep(0.01 if cut[-1] else patience or 1.0)
            self._reachability.record_failure(target.name, self.now)
            return NotRun(UPSTREAM_UNREACHABLE, "no connection")
        self._reachability.record_connection(target.name, self.now)
        return await self._upstreams.send(target, head, body)

    def has_connection(self, target: Target, head: RequestHead) -> bool:
        return False

    def reconnect(self, target: Target) -> None:
        if self.cut(target.name) is None:
            self._reachability.record_connection(target.name, self.now)

    async def relay(self, router: str, request: RelayedRequest) -> SendResult:
        await asyncio.sleep(0.005)
        fault = self._hops.next()
        if fault == "gone":
            return NotRun(RELAY_GONE, "not called")
        if fault == "lost-before":
            return Unknown("upstream-lost", "the hop was lost")
        run = self.paths_by_router[router].side.start(request)
        if isinstance(run, NotRun):
            return run
        try:
            reply = await run.send()
        finally:
            run.close()
        if fault == "lost-after" and not isinstance(reply, NotRun):
            if isinstance(reply, AnswerStarted):
                reply.answer.cancel()
            return Unknown("upstream-lost", "the hop was lost")
        return reply

    def target(self, engine: str) -> Target | None:
        return self._fleet.routers[self._name].view.target(engine)

    def is_alone(self) -> bool:
        return False

    def is_doubtful(self) -> bool:
        return self._reachability.is_doubtful()

    def is_reachable(self, engine: str) -> bool:
        return self._reachability.is_reachable(engine)

    def is_confirmed_unreachable(self, engine: str) -> bool:
        return self._choice.is_confirmed_unreachable(engine, self.now)

    def start_recheck(self, engine: str) -> bool:
        return self._reachability.start_recheck(engine, self.now)

    def relays(self, engine: str, regions: Regions) -> tuple[str, ...]:
        others = [RelayRouter(name, "h") for name in self._fleet.live if name != self._name]
        return self._choice.candidates(engine, "h", others, self.now)

    def record_relayed(self, router: str) -> None:
        self._choice.record_served(router, self.now)

    def record_unreached(self, router: str, engine: str, is_certain: bool) -> None:
        self._choice.record_unreachable(router, engine, is_certain, self.now)

    def skip_relay(self, router: str, seconds: float) -> None:
        self._choice.skip(router, seconds, self.now)


def fleet_with_paths(fleet: Fleet, cuts: list[Cut], hop_faults: list[str]) -> dict[str, Paths]:
    """Have the routers of a fleet send over paths that can be cut, and relay for each other."""
    hops = FaultScript(hop_faults)
    paths = {name: Paths(name, fleet, cuts, hops) for name in fleet.names}
    connections: dict[str, Any] = dict(fleet.connections_by_router)
    count: Callable[[str], None] = lambda _: None  # noqa: E731
    for name, each in paths.items():
        each.paths_by_router = paths
        connections[name] = RelayingUpstreams(name, each, each, each, count)
    fleet.connections_by_router = connections
    return paths


class PathHistoryTest(unittest.TestCase):
    @settings(PROFILE)
    @given(
        st.lists(REQUEST, min_size=1, max_size=10),
        st.lists(CUT, min_size=1, max_size=5),
        st.lists(st.sampled_from(HOP_FAULTS), max_size=8),
        st.lists(st.sampled_from(UPSTREAM_FAULTS), max_size=10),
        st.lists(st.sampled_from(PACKET_FAULTS), max_size=8),
        st.booleans(),
    )
    def test_guarantees_hold_whichever_way_a_request_goes(
        self,
        requests: list[tuple[bool, bool, float]],
        cuts: list[Cut],
        hop_faults: list[str],
        upstream_faults: list[str],
        packet_faults: list[str],
        resumes: bool,
    ) -> None:
        async def history() -> list[str]:
            fleet = Fleet(upstream_faults, packet_faults, resumes)
            paths = fleet_with_paths(fleet, cuts, hop_faults)
            sent = [fleet.request_later(at, *request) for at, request in enumerate(requests)]
            await asyncio.gather(*sent)
            await asyncio.sleep(2 * LEASE_SECONDS)
            repeatable = {f"q{at}": each[0] for at, each in enumerate(requests)}
            is_unheard = bool({"lost", "very-late"} & set(packet_faults))
            still_relayed = [name for name, each in paths.items() if each.side.in_flight]
            return violations(fleet, repeatable, 1 + is_unheard) + still_relayed

        self.assertEqual(run_virtually(history()), [])

    def test_all_are_served_while_one_router_reaches_the_engines(self) -> None:
        async def history() -> list[str]:
            fleet = Fleet([], [], False)
            cuts: list[Cut] = [("r0", "", 0.0, 60.0, False), ("r1", "", 0.0, 60.0, True)]
            fleet_with_paths(fleet, cuts, [])
            for number in range(9):
                await fleet.request(number, False, False)
            outcomes = fleet.history.outcome_by_request.values()
            return [type(each).__name__ for each in outcomes]

        self.assertEqual(run_virtually(history()), ["Whole"] * 9)
