"""Requests to upstreams over HTTP.

Uses twisted's Agent, which treq wraps: treq itself keeps one cookie jar for all
and unpacks gzip, so that one caller's cookies could reach another and answers
would not pass unchanged. The pool must never repeat a request by itself.
"""

from __future__ import annotations

import asyncio
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import RequestNotSent, RequestTransmissionFailed
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers as WireHeaders
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

from pondhatch.kernel import as_future
from pondhatch.requests import (
    LAST_EVENT,
    BodySource,
    Broken,
    Headers,
    Lost,
    NotRun,
    Opened,
    PartSink,
    RequestHead,
    Target,
    Try,
    Unknown,
    is_event_stream,
    new_try,
)
from pondhatch.transport._parts import PartPipe

#: Header that binds an answer to its request.
REQUEST_ID_HEADER = "X-Request-Id"
#: Header by which an upstream says that it did not run a request.
NOT_RUN_HEADER = "X-Not-Run"
#: Seconds to wait for a connection to an upstream.
CONNECT_SECONDS = 1.0
#: Idle connections kept for each upstream.
IDLE_CONNECTIONS = 64
#: Seconds for which an idle connection is kept.
IDLE_SECONDS = 30
#: Errors after which certainly nothing was sent.
NOT_SENT = (ConnectError, ConnectTimeout, RequestNotSent)
OK = 200
#: Bytes of an answer's end that are searched for the last event.
TAIL_BYTES = 64
#: Headers that belong to one connection and are never passed on.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)


@implementer(IBodyProducer)
class _BodyProducer:
    """Feeds a BodySource to a connection, at the connection's pace."""

    def __init__(self, body: BodySource) -> None:
        self.length: Any = UNKNOWN_LENGTH if body.length is None else body.length
        self._body = body
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._task: asyncio.Task[None] | None = None
        self._ended: Deferred[None] = Deferred()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        self._task = asyncio.ensure_future(self._run(consumer))
        return self._ended

    def pauseProducing(self) -> None:
        self._flowing.clear()

    def resumeProducing(self) -> None:
        self._flowing.set()

    def stopProducing(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self, consumer: Any) -> None:
        """Pump and tell the connection; once stopped, it must not be told."""
        try:
            await self._pump(consumer)
        except Exception:
            self._ended.errback(Failure())
        else:
            self._ended.callback(None)

    async def _pump(self, consumer: Any) -> None:
        left = self._body.length
        while left != 0 and (part := await self._body.read()):
            consumer.write(part)
            left = left - len(part) if left is not None else None
            await self._flowing.wait()


class _AnswerProtocol(Protocol):
    """Receives an answer's body into a pipe."""

    transport: Any

    def __init__(self) -> None:
        self.pipe = PartPipe(self._pause, self._resume)
        self._stopped = False

    def dataReceived(self, data: bytes) -> None:
        self.pipe.put(data)

    def connectionLost(self, reason: Failure = Failure(ConnectError())) -> None:  # noqa: B008
        if reason.check(ResponseDone):
            self.pipe.end()
            return
        self.pipe.fail(ConnectionError(reason.getErrorMessage() or "cut"))

    def stop(self) -> None:
        """Close the connection; the upstream sees that its caller is gone."""
        if self._stopped or self.pipe.ended or self.transport is None:
            return
        self._stopped = True
        self.transport.loseConnection()

    def _pause(self) -> None:
        if self.transport is not None:
            self.transport.pauseProducing()

    def _resume(self) -> None:
        if self.transport is not None:
            self.transport.resumeProducing()


class _TailSink:
    """Passes parts on, and remembers how the answer ends; see PartSink."""

    def __init__(self, sink: PartSink) -> None:
        self.tail = b""
        self._sink = sink
        self.ready = sink.ready

    def write(self, part: bytes) -> bool:
        self.tail = (self.tail + part)[-TAIL_BYTES:]
        return self._sink.write(part)


