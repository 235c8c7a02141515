"""What upstreams say of themselves in their answers, at several routers of one fleet."""

from __future__ import annotations

import random
import unittest
from collections.abc import Iterable

from msgspec.structs import replace

from pondhatch.membership import Alive, Datagram, Gossip, MembershipLimits, Phase, short_id
from pondhatch.placement import Closed, Granted, Notice, Rest
from pondhatch.requests import RequestHead
from pondhatch.router import NOTICE_MARK, NoticeKeeping, RouterState
from pondhatch.router._notice_keeping import REST_PACKETS_A_ROUND
from pondhatch.router.tests.test_sync import FIRST, Nobody, meet
from pondhatch.store import Listed, WatchEvent

ENGINES = ("e0", "e1", "e2")
LEAVES = Notice(is_leaving=True)
HEAD = RequestHead("r.1", "a", "lang", 0, "POST", "/", (), True, 5.0, 5)


class FleetCase(unittest.TestCase):
    """Four routers, of which the first three know each other from the start."""

    def setUp(self) -> None:
        self.now = 0.0
        self.names = ("r0", "r1", "r2", "r3")
        self.states = {name: self.new_state(name) for name in self.names}
        self.meet_all(self.names[:3])
        self.sent: list[tuple[str, Datagram]] = []
        self.is_lost = False
        self.keepings = {name: self.new_keeping(name) for name in self.names}
        for keeping in self.keepings.values():
            keeping.tick()
        self.sent.clear()

    def new_state(self, name: str) -> RouterState:
        port = 7000 + self.names.index(name)
        own = Alive(short_id(name), 1, Phase.LIVE, name, "127.0.0.1", port, "h1")
        gossip = Gossip(own, MembershipLimits(), random.Random(1))
        state = RouterState(name, "h1", gossip, lambda: self.now, lambda member: Nobody())
        state.take_change(FIRST)
        for at, engine in enumerate(ENGINES):
            self.write(state, engine, at + 1)
        state.take_listed_evacuations(Listed(10, ()))
        return state

    def write(self, router: RouterState, engine: str, version: int, **fields: object) -> None:
        """Have the platform list an engine."""
        value = {
            "name": engine,
            "service": "lang",
            "url": "http://10.0.0.1:80",
            "hall": "h1",
            "start": 7,
        }
        router.take_upstream_event(WatchEvent("set", version, engine, {**value, **fields}))

    def meet_all(self, names: Iterable[str]) -> None:
        for name in names:
            for other in names:
                if other != name:
                    meet(self.states[name], self.states[other])
            self.states[name].refresh()

    def new_keeping(self, name: str) -> NoticeKeeping:
        def send(datagrams: Iterable[Datagram]) -> None:
            self.sent += [(name, each) for each in datagrams]

        return NoticeKeeping(self.states[name], send)

    def deliver(self) -> list[str]:
        """Have what was sent arrive; return to whom it went."""
        sent, self.sent = self.sent, []
        reached = [self.names[each.to.port - 7000] for _, each in sent]
        if not self.is_lost:
            for name, (_, each) in zip(reached, sent, strict=True):
                self.keepings[name].receive(each.payload.removeprefix(NOTICE_MARK))
        return reached

    def start(self, at: int) -> str:
        """Return the name of an engine's start."""
        return self.states["r0"].live_upstreams("lang")[at]

    def closed(self, name: str, engine: str) -> Closed | None:
        target = self.states[name].target(engine)
        assert target is not None
        return target.intake.closed_to(None)


class LeavingTest(FleetCase):
    def test_all_routers_know_what_one_heard(self) -> None:
        engine = self.start(0)
        self.keepings["r0"].receive_notice(engine, LEAVES)
        self.assertEqual(sorted(self.deliver()), ["r1", "r2"])
        for name in self.names[:3]:
            self.assertIs(self.closed(name, engine), Closed.LEAVING)
            self.assertNotIn(engine, self.states[name].live_upstreams("lang"))

    def test_it_is_told_once_more_for_a_packet_may_be_lost_and_then_no_more(self) -> None:
        engine, self.is_lost = self.start(0), True
        self.keepings["r0"].receive_notice(engine, LEAVES)
        self.deliver()
        self.is_lost = False
        self.keepings["r0"].tick()
        self.assertEqual(sorted(self.deliver()), ["r1", "r2"])
        self.assertIs(self.closed("r2", engine), Closed.LEAVING)
        for name in self.names:
            self.keepings[name].receive_notice(engine, LEAVES)
            self.keepings[name].tick()
        self.assertEqual([to for to in self.deliver() if to != "r3"], [])

    def test_a_router_that_is_new_is_told(self) -> None:
        engine = self.start(0)
        self.keepings["r0"].receive_notice(engine, LEAVES)
        self.deliver()
        self.meet_all(self.names)
        for name in self.names[:3]:
            self.keepings[name].tick()
        self.deliver()
        self.assertIs(self.closed("r3", engine), Closed.LEAVING)

    def test_the_platforms_list_does_not_open_it_and_a_new_start_is_open(self) -> None:
        engine = self.start(0)
        state = self.states["r0"]
        self.keepings["r0"].receive_notice(engine, LEAVES)
        self.write(state, "e0", 20, slots=9)
        self.assertIs(self.closed("r0", engine), Closed.LEAVING)
        self.write(state, "e0", 21, start=8)
        self.assertEqual(len(state.live_upstreams("lang")), 3)

    def test_one_that_says_in_the_list_that_it_stays_after_all_is_open(self) -> None:
        engine = self.start(0)
        state = self.states["r0"]
        self.keepings["r0"].receive_notice(engine, LEAVES)
        self.write(state, "e0", 20, state="leaving")
        self.write(state, "e0", 21)
        self.assertIsNone(self.closed("r0", engine))

    def test_the_rest_of_its_streams_may_still_be_sent_there(self) -> None:
        engine = self.start(0)
        self.keepings["r0"].receive_notice(engine, LEAVES)
        closed = self.keepings["r0"].closed(engine, HEAD)
        assert closed is not None
        self.assertEqual(closed.code, Closed.LEAVING)
        self.assertIsNone(self.keepings["r0"].closed(engine, replace(HEAD, resuming=True)))


