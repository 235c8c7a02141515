"""Guards against an account with many requests that delays or evicts those of others."""

from __future__ import annotations

import unittest

from pondhatch.placement import FairQueue


def serve_all(queue: FairQueue) -> list[str]:
    served = []
    while (ticket := queue.first()) is not None:
        served.append(ticket.account)
        queue.mark_served(ticket)
    return served


class FairQueueTest(unittest.TestCase):
    def test_priority_comes_first(self) -> None:
        queue = FairQueue(10)
        for account, priority in [("late", 7), ("soon", 2), ("first", 0)]:
            queue.join(account, priority, 1.0)
        self.assertEqual(serve_all(queue), ["first", "soon", "late"])

    def test_a_surging_account_does_not_keep_others_waiting(self) -> None:
        queue = FairQueue(50)
        for _ in range(20):
            queue.join("surge", 5, 1.0)
        queue.join("seldom", 5, 1.0)
        self.assertIn("seldom", serve_all(queue)[:2])

    def test_turns_follow_weights(self) -> None:
        queue = FairQueue(100)
        for _ in range(30):
            queue.join("heavy", 5, 2.0)
            queue.join("light", 5, 1.0)
        self.assertEqual(serve_all(queue)[:30].count("heavy"), 20)

    def test_a_full_queue_evicts_only_for_a_more_urgent_request(self) -> None:
        queue = FairQueue(2)
        queue.join("a", 5, 1.0)
        queue.join("b", 5, 1.0)
        self.assertIsNone(queue.join("c", 5, 1.0))
        self.assertIsNone(queue.ticket_to_evict())
        self.assertIsNotNone(queue.join("urgent", 1, 1.0))
        evicted = queue.ticket_to_evict()
        self.assertEqual(evicted.account if evicted else None, "b")

    def test_a_full_queue_evicts_for_an_account_with_few_requests(self) -> None:
        queue = FairQueue(4)
        for _ in range(4):
            queue.join("surge", 5, 1.0)
        self.assertIsNone(queue.join("surge", 5, 1.0))
        self.assertEqual(queue.count_before("surge", 5), 4)
        self.assertEqual(queue.count_before("seldom", 5), 1)
        self.assertIsNotNone(queue.join("seldom", 5, 1.0))
        evicted = queue.ticket_to_evict()
        self.assertEqual(evicted.account if evicted else None, "surge")

    def test_leaving_twice_is_harmless(self) -> None:
        queue = FairQueue(2)
        ticket = queue.join("a", 5, 1.0)
        assert ticket is not None
        queue.leave(ticket)
        queue.leave(ticket)
        self.assertEqual(len(queue), 0)
