"""Guards what callers, records and metrics get when a predicted wait is too long."""

from __future__ import annotations

from unittest import mock

import msgspec

from pondhatch.requests import Busy, GrantRequest, OwnerReply
from pondhatch.transport.tests.test_routed_callers import RoutedCallersTest


class QueuedCallersTest(RoutedCallersTest):
    """All engines are full, and their owners predict waits beyond the caller's deadline."""

    async def test_a_refused_caller_gets_the_retry_time_predicted_by_the_owners(self) -> None:
        """Guards against all refused callers retrying at once after the same fixed delay."""
        requests: list[GrantRequest] = []

        async def ask(owner: str, question: GrantRequest, bearable: float) -> OwnerReply:
            requests.append(question)
            is_first = question.queue_count > 1 and question.engine == "i-2"
            return Busy(9, 9, False, 4000, 1234 if is_first else 1300)

        self.state.load_management = "on"
        self.grants.ask = ask  # type: ignore[method-assign]
        with mock.patch.object(self.callers._request_runner._metrics, "count") as count:
            response = await self.ask("GET /x HTTP/1.1", "Deadline-Ms: 900")
        self.assertIn(b"Retry-After: 1.234", response)
        self.assertEqual(msgspec.to_builtins(self.record_list.records[0])["predicted_ms"], 4000)
        self.assertIn(mock.call("queue.refused-at-arrival"), count.mock_calls)
        queue_requests = [question for question in requests if question.queue_count == 2]
        self.assertEqual({question.engine for question in queue_requests}, {"i-2", "i-3"})
        for question in queue_requests:
            self.assertAlmostEqual(question.max_wait_ms, 870, delta=50)
            self.assertGreater(question.in_time, 0)
