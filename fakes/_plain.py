"""Stand-in for a plain service; counts the calls that it ran.

A call is answered with its own body; ``/.../large/BYTES`` with that many bytes;
``/.../headers`` lists the names of the received headers in ``X-Told`` and sets a header that
only routers may set. Faults: ``stall`` (delay the answer by ``seconds``), ``cut`` (run the
call, then break the connection), ``refuse``, ``throttle``, ``misaddress`` (not run; see Faults),
``twice-before-next``, ``twice-late``, ``twice-for-same-id`` and ``twice-at-once`` (send an answer a
second time; see SurplusAnswers).
"""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections import Counter
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred

from fakes._faults import Faults
from fakes._surplus import SurplusAnswers
from pondhatch.kernel import as_deferred

#: Bytes written at a time of a large answer.
CHUNK_BYTES = 32 * 1024


class LargeAnswerProducer:
    """Writes a large answer as fast as the caller reads it, and counts the bytes written."""

    def __init__(self, request: Any, size: int) -> None:
        self.written = 0
        self.ended: Deferred[None] = Deferred()
        self._request = request
        self._remaining = size
        request.registerProducer(self, False)

    def resumeProducing(self) -> None:
        chunk = b"x" * min(CHUNK_BYTES, self._remaining)
        self._remaining -= len(chunk)
        self.written += len(chunk)
        self._request.write(chunk)
        if self._remaining == 0:
            self._request.unregisterProducer()
            self.ended.callback(None)

    def stopProducing(self) -> None:
        if not self.ended.called:
            self.ended.callback(None)


class PlainService:
    """One instance of a plain service."""

    def __init__(self, name: str, idle_seconds: int = 0) -> None:
        self.name = name
        #: How long it states to keep idle connections; 0 to state nothing.
        self.idle_seconds = idle_seconds
        self.faults = Faults()
        self.surplus = SurplusAnswers(self.faults)
        #: Number of runs of each call, by the caller's X-Call-Id or else by path.
        self.calls: Counter[str] = Counter()
        #: Producer of the latest answer under ``/large``.
        self.producer: LargeAnswerProducer | None = None
        self.app = Klein()
        self._route()

    def _route(self) -> None:
        @self.app.route("/calls")
        def calls(request: Any) -> bytes:
            written = self.producer.written if self.producer is not None else 0
            return json.dumps({"calls": self.calls, "written": written}).encode()

        self.faults.add_route(self.app)
        self.surplus.add_route(self.app)

        @self.app.route("/", branch=True)
        def call(request: Any) -> Deferred[bytes | None]:
            return as_deferred(self._call(request))

    async def _call(self, request: Any) -> bytes:
        request.setHeader("X-Request-Id", request.getHeader("x-request-id") or "none")
        if self.idle_seconds:
            request.setHeader("Keep-Alive", f"timeout={self.idle_seconds}")
        refusal = self.faults.consume_refusal()
        if refusal is not None:
            request.setResponseCode(refusal)
            request.setHeader("X-Not-Run", "1")
            return b""
        self.calls[request.getHeader("x-call-id") or request.path.decode()] += 1
        if fault := self.faults.consume("stall"):
            await asyncio.sleep(fault.seconds)
        if self.faults.consume("cut"):
            request.channel.forceAbortClient()
            return b""
        if b"/large/" in request.path:
            self.producer = LargeAnswerProducer(request, int(request.path.rsplit(b"/", 1)[1]))
            await self.producer.ended.asFuture(asyncio.get_running_loop())
            return b""
        if request.path.endswith(b"/headers"):
            request.setHeader("X-Told", _header_names(request))
            request.setHeader("X-Pondhatch-Outcome", "not-run")
        content: bytes = request.content.read()
        request.setHeader("X-Upstream", self.name)
        request.setHeader("X-Body-Digest", hashlib.sha256(content).hexdigest())
        return content or f"{self.name} {request.method.decode()} {request.uri.decode()}".encode()


def _header_names(request: Any) -> str:
    """Return the names of the received headers, one for each value."""
    raw_headers = request.requestHeaders.getAllRawHeaders()
    return ",".join(name.decode().lower() for name, values in raw_headers for _ in values)
