"""Guards the sweep of idle connections to upstreams that vanished without closing them."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from fakes._virtual_loop import run_virtually
from pondhatch.transport._http_client import SWEEP_SECONDS, Address, HttpClient

ADDRESS = Address("10.0.0.1", 80)


class Idle:
    """A stand-in for an idle connection."""

    is_open = True

    def __init__(self, client: HttpClient, usable_until: float) -> None:
        self.usable_until = usable_until
        self.aborted = False
        self._client = client

    def abort(self) -> None:
        self.aborted = True
        connection: Any = self
        self._client._forget(connection)


class IdleConnectionsTest(unittest.TestCase):
    def sweep(self, *idle_seconds: float) -> tuple[list[bool], HttpClient]:
        """Return which of some idle connections a sweep closes, and the client."""

        async def main() -> tuple[list[bool], HttpClient]:
            client = HttpClient(None)
            idle: list[Any] = [Idle(client, seconds) for seconds in idle_seconds]
            for each in idle:
                client._keep_idle(ADDRESS, each)
            await asyncio.sleep(SWEEP_SECONDS + 0.1)
            return [each.aborted for each in idle], client

        return run_virtually(main())

    def test_expired_connections_are_closed(self) -> None:
        aborted, client = self.sweep(SWEEP_SECONDS / 2, SWEEP_SECONDS * 3)
        self.assertEqual(aborted, [True, False])
        self.assertEqual(len(client._idle_by_address[ADDRESS]), 1)

    def test_the_sweep_stops_when_no_connection_is_left(self) -> None:
        _, client = self.sweep(SWEEP_SECONDS / 2)
        self.assertEqual(client._idle_by_address, {})
        self.assertIsNone(client._sweep_timer)
