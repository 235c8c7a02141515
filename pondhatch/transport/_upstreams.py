"""Requests to upstreams over HTTP, in whatever dialect they speak."""

from __future__ import annotations

import asyncio
import functools

from msgspec.structs import replace

from pondhatch.kernel import host_and_port
from pondhatch.limits import HeldBytes
from pondhatch.observing import Metrics, NoMetrics
from pondhatch.requests import (
    AnswerKind,
    AnswerLost,
    AnswerStarted,
    BodySource,
    Broken,
    EngineRefusal,
    Headers,
    NotRun,
    NoUpstreamView,
    PartSink,
    RequestHead,
    Target,
    Try,
    Unknown,
    UpstreamDialect,
    UpstreamView,
    is_event_stream,
    new_try,
)
from pondhatch.transport._header_owners import counting
from pondhatch.transport._http_client import (
    IDLE_CONNECTIONS,
    Address,
    Hooks,
    HttpClient,
    NotSent,
)
from pondhatch.transport._http_connection import Exchange
from pondhatch.transport._http_heads import Request, ResponseHead

OK = 200
#: Bytes of an answer's end that are searched for the last event.
TAIL_BYTES = 64
#: URLs of which the address is kept: those of twice the upstreams of the size to design for.
#: Reading one costs more than the rest of a look for a kept connection.
URLS_KEPT = 4096


class _TailSink:
    """Passes parts on, and remembers how the answer ends; see PartSink."""

    def __init__(self, sink: PartSink) -> None:
        self.tail = b""
        self._sink = sink
        self.ready = sink.ready

    def write(self, part: bytes) -> bool:
        self.tail = (self.tail + part)[-TAIL_BYTES:]
        return self._sink.write(part)


