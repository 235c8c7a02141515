"""Guards the probe that tells a crashed upstream from a lost connection to a live one."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from pondhatch.transport._http_client import PROBE_SECONDS, Address, HttpClient

CONNECTOR: Any = None
ENGINE = Address("10.0.0.1", 8000)


class Reactor:
    """Records connection attempts; the test decides their results."""

    def __init__(self) -> None:
        self.factories: list[ClientFactory] = []
        self.timeouts: list[float] = []

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> None:
        self.factories.append(factory)
        self.timeouts.append(timeout)


class ListenProbeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.reactor = Reactor()
        self.client = HttpClient(self.reactor)

    async def start_probe(self) -> asyncio.Task[bool]:
        probe = asyncio.ensure_future(self.client.is_refused(ENGINE))
        await asyncio.sleep(0)
        return probe

    def fail(self, error: Any = None) -> None:  # type: ignore[override]
        self.reactor.factories[-1].clientConnectionFailed(CONNECTOR, Failure(error))

    async def test_only_a_refused_connection_shows_that_nothing_listens(self) -> None:
        for error, is_refused in ((ConnectionRefusedError(), True), (TimeoutError(), False)):
            probe = await self.start_probe()
            self.fail(error)
            self.assertEqual(await probe, is_refused)

    async def test_an_upstream_that_accepts_connections_does_not_refuse_them(self) -> None:
        probe = await self.start_probe()
        self.reactor.factories[-1].clientConnectionLost(CONNECTOR, Failure(ConnectionLost()))
        self.assertFalse(await probe)

    async def test_concurrent_probes_share_a_connection_and_later_ones_do_not(self) -> None:
        probes = [await self.start_probe() for _ in range(3)]
        self.assertEqual(len(self.reactor.factories), 1)
        probes.pop().cancel()
        await asyncio.sleep(0)
        self.fail(ConnectionRefusedError())
        self.assertEqual(await asyncio.gather(*probes), [True, True])
        await self.start_probe()
        self.assertEqual(len(self.reactor.factories), 2)
        self.assertEqual(self.reactor.timeouts, [PROBE_SECONDS] * 2)
