"""A bare relay, the baseline of a router's cost: the same libraries, but no decisions.

``python -m bench._bare_relay URL`` forwards every request to URL.
"""

from __future__ import annotations

import sys
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool
from twisted.web.http_headers import Headers

from pondhatch.kernel import install_reactor


class _AnswerForwarder(Protocol):
    """Forwards the body of an answer to a caller as it arrives."""

    def __init__(self, request: Any) -> None:
        self.ended: Deferred[None] = Deferred()
        self._request = request

    def dataReceived(self, data: bytes) -> None:
        self._request.write(data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.ended.callback(None)


def main(target: str) -> None:
    """Serve until killed."""
    install_reactor()
    from twisted.internet import reactor as installed
    from twisted.web.server import Site

    reactor: Any = installed
    agent = Agent(reactor, pool=HTTPConnectionPool(reactor))
    app = Klein()

    @app.route("/", branch=True)
    async def relay(request: Any) -> None:
        headers = Headers({"X-Request-Id": ["bare"], "Content-Type": ["application/json"]})
        url = target.encode() + request.uri
        body: Any = FileBodyProducer(request.content)
        response: Any = await agent.request(request.method, url, headers, body)
        request.setResponseCode(response.code)
        request.setHeader("Content-Type", "text/event-stream")
        forwarder = _AnswerForwarder(request)
        response.deliverBody(forwarder)
        await forwarder.ended

    site = Site(app.resource())
    site.log = lambda request: None  # type: ignore[method-assign]
    bound = reactor.listenTCP(0, site, interface="127.0.0.1")
    print(f"listening {bound.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1])