class _ClosedMeanwhile(Exception):
    """The upstream was closed to a request while a connection to it was opened."""

    def __init__(self, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class UpstreamAnswer:
    """An answer read from an upstream's connection; see AnswerStream."""

    def __init__(
        self,
        exchange: Exchange,
        status: int,
        headers: Headers,
        tried: Try,
        deadline: float,
        last_event: bytes | None,
    ) -> None:
        self.status: int = status
        self.headers = headers
        self._exchange = exchange
        self._try = tried
        #: The event without which the answer is not whole.
        self._last_event = last_event
        self._has_expired = False
        #: One timer for the whole answer costs less than one for each part.
        self._timer = asyncio.get_running_loop().call_at(deadline, self._expire)

    async def stream_to(self, sink: PartSink) -> None:
        """Hand every part to a sink; see AnswerStream."""
        watched = _TailSink(sink) if self._last_event is not None else None
        try:
            await self._exchange.pipe.pour(watched or sink)
        except ConnectionError as error:
            raise self._lost(str(error), was_cut=not self._has_expired) from error
        if watched is not None and self._last_event and self._last_event not in watched.tail:
            raise self._lost("the stream ended without its last event")
        self._timer.cancel()
        self._try.ended()

    def cancel(self) -> None:
        """Close the connection unless the answer was read to its end."""
        self._timer.cancel()
        self._exchange.cancel()

    def _expire(self) -> None:
        self._has_expired = True
        self._exchange.pipe.fail(ConnectionError("the deadline passed"))
        self._exchange.cancel()

    def _lost(self, reason: str, was_cut: bool = False) -> AnswerLost:
        outcome = self._try.lost(reason)
        if not isinstance(outcome, Broken):
            raise TypeError(f"an answer cannot be lost as {outcome}")
        return AnswerLost(replace(outcome, connection_lost=was_cut))


class HttpUpstreams:
    """Connections to upstreams; see Upstreams."""

    def __init__(
        self,
        client: HttpClient,
        dialect: UpstreamDialect,
        metrics: Metrics | None = None,
        view: UpstreamView | None = None,
        held: HeldBytes | None = None,
    ) -> None:
        self.client = client
        #: Counts what waits here for callers and upstreams.
        self._held = held or HeldBytes()
        self._dialect = dialect
        self._view = view or NoUpstreamView()
        self._note_dropped = counting(metrics or NoMetrics())

    async def send(
        self, target: Target, head: RequestHead, body: BodySource
    ) -> AnswerStarted | NotRun | Unknown:
        """Send a request once; see Upstreams."""
        tried = new_try(target.name)
        deadline = asyncio.get_running_loop().time() + head.deadline
        request = Request(head.method, head.path, self._dialect.request_headers(head, target))
        exchange: Exchange | None = None
        try:
            async with asyncio.timeout_at(deadline):
                address = _address_of(target.url)
                reusable = head.repeatable and not head.needs_new_connection
                exchange = await self.client.send(
                    address,
                    request,
                    body,
                    reusable,
                    head.needs_new_connection,
                    Hooks(
                        trusts=lambda answered: (
                            self._judge(head, answered) is not AnswerKind.CROSSED
                        ),
                        heard=lambda answered: self._hear(target, answered),
                        check=lambda: self._check(target, head),
                        new_counter=lambda: self._held.counter(head.account),
                        to_upstream=True,
                        most_idle=_most_idle(target),
                    ),
                )
                tried.sent()
                answered = await exchange.head
        except NotSent as error:
            return _refusal(tried, str(error))
        except _ClosedMeanwhile as closed:
            return closed.refusal
        except TimeoutError:
            return self._gave_up(exchange, tried, "no answer before the deadline")
        except ConnectionError as error:
            lost = self._gave_up(exchange, tried, str(error))
            return replace(lost, connection_lost=True) if isinstance(lost, Unknown) else lost
        except BaseException:
            if exchange is not None:
                exchange.cancel()
            raise
        try:
            return self._opened(exchange, answered, head, tried, deadline)
        except BaseException:
            # Nobody but this call knows of the exchange yet.
            exchange.cancel()
            raise

    def is_pooled(self, url: str) -> bool:
        """Return whether a connection to an upstream is kept that may be used again."""
        try:
            address = _address_of(url)
        except NotSent:
            return False
        return self.client.has_idle(address)

    async def has_ended(self, target: Target) -> bool:
        """Return whether nothing listens at an upstream any more; see CrashGuard."""
        try:
            address = _address_of(target.url)
        except NotSent:
            return False
        return await self.client.is_refused(address)

    def _check(self, target: Target, head: RequestHead) -> None:
        """Raise _ClosedMeanwhile where a request may not be sent to its upstream any more."""
        refusal = self._view.closed(target.name, head)
        if refusal is not None:
            raise _ClosedMeanwhile(refusal)

    def _hear(self, target: Target, answered: ResponseHead) -> None:
        """Take in what an answer says of its upstream, whatever it says of the request."""
        notice = self._dialect.notice(answered.status, answered.value_by_name)
        if notice or notice.pace:
            self._view.receive_notice(target.name, notice)

    def _judge(self, head: RequestHead, answered: ResponseHead) -> AnswerKind | EngineRefusal:
        return self._dialect.judge(head, answered.status, answered.value_by_name)

    def _gave_up(self, exchange: Exchange | None, tried: Try, reason: str) -> NotRun | Unknown:
        if exchange is not None:
            exchange.cancel()
        return _refusal(tried, reason)

    def _opened(
        self,
        exchange: Exchange,
        answered: ResponseHead,
        head: RequestHead,
        tried: Try,
        deadline: float,
    ) -> AnswerStarted | NotRun | Unknown:
        judged = self._judge(head, answered)
        if judged is AnswerKind.CROSSED:
            tried.crossed()
            exchange.cancel()
            return _refusal(tried, "the answer belongs to another request")
        if isinstance(judged, EngineRefusal):
            tried.refused(judged)
            exchange.cancel()
            return _refusal(tried, f"answered {answered.status}")
        tried.head()
        headers = self._dialect.answer_headers(answered.headers, self._note_dropped)
        streams = answered.status == OK and is_event_stream(headers)
        last_event = self._dialect.last_event(head) if streams else None
        return AnswerStarted(
            UpstreamAnswer(exchange, answered.status, headers, tried, deadline, last_event)
        )


def _most_idle(target: Target) -> int:
    """Return how many idle connections are kept to an upstream at most."""
    return (
        IDLE_CONNECTIONS
        if target.max_idle_connections is None
        else min(target.max_idle_connections, IDLE_CONNECTIONS)
    )


@functools.lru_cache(maxsize=URLS_KEPT)
def _address_of(url: str) -> Address:
    """Return where an upstream is reached. Raises NotSent where its URL does not say."""
    found = host_and_port(url.removeprefix("http://").rstrip("/"))
    if found is None:
        # The request goes elsewhere: whoever listed the upstream is at fault, not the caller.
        raise NotSent(f"{url!r} names no host and port")
    return Address(*found)


def _refusal(tried: Try, reason: str) -> NotRun | Unknown:
    outcome = tried.lost(reason)
    if not isinstance(outcome, NotRun | Unknown):
        raise TypeError(f"a request without an answer cannot end as {outcome}")
    return outcome