class RestingTest(FleetCase):
    def test_owners_of_the_service_know_it_until_it_is_over(self) -> None:
        engine = self.start(0)
        state = self.states["r0"]
        owners = state.owners_beside(engine) - {"r0"}
        self.keepings["r0"].receive_notice(engine, Notice(rest=3.0))
        self.assertEqual(set(self.deliver()), owners)
        for name in owners:
            self.assertIs(self.closed(name, engine), Closed.RESTING)
            self.assertEqual(len(self.states[name].live_upstreams("lang")), 3)
        closed = self.keepings["r0"].closed(engine, HEAD)
        assert closed is not None
        self.assertEqual(closed.retry_after, 3.0)
        self.now = 3.0
        self.assertIsNone(self.closed("r0", engine))

    # One that turned away two in five was closed to all, and its load overran the others.
    def test_one_that_has_places_is_spared_by_its_owner_and_closed_to_who_was_told(self) -> None:
        engine = self.start(0)
        owner = self.states["r0"].owner_name(engine)
        assert owner is not None
        told = next(name for name in self.names[:3] if name != owner)
        self.keepings[told].receive_notice(engine, Notice(rest=3.0, has_places=True))
        self.assertEqual(self.deliver(), [owner])
        self.assertIs(self.closed(told, engine), Closed.RESTING)
        for name in set(self.names[:3]) - {told}:
            self.assertIsNone(self.closed(name, engine))
        target = self.states[owner].target(engine)
        assert target is not None
        self.assertEqual((target.intake.rest, target.peers), (Rest(of_some=3.0), 3))
        self.assertIsNone(target.intake.closed_to_all())

    def test_the_others_carry_its_load(self) -> None:
        for at in range(2):
            self.states["r0"].hear(self.start(at), Notice(rest=3.0))
        target = self.states["r0"].target(self.start(2))
        assert target is not None
        self.assertEqual(target.peers, 1)

    # All who waited for its end, at every router, went to the engine in the same moment.
    def test_its_end_brings_no_more_than_it_held(self) -> None:
        engine, gate = self.start(0), self.states["r0"].gate
        for _ in range(4):
            gate.ask(engine, self.now, 9.0, 0, 1)
        self.states["r0"].hear(engine, Notice(rest=3.0))
        for _ in range(4):
            gate.release(engine)
        self.now = 3.1
        verdicts = [gate.ask(engine, self.now, 9.0, 0, 1) for _ in range(10)]
        self.assertEqual(sum(isinstance(each, Granted) for each in verdicts), 3)
        self.now = 4.1
        self.assertIsInstance(gate.ask(engine, self.now, 9.0, 0, 1), Granted)

    def test_whoever_becomes_its_owner_is_told(self) -> None:
        engine, state = self.start(0), self.states["r0"]
        owner = state.owner_name(engine)
        teller = next(name for name in self.names[:3] if name != owner)
        self.keepings[teller].receive_notice(engine, Notice(rest=3.0))
        self.keepings[teller].tick()
        self.sent.clear()
        self.keepings[teller]._owner_by_upstream[engine] = "r9"
        self.keepings[teller].tick()
        self.assertEqual(self.deliver(), [owner])

    def test_what_many_rests_cost_is_bounded(self) -> None:
        for at in range(2000):
            self.keepings["r0"].receive_notice(self.start(at % 3), Notice(rest=3.0 + at))
        without_owners = len(self.sent) - 2000
        self.assertLess(without_owners, 10 * REST_PACKETS_A_ROUND + 1)

    def test_a_packet_that_does_not_parse_is_dropped(self) -> None:
        for payload in (b"", b"\xc1", b"\x93\x46\x01"):
            self.keepings["r0"].receive(payload)
        self.assertEqual(self.states["r0"].notices.in_force(self.now), {})
