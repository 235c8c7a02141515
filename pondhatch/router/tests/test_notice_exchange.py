"""Guards the spread of upstreams' notices: a router that misses one sends refused requests."""

from __future__ import annotations

import random
import unittest
from collections.abc import Iterable

from msgspec.structs import replace

from pondhatch.membership import Alive, Datagram, Gossip, MembershipLimits, Phase, short_id
from pondhatch.placement import ClosedReason, Granted, Notice, Rest
from pondhatch.requests import RequestHead
from pondhatch.router import NOTICE_PACKET_PREFIX, NoticeExchange, RouterState
from pondhatch.router._notice_exchange import REST_PACKETS_PER_ROUND
from pondhatch.router.tests.test_sync import FIRST, UncalledPeer, meet
from pondhatch.store import Listed, WatchEvent

ENGINES = ("e0", "e1", "e2")
LEAVING_NOTICE = Notice(is_leaving=True)
HEAD = RequestHead("r.1", "a", "lang", 0, "POST", "/", (), True, 5.0, 5)


class FleetCase(unittest.TestCase):
    """Four routers; the first three know each other from the start."""

    def setUp(self) -> None:
        self.now = 0.0
        self.names = ("r0", "r1", "r2", "r3")
        self.states = {name: self.new_state(name) for name in self.names}
        self.meet_all(self.names[:3])
        self.sent: list[tuple[str, Datagram]] = []
        self.is_lost = False
        self.exchange_by_name = {name: self.new_exchange(name) for name in self.names}
        for exchange in self.exchange_by_name.values():
            exchange.tick()
        self.sent.clear()

    def new_state(self, name: str) -> RouterState:
        port = 7000 + self.names.index(name)
        own = Alive(short_id(name), 1, Phase.LIVE, name, "127.0.0.1", port, "h1")
        gossip = Gossip(own, MembershipLimits(), random.Random(1))
        state = RouterState(name, "h1", gossip, lambda: self.now, lambda member: UncalledPeer())
        state.apply_change(FIRST)
        for index, engine in enumerate(ENGINES):
            self.set_upstream(state, engine, index + 1)
        state.apply_listed_evacuations(Listed(10, ()))
        return state

    def set_upstream(
        self, router: RouterState, engine: str, version: int, **fields: object
    ) -> None:
        """Apply an entry of an engine as the platform lists it."""
        value = {
            "name": engine,
            "service": "lang",
            "url": "http://10.0.0.1:80",
            "hall": "h1",
            "start": 7,
        }
        router.apply_upstream_event(WatchEvent("set", version, engine, {**value, **fields}))

    def meet_all(self, names: Iterable[str]) -> None:
        for name in names:
            for other in names:
                if other != name:
                    meet(self.states[name], self.states[other])
            self.states[name].refresh_members()

    def new_exchange(self, name: str) -> NoticeExchange:
        def send(datagrams: Iterable[Datagram]) -> None:
            self.sent += [(name, each) for each in datagrams]

        return NoticeExchange(self.states[name], send)

    def deliver(self) -> list[str]:
        """Deliver the sent packets; return the names of their receivers."""
        sent, self.sent = self.sent, []
        reached = [self.names[each.to.port - 7000] for _, each in sent]
        if not self.is_lost:
            for name, (_, each) in zip(reached, sent, strict=True):
                self.exchange_by_name[name].receive(each.payload.removeprefix(NOTICE_PACKET_PREFIX))
        return reached

    def instance(self, at: int) -> str:
        """Return the name of an engine's current start."""
        return self.states["r0"].live_upstreams("lang")[at]

    def closed_reason(self, name: str, engine: str) -> ClosedReason | None:
        target = self.states[name].target(engine)
        assert target is not None
        return target.intake.closed_reason(None)


class LeavingTest(FleetCase):
    def test_all_routers_are_told_that_an_upstream_leaves(self) -> None:
        engine = self.instance(0)
        self.exchange_by_name["r0"].receive_notice(engine, LEAVING_NOTICE)
        self.assertEqual(sorted(self.deliver()), ["r1", "r2"])
        for name in self.names[:3]:
            self.assertIs(self.closed_reason(name, engine), ClosedReason.LEAVING)
            self.assertNotIn(engine, self.states[name].live_upstreams("lang"))

    def test_a_notice_is_sent_twice_in_case_a_packet_is_lost(self) -> None:
        engine, self.is_lost = self.instance(0), True
        self.exchange_by_name["r0"].receive_notice(engine, LEAVING_NOTICE)
        self.deliver()
        self.is_lost = False
        self.exchange_by_name["r0"].tick()
        self.assertEqual(sorted(self.deliver()), ["r1", "r2"])
        self.assertIs(self.closed_reason("r2", engine), ClosedReason.LEAVING)
        for name in self.names:
            self.exchange_by_name[name].receive_notice(engine, LEAVING_NOTICE)
            self.exchange_by_name[name].tick()
        self.assertEqual([to for to in self.deliver() if to != "r3"], [])

    def test_a_new_router_is_told_that_an_upstream_leaves(self) -> None:
        engine = self.instance(0)
        self.exchange_by_name["r0"].receive_notice(engine, LEAVING_NOTICE)
        self.deliver()
        self.meet_all(self.names)
        for name in self.names[:3]:
            self.exchange_by_name[name].tick()
        self.deliver()
        self.assertIs(self.closed_reason("r3", engine), ClosedReason.LEAVING)

    def test_a_leaving_upstream_is_reopened_by_a_new_start_and_not_by_the_list(self) -> None:
        engine = self.instance(0)
        state = self.states["r0"]
        self.exchange_by_name["r0"].receive_notice(engine, LEAVING_NOTICE)
        self.set_upstream(state, "e0", 20, slots=9)
        self.assertIs(self.closed_reason("r0", engine), ClosedReason.LEAVING)
        self.set_upstream(state, "e0", 21, start=8)
        self.assertEqual(len(state.live_upstreams("lang")), 3)

    def test_an_upstream_that_is_listed_as_leaving_and_then_live_is_reopened(self) -> None:
        engine = self.instance(0)
        state = self.states["r0"]
        self.exchange_by_name["r0"].receive_notice(engine, LEAVING_NOTICE)
        self.set_upstream(state, "e0", 20, state="leaving")
        self.set_upstream(state, "e0", 21)
        self.assertIsNone(self.closed_reason("r0", engine))

    def test_streams_may_still_be_resumed_at_a_leaving_upstream(self) -> None:
        engine = self.instance(0)
        self.exchange_by_name["r0"].receive_notice(engine, LEAVING_NOTICE)
        closed = self.exchange_by_name["r0"].closed(engine, HEAD)
        assert closed is not None
        self.assertEqual(closed.code, ClosedReason.LEAVING)
        self.assertIsNone(self.exchange_by_name["r0"].closed(engine, replace(HEAD, resuming=True)))


