"""Guards against peer connections that stay silent while new ones would work."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from typing import Any

from fakes._silent_relay import HOST, SilentRelay
from pondhatch.cli._ports import listen_to_peers
from pondhatch.configuration import Update
from pondhatch.membership import Address
from pondhatch.requests import KeyRecord, NewKey
from pondhatch.store import UpstreamUpdate
from pondhatch.transport import PeerService, PullReply, RemotePeer
from pondhatch.transport._dead_peers import OPTIONS

#: Seconds within which silence must be detected: far above the router's own timeouts of 1 to
#: 2 s, and far below the quarter of an hour after which the system closes a connection.
MAX_DETECTION_SECONDS = 8.0
NOTHING_NEW = PullReply(Update(), UpstreamUpdate(1, (), whole=False))
#: A key record that the test's peer ignores.
RECORD = KeyRecord("digest", "edge-0", "request-1")


class NoKeys:
    """A key holder that accepts every claim and stores nothing."""

    async def claim(self, key: str, record: Any) -> NewKey:
        return NewKey()


class AcceptedTest(unittest.TestCase):
    def test_accepted_connections_inherit_the_socket_options(self) -> None:
        listener = self.enterContext(listen_to_peers(HOST, 0))
        self.enterContext(socket.create_connection(listener.getsockname()))
        accepted = self.enterContext(listener.accept()[0])
        found = [accepted.getsockopt(level, option) for level, option, _ in OPTIONS]
        self.assertEqual(found, [value for _, _, value in OPTIONS])


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        keys: Any = NoKeys()
        server = PeerService(keys, lambda _: NOTHING_NEW, "token").server()
        listener = listen_to_peers(HOST, 0)
        await server.start(sock=listener)
        self.addCleanup(server.close)
        port: int = listener.getsockname()[1]
        self.relay = self.enterContext(SilentRelay(HOST, port))
        self.peer = RemotePeer("peer", Address(HOST, self.relay.port), "token")
        self.addCleanup(lambda: self.peer.close())

    async def test_calls_reconnect_after_silence(self) -> None:
        for acknowledging in (False, True):
            with self.subTest(acknowledging=acknowledging):
                self.assertIsNotNone(await self.peer.pull(0, 0))
                opened = self.relay.opened
                self.relay.fall_silent(acknowledging)
                started_at = time.monotonic()
                in_flight = await asyncio.gather(self.peer.pull(0, 0), self.peer.claim("k", RECORD))
                self.assertEqual(in_flight, [None, None])
                self.assertLess(time.monotonic() - started_at, MAX_DETECTION_SECONDS)
                self.assertIsNotNone(await self.peer.pull(0, 0))
                self.assertEqual(self.relay.opened, opened + 1)

    async def test_a_silent_idle_connection_is_replaced_before_the_next_call(self) -> None:
        self.assertIsNotNone(await self.peer.pull(0, 0))
        self.relay.fall_silent()
        await asyncio.sleep(MAX_DETECTION_SECONDS / 2)
        self.assertIsNotNone(await self.peer.pull(0, 0))