class UpstreamAnswer:
    """An answer read from an upstream's connection; see AnswerStream."""

    def __init__(
        self, response: Any, headers: Headers, tried: Try, deadline: float, chat: bool
    ) -> None:
        self.status: int = response.code
        self.headers = headers
        self._try = tried
        self._protocol = _AnswerProtocol()
        #: Whether the answer is whole only with its last event.
        self._needs_last = chat and response.code == OK and is_event_stream(headers)
        #: One timer for the whole answer costs less than one for each part.
        self._timer = asyncio.get_running_loop().call_at(deadline, self._expire)
        response.deliverBody(self._protocol)

    async def pour(self, sink: PartSink) -> None:
        """Hand every part to a sink; see AnswerStream."""
        watched = _TailSink(sink) if self._needs_last else None
        try:
            await self._protocol.pipe.pour(watched or sink)
        except ConnectionError as error:
            raise self._lost(str(error)) from error
        if watched is not None and LAST_EVENT not in watched.tail:
            raise self._lost("the stream ended without its last event")
        self._timer.cancel()
        self._try.ended()

    def cancel(self) -> None:
        """Close the connection unless the answer was read to its end."""
        self._timer.cancel()
        self._protocol.stop()

    def _expire(self) -> None:
        self._protocol.pipe.fail(ConnectionError("the deadline passed"))
        self._protocol.stop()

    def _lost(self, reason: str) -> Lost:
        outcome = self._try.lost(reason)
        if not isinstance(outcome, Broken):
            raise TypeError(f"an answer cannot be lost as {outcome}")
        return Lost(outcome)


class HttpUpstreams:
    """Connections to upstreams; see Upstreams."""

    def __init__(self, reactor: Any) -> None:
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = IDLE_CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_SECONDS
        pool.retryAutomatically = False
        self._pooled = Agent(reactor, connectTimeout=CONNECT_SECONDS, pool=pool)
        #: An idle connection may be closing; what must not run twice gets a fresh one.
        self._fresh = Agent(reactor, connectTimeout=CONNECT_SECONDS)

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> Opened | NotRun | Unknown:
        """Send a request once; see Upstreams."""
        tried = new_try(target.name)
        agent = self._pooled if head.repeatable and not head.fresh else self._fresh
        deadline = asyncio.get_running_loop().time() + head.deadline
        has_body = body.length is None or body.length > 0
        producer: Any = _BodyProducer(body) if has_body else None
        asked = agent.request(
            head.method.encode(),
            (target.url + head.path).encode(),
            _wire_headers(head),
            producer,
        )
        try:
            async with asyncio.timeout_at(deadline):
                response = await as_future(asked)
        except NOT_SENT as error:
            return _refusal(tried, type(error).__name__)
        except (TimeoutError, CancelledError):
            tried.sent()
            return _refusal(tried, "no answer before the deadline")
        except RequestTransmissionFailed as error:
            # The connection was closing as it was taken, by a stray answer or by its idle time.
            tried.sent()
            tried.crossed()
            return _refusal(tried, _reason(error))
        except Exception as error:
            tried.sent()
            return _refusal(tried, _reason(error))
        tried.sent()
        return self._opened(response, head, tried, deadline)

    def _opened(
        self, response: Any, head: RequestHead, tried: Try, deadline: float
    ) -> Opened | NotRun | Unknown:
        headers = _answer_headers(response)
        own = {name.lower(): value for name, value in headers}
        if NOT_RUN_HEADER.lower() in own:
            tried.refused()
            _drop(response)
            return _refusal(tried, f"answered {response.code}, not run")
        answered = own.get(REQUEST_ID_HEADER.lower())
        if answered != head.request_id and (answered is not None or head.chat):
            tried.crossed()
            _drop(response)
            return _refusal(tried, "the answer belongs to another request")
        tried.head()
        return Opened(UpstreamAnswer(response, headers, tried, deadline, head.chat != 0))


def _refusal(tried: Try, reason: str) -> NotRun | Unknown:
    outcome = tried.lost(reason)
    if not isinstance(outcome, NotRun | Unknown):
        raise TypeError(f"a request without an answer cannot end as {outcome}")
    return outcome


def _reason(error: Exception) -> str:
    reasons = getattr(error, "reasons", None)
    inner = reasons[0].getErrorMessage() if reasons else str(error)
    return f"{type(error).__name__}: {inner}"


def _drop(response: Any) -> None:
    """Close the connection an unwanted answer came on; it cannot be trusted again."""
    protocol = _AnswerProtocol()
    response.deliverBody(protocol)
    protocol.stop()


def _wire_headers(head: RequestHead) -> WireHeaders:
    headers = WireHeaders()
    for name, value in head.headers:
        if name.lower() not in HOP_HEADERS:
            headers.addRawHeader(name, value)
    headers.setRawHeaders(REQUEST_ID_HEADER, [head.request_id])
    headers.setRawHeaders("X-Priority", [str(head.priority)])
    return headers


def _answer_headers(response: Any) -> Headers:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
        if name.decode("latin-1").lower() not in HOP_HEADERS - {"content-length"}
    )
