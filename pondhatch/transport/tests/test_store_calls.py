"""Guards the rate limit of calls to the store, and its reaction to unanswered calls."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from fakes._virtual_loop import run_virtually
from pondhatch.transport import CallFailed, StoreCalls
from pondhatch.transport._http_client import HttpClient, NotSent
from pondhatch.transport._store_calls import BURST_CALLS, CALLS_PER_SECOND
from pondhatch.transport.tests.test_header_bytes import Reactor
from pondhatch.transport.tests.test_http_client import COMPLETE_RESPONSE


class UnreachableClient:
    """A client whose calls fail at once."""

    def __init__(self) -> None:
        self.sent = 0

    async def send(self, *arguments: Any, **named: Any) -> Any:
        self.sent += 1
        raise NotSent("refused")


class RateLimitTest(unittest.TestCase):
    def test_a_tight_loop_is_limited_to_the_rate(self) -> None:
        async def main() -> int:
            client: Any = UnreachableClient()
            calls = StoreCalls(client, "http://127.0.0.1:1")

            async def call_repeatedly() -> None:
                while True:
                    try:
                        await calls.call("GET", "/objects/a")
                    except CallFailed:
                        await asyncio.sleep(0)

            tasks = [asyncio.ensure_future(call_repeatedly()) for _ in range(3)]
            await asyncio.sleep(10)
            for each in tasks:
                each.cancel()
            self.assertEqual(calls.calls_made, client.sent)
            return calls.calls_made

        limit = BURST_CALLS + 10 * CALLS_PER_SECOND
        self.assertLessEqual(run_virtually(main()), limit)
        self.assertGreater(run_virtually(main()), limit - 5)


class UnansweredCallTest(unittest.TestCase):
    def test_one_unanswered_call_closes_all_stale_idle_connections(self) -> None:
        async def main() -> int:
            reactor = Reactor()
            calls = StoreCalls(HttpClient(reactor), "http://127.0.0.1:1")
            together = [asyncio.ensure_future(calls.call("GET", "/objects/a")) for _ in range(3)]
            await asyncio.sleep(0.1)
            for connection in reactor.connections:
                connection.dataReceived(COMPLETE_RESPONSE)
            await asyncio.gather(*together)
            await asyncio.sleep(0.1)
            with self.assertRaises(CallFailed):
                await calls.call("GET", "/objects/a")
            after = asyncio.ensure_future(calls.call("GET", "/objects/a"))
            await asyncio.sleep(0.1)
            reactor.connections[-1].dataReceived(COMPLETE_RESPONSE)
            await after
            return len(reactor.connections)

        self.assertEqual(run_virtually(main()), 4)
