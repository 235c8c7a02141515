"""Calls to the platform's store are bounded, whatever makes them."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from fakes._virtual_loop import run_virtually
from pondhatch.transport import CallFailed, StoreCalls
from pondhatch.transport._http_client import HttpClient, NotSent
from pondhatch.transport._store_calls import CALLS_AT_ONCE, CALLS_PER_SECOND
from pondhatch.transport.tests.test_header_bytes import Reactor
from pondhatch.transport.tests.test_http_client import WHOLE


class OutOfReach:
    """A client that reaches nothing, at once."""

    def __init__(self) -> None:
        self.sent = 0

    async def send(self, *arguments: Any, **named: Any) -> Any:
        self.sent += 1
        raise NotSent("refused")


class BoundedTest(unittest.TestCase):
    def test_a_loop_without_pauses_is_held_to_the_rate(self) -> None:
        async def main() -> int:
            client: Any = OutOfReach()
            calls = StoreCalls(client, "http://127.0.0.1:1")

            async def press() -> None:
                while True:
                    try:
                        await calls.call("GET", "/objects/a")
                    except CallFailed:
                        await asyncio.sleep(0)

            pressing = [asyncio.ensure_future(press()) for _ in range(3)]
            await asyncio.sleep(10)
            for each in pressing:
                each.cancel()
            self.assertEqual(calls.made, client.sent)
            return calls.made

        most = CALLS_AT_ONCE + 10 * CALLS_PER_SECOND
        self.assertLessEqual(run_virtually(main()), most)
        self.assertGreater(run_virtually(main()), most - 5)


class SwallowedTest(unittest.TestCase):
    def test_one_unanswered_call_is_enough_to_leave_all_that_stood_idle(self) -> None:
        async def main() -> int:
            reactor = Reactor()
            calls = StoreCalls(HttpClient(reactor), "http://127.0.0.1:1")
            together = [asyncio.ensure_future(calls.call("GET", "/objects/a")) for _ in range(3)]
            await asyncio.sleep(0.1)
            for connection in reactor.connections:
                connection.dataReceived(WHOLE)
            await asyncio.gather(*together)
            await asyncio.sleep(0.1)
            with self.assertRaises(CallFailed):
                await calls.call("GET", "/objects/a")
            after = asyncio.ensure_future(calls.call("GET", "/objects/a"))
            await asyncio.sleep(0.1)
            reactor.connections[-1].dataReceived(WHOLE)
            await after
            return len(reactor.connections)

        self.assertEqual(run_virtually(main()), 4)
