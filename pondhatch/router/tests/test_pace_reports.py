"""Guards reports of paces: too few overload slow engines, too many crowd out control traffic."""

from __future__ import annotations

import msgspec

from pondhatch.placement import USUAL_PACE, Notice
from pondhatch.router import NOTICE_PACKET_PREFIX
from pondhatch.router._notice_exchange import NoticePacket, WireNotice
from pondhatch.router._pace_reports import REPORTS_BURST, REPORTS_PER_ROUND
from pondhatch.router.tests.test_notice_exchange import FleetCase

SLOW = Notice(pace=250)


class PaceReportTest(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        for state in self.states.values():
            state.load_management = "on"
        self.engine = self.instance(0)
        self.owner = self.states["r0"].owner_name(self.engine) or ""
        self.entry = next(name for name in self.names[:3] if name != self.owner)

    def pace_at(self, name: str) -> int:
        """Return the pace that a router assumes for the engine now."""
        target = self.states[name].target(self.engine)
        assert target is not None
        return target.pace

    def test_only_the_owner_gets_a_report_once_a_second(self) -> None:
        for index in range(25):
            self.now = index / 10
            self.exchange_by_name[self.entry].receive_notice(self.engine, SLOW)
            self.exchange_by_name[self.entry].tick()
        self.assertEqual(self.deliver(), [self.owner] * 3)
        self.assertEqual(self.pace_at(self.owner), 250)
        self.now += 0.6
        self.assertEqual(self.pace_at(self.owner), USUAL_PACE)

    def test_a_pace_near_the_usual_and_an_owners_own_reading_are_not_reported(self) -> None:
        self.exchange_by_name[self.entry].receive_notice(self.engine, Notice(pace=149))
        self.exchange_by_name[self.owner].receive_notice(self.engine, SLOW)
        self.assertEqual(self.deliver(), [])

    def test_a_pace_closes_no_upstream(self) -> None:
        self.exchange_by_name[self.entry].receive_notice(self.engine, SLOW)
        self.deliver()
        for name in (self.entry, self.owner):
            self.assertIsNone(self.closed_reason(name, self.engine))
            self.assertEqual(self.states[name].notices.names(), ())

    def test_reports_of_many_slow_engines_are_bounded(self) -> None:
        reports = self.exchange_by_name[self.entry]._pace_reports
        for index in range(1000):
            if reports.is_due(f"e{index}", 250, 0.0):
                reports.note_reported(f"e{index}", 0.0)
            if index % 100 == 99:
                reports.tick(0.0)
        self.assertEqual(len(reports._reported_at_by_engine), REPORTS_BURST + 9 * REPORTS_PER_ROUND)

    # A fleet that does not manage load must send the same bytes as before, whatever pace engines
    # report.
    def test_while_load_is_not_managed_no_pace_is_sent_and_no_byte_differs(self) -> None:
        for state in self.states.values():
            state.load_management = "off"
        self.exchange_by_name[self.entry].receive_notice(self.engine, SLOW)
        self.assertEqual(self.sent, [])
        self.exchange_by_name[self.entry].receive_notice(
            self.engine, Notice(rest=3.0, has_free_slots=True, pace=250)
        )
        payload = msgspec.msgpack.encode([70, [[self.engine, False, 3.0, True]]])
        self.assertEqual([each.payload for _, each in self.sent], [NOTICE_PACKET_PREFIX + payload])
        self.assertEqual(self.states[self.entry].pace_read_at, self.now)

    def test_as_needed_only_a_router_that_reads_a_pace_itself_manages_load(self) -> None:
        for state in self.states.values():
            state.load_management = "as-needed"
        self.exchange_by_name[self.entry].receive_notice(self.engine, SLOW)
        self.deliver()
        self.assertTrue(self.states[self.entry].is_load_managed())
        self.assertFalse(self.states[self.owner].is_load_managed())

    def test_packets_without_a_pace_decode_and_a_negative_pace_is_dropped(self) -> None:
        old = msgspec.msgpack.encode([70, [["e", True, 0.0, False]]])
        wire_notice = WireNotice("e", True, 0.0)
        self.assertEqual(msgspec.msgpack.decode(old, type=NoticePacket).notices, (wire_notice,))
        self.exchange_by_name[self.entry].receive(
            msgspec.msgpack.encode([70, [["e", 0, 0.0, 0, -1]]])
        )
        self.assertEqual(self.states[self.entry].paces.current(self.now), {})
