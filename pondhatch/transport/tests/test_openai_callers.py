"""Callers of the OpenAI-compatible interface, over their connections."""

from __future__ import annotations

import hashlib
import random
from typing import Any

from twisted.internet.address import IPv4Address

from pondhatch.configuration import CallerLimits, Edit, Fleet, Snapshot
from pondhatch.kernel import Tasks
from pondhatch.observing import NoMetrics
from pondhatch.requests import Opened, Ways
from pondhatch.router import Starting
from pondhatch.standard._callers import OpenAiCallers
from pondhatch.transport._caller_channel import CallerSite
from pondhatch.transport._interface import CallerParts
from pondhatch.transport.tests.test_routed_callers import (
    Answer,
    RoutedCallersTest,
    Transport,
)

KEYS = ("key-1", "kéy")
LIMITS = {
    "services": ["portal"],
    "requests_per_second": 9,
    "burst": 9,
    "concurrency": 9,
}


def _fleet() -> Fleet:
    hashes = [hashlib.sha256(key.encode()).hexdigest() for key in KEYS]
    edits = (
        Edit("service", "portal", {"kind": "plain", "prefix": "/portal/"}),
        Edit("template", "small", {"account": LIMITS}),
        Edit("account", "pina", {"template": "small", "key_hashes": hashes}),
    )
    return Fleet.from_snapshot(Snapshot(50, edits))


class OpenAiCallersTest(RoutedCallersTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.state.take_fleet(_fleet())
        parts = CallerParts(
            self.state,
            Ways(self.grants, self.upstreams),
            lambda: self.limits,
            NoMetrics(),
            self.noted,
            Tasks(),
            random.Random(1),
            Starting(self.state),
        )
        resource: Any = OpenAiCallers(parts).resource()
        site: Any = CallerSite(resource, CallerLimits)
        self.channel = site.buildProtocol(IPv4Address("TCP", "10.9.9.9", 4000))
        self.channel.callLater = self.clock.callLater
        self.wire = Transport()  # type: ignore[no-untyped-call]
        self.channel.makeConnection(self.wire)

    async def get(self, key: str = KEYS[0]) -> bytes:
        return await self.ask("GET /portal/x HTTP/1.1", f"Authorization: Bearer {key}")


class KeysTest(OpenAiCallersTest):
    async def test_a_key_of_any_characters_finds_its_account(self) -> None:
        for key in KEYS:
            with self.subTest(key=key):
                self.upstreams.replies = [Opened(Answer((b"yes!",)))]
                told = await self.get(key)
                self.assertTrue(told.startswith(b"HTTP/1.1 200"), told)

    async def test_a_key_that_is_no_text_is_unknown(self) -> None:
        await self.send(
            b"GET /portal/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer \xff\r\n\r\n"
        )
        told = self.written()
        self.assertTrue(told.startswith(b"HTTP/1.1 401"), told)
