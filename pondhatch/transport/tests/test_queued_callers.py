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

        async def ask(owner: str, grant_request: GrantRequest, max_wait: float) -> OwnerReply:
            requests.append(grant_request)
            is_first = grant_request.queue_count > 1 and grant_request.engine == "i-2"
            return Busy(9, 9, False, 4000, 1234 if is_first else 1300)

        self.state.load_management = "on"
        self.grants.ask = ask  # type: ignore[method-assign]
        with mock.patch.object(self.callers._request_runner._metrics, "count") as count:
            response = await self.ask("GET /x HTTP/1.1", "Deadline-Ms: 900")
        self.assertIn(b"Retry-After: 1.234", response)
        self.assertEqual(msgspec.to_builtins(self.record_list.records[0])["predicted_ms"], 4000)
        self.assertIn(mock.call("queue.refused-at-arrival"), count.mock_calls)
        queue_requests = [
            grant_request for grant_request in requests if grant_request.queue_count == 2
        ]
        self.assertEqual({grant_request.engine for grant_request in queue_requests}, {"i-2", "i-3"})
        for grant_request in queue_requests:
            self.assertAlmostEqual(grant_request.max_wait_ms, 870, delta=50)
            self.assertGreater(grant_request.in_time, 0)