class RestingTest(FleetCase):
    def test_owners_of_the_service_are_told_of_a_rest_until_its_end(self) -> None:
        engine = self.instance(0)
        state = self.states["r0"]
        owners = state.owners_of_same_service(engine) - {"r0"}
        self.exchange_by_name["r0"].receive_notice(engine, Notice(rest=3.0))
        self.assertEqual(set(self.deliver()), owners)
        for name in owners:
            self.assertIs(self.closed_reason(name, engine), ClosedReason.RESTING)
            self.assertEqual(len(self.states[name].live_upstreams("lang")), 3)
        closed = self.exchange_by_name["r0"].closed(engine, HEAD)
        assert closed is not None
        self.assertEqual(closed.retry_after, 3.0)
        self.now = 3.0
        self.assertIsNone(self.closed_reason("r0", engine))

    # When an upstream that refused 40% of its requests was closed to all routers, its load
    # overloaded the others.
    def test_a_rest_with_free_slots_closes_the_upstream_only_at_its_receiver(self) -> None:
        engine = self.instance(0)
        owner = self.states["r0"].owner_name(engine)
        assert owner is not None
        receiver = next(name for name in self.names[:3] if name != owner)
        self.exchange_by_name[receiver].receive_notice(
            engine, Notice(rest=3.0, has_free_slots=True)
        )
        self.assertEqual(self.deliver(), [owner])
        self.assertIs(self.closed_reason(receiver, engine), ClosedReason.RESTING)
        for name in set(self.names[:3]) - {receiver}:
            self.assertIsNone(self.closed_reason(name, engine))
        target = self.states[owner].target(engine)
        assert target is not None
        self.assertEqual(
            (target.intake.rest, target.open_upstream_count), (Rest(for_some_routers=3.0), 3)
        )
        self.assertIsNone(target.intake.closed_reason_for_all())

    def test_the_others_carry_its_load(self) -> None:
        for index in range(2):
            self.states["r0"].apply_notice(self.instance(index), Notice(rest=3.0))
        target = self.states["r0"].target(self.instance(2))
        assert target is not None
        self.assertEqual(target.open_upstream_count, 1)

    # Otherwise all requests that wait for the end of the rest, at every router, are sent to the
    # engine at the same time.
    def test_after_a_rest_grants_start_at_the_load_before_it(self) -> None:
        engine, gate = self.instance(0), self.states["r0"].gate
        for _ in range(4):
            gate.try_grant(engine, self.now, 9.0, 0, 1)
        self.states["r0"].apply_notice(engine, Notice(rest=3.0))
        for _ in range(4):
            gate.release(engine)
        self.now = 3.1
        verdicts = [gate.try_grant(engine, self.now, 9.0, 0, 1) for _ in range(10)]
        self.assertEqual(sum(isinstance(each, Granted) for each in verdicts), 3)
        self.now = 4.1
        self.assertIsInstance(gate.try_grant(engine, self.now, 9.0, 0, 1), Granted)

    def test_a_new_owner_is_told_of_a_rest(self) -> None:
        engine, state = self.instance(0), self.states["r0"]
        owner = state.owner_name(engine)
        sender = next(name for name in self.names[:3] if name != owner)
        self.exchange_by_name[sender].receive_notice(engine, Notice(rest=3.0))
        self.exchange_by_name[sender].tick()
        self.sent.clear()
        self.exchange_by_name[sender]._owner_by_upstream[engine] = "r9"
        self.exchange_by_name[sender].tick()
        self.assertEqual(self.deliver(), [owner])

    def test_packets_about_many_rests_are_bounded(self) -> None:
        for index in range(2000):
            self.exchange_by_name["r0"].receive_notice(
                self.instance(index % 3), Notice(rest=3.0 + index)
            )
        without_owners = len(self.sent) - 2000
        self.assertLess(without_owners, 10 * REST_PACKETS_PER_ROUND + 1)

    def test_a_packet_that_does_not_parse_is_dropped(self) -> None:
        for payload in (b"", b"\xc1", b"\x93\x46\x01"):
            self.exchange_by_name["r0"].receive(payload)
        self.assertEqual(self.states["r0"].notices.current(self.now), {})
