"""Guards reports of paces: too few leave slow engines full, too many crowd control traffic."""

from __future__ import annotations

import msgspec

from pondhatch.placement import USUAL_PACE, Notice
from pondhatch.router import NOTICE_MARK
from pondhatch.router._notice_keeping import NoticePacket, ToldNotice
from pondhatch.router._pace_reports import REPORTS_A_ROUND, SAVED_REPORTS
from pondhatch.router.tests.test_notice_keeping import FleetCase

SLOW = Notice(pace=250)


class PaceReportTest(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        for state in self.states.values():
            state.load_management = "on"
        self.engine = self.start(0)
        self.owner = self.states["r0"].owner_name(self.engine) or ""
        self.entry = next(name for name in self.names[:3] if name != self.owner)

    def pace_at(self, name: str) -> int:
        """Return the pace by which a router would decide now."""
        target = self.states[name].target(self.engine)
        assert target is not None
        return target.pace

    def test_its_owner_alone_is_told_once_a_second(self) -> None:
        for at in range(25):
            self.now = at / 10
            self.keepings[self.entry].receive_notice(self.engine, SLOW)
            self.keepings[self.entry].tick()
        self.assertEqual(self.deliver(), [self.owner] * 3)
        self.assertEqual(self.pace_at(self.owner), 250)
        self.now += 0.6
        self.assertEqual(self.pace_at(self.owner), USUAL_PACE)

    def test_what_is_near_the_usual_pace_and_an_owners_own_reading_are_not_told(self) -> None:
        self.keepings[self.entry].receive_notice(self.engine, Notice(pace=149))
        self.keepings[self.owner].receive_notice(self.engine, SLOW)
        self.assertEqual(self.deliver(), [])

    def test_it_closes_nothing(self) -> None:
        self.keepings[self.entry].receive_notice(self.engine, SLOW)
        self.deliver()
        for name in (self.entry, self.owner):
            self.assertIsNone(self.closed(name, self.engine))
            self.assertEqual(self.states[name].notices.names(), ())

    def test_what_many_slow_engines_cost_is_bounded(self) -> None:
        reports = self.keepings[self.entry]._pace_reports
        for at in range(1000):
            if reports.is_due(f"e{at}", 250, 0.0):
                reports.reported(f"e{at}", 0.0)
            if at % 100 == 99:
                reports.tick(0.0)
        self.assertEqual(len(reports._reported_at_by_engine), SAVED_REPORTS + 9 * REPORTS_A_ROUND)

    # A fleet that does not manage load sends what it always sent, whatever engines state.
    def test_while_load_is_not_managed_nothing_is_told_and_no_byte_differs(self) -> None:
        for state in self.states.values():
            state.load_management = "off"
        self.keepings[self.entry].receive_notice(self.engine, SLOW)
        self.assertEqual(self.sent, [])
        self.keepings[self.entry].receive_notice(
            self.engine, Notice(rest=3.0, has_places=True, pace=250)
        )
        payload = msgspec.msgpack.encode([70, [[self.engine, False, 3.0, True]]])
        self.assertEqual([each.payload for _, each in self.sent], [NOTICE_MARK + payload])
        self.assertEqual(self.states[self.entry].pace_read_at, self.now)

    def test_only_who_reads_a_pace_itself_manages_load_where_it_is_as_needed(self) -> None:
        for state in self.states.values():
            state.load_management = "as-needed"
        self.keepings[self.entry].receive_notice(self.engine, SLOW)
        self.deliver()
        self.assertTrue(self.states[self.entry].is_load_managed())
        self.assertFalse(self.states[self.owner].is_load_managed())

    def test_packets_of_and_for_routers_that_know_no_pace(self) -> None:
        old = msgspec.msgpack.encode([70, [["e", True, 0.0, False]]])
        told = ToldNotice("e", True, 0.0)
        self.assertEqual(msgspec.msgpack.decode(old, type=NoticePacket).notices, (told,))
        self.keepings[self.entry].receive(msgspec.msgpack.encode([70, [["e", 0, 0.0, 0, -1]]]))
        self.assertEqual(self.states[self.entry].paces.in_force(self.now), {})
