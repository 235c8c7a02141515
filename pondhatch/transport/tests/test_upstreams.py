from __future__ import annotations

import unittest
from typing import Any

from pondhatch.placement import OPEN
from pondhatch.platform._engines import EngineDialect
from pondhatch.requests import NotRun, ReplayableBody, RequestHead, Target
from pondhatch.transport import HttpClient, HttpUpstreams


class WrongAddressTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_for_an_upstream_without_address_may_go_elsewhere(self) -> None:
        reactor: Any = None
        upstreams = HttpUpstreams(HttpClient(reactor), EngineDialect())
        head = RequestHead("1", "a", "lang", 0, "GET", "/", (), True, 1.0, 5)
        for url in ("", "http://", "http://nowhere", "http://10.0.0.1:99999"):
            with self.subTest(url=url):
                target = Target("i-1", url, OPEN, 1.5, 3, 64)
                found = await upstreams.send(target, head, ReplayableBody(b""))
                self.assertIsInstance(found, NotRun)
