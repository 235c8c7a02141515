from __future__ import annotations

import unittest

from pondhatch.placement import FairQueue


def serve_all(line: FairQueue) -> list[str]:
    served = []
    while (ticket := line.first()) is not None:
        served.append(ticket.account)
        line.mark_served(ticket)
    return served


class LineTest(unittest.TestCase):
    def test_priority_comes_first(self) -> None:
        line = FairQueue(10)
        for account, priority in [("late", 7), ("soon", 2), ("first", 0)]:
            line.join(account, priority, 1.0)
        self.assertEqual(serve_all(line), ["first", "soon", "late"])

    def test_a_surging_account_does_not_keep_others_waiting(self) -> None:
        line = FairQueue(50)
        for _ in range(20):
            line.join("surge", 5, 1.0)
        line.join("seldom", 5, 1.0)
        self.assertIn("seldom", serve_all(line)[:2])

    def test_turns_follow_weights(self) -> None:
        line = FairQueue(100)
        for _ in range(30):
            line.join("heavy", 5, 2.0)
            line.join("light", 5, 1.0)
        self.assertEqual(serve_all(line)[:30].count("heavy"), 20)

    def test_a_full_line_gives_way_only_to_a_more_urgent_request(self) -> None:
        line = FairQueue(2)
        line.join("a", 5, 1.0)
        line.join("b", 5, 1.0)
        self.assertIsNone(line.join("c", 5, 1.0))
        self.assertIsNone(line.ticket_to_evict())
        self.assertIsNotNone(line.join("urgent", 1, 1.0))
        leaving = line.ticket_to_evict()
        self.assertEqual(leaving.account if leaving else None, "b")

    def test_a_full_line_gives_way_to_an_account_seldom_seen(self) -> None:
        line = FairQueue(4)
        for _ in range(4):
            line.join("surge", 5, 1.0)
        self.assertIsNone(line.join("surge", 5, 1.0))
        self.assertEqual(line.count_before("surge", 5), 4)
        self.assertEqual(line.count_before("seldom", 5), 1)
        self.assertIsNotNone(line.join("seldom", 5, 1.0))
        leaving = line.ticket_to_evict()
        self.assertEqual(leaving.account if leaving else None, "surge")

    def test_leaving_twice_is_harmless(self) -> None:
        line = FairQueue(2)
        ticket = line.join("a", 5, 1.0)
        assert ticket is not None
        line.leave(ticket)
        line.leave(ticket)
        self.assertEqual(len(line), 0)
