"""Requests to upstreams over HTTP, in the dialect of the upstreams."""

from __future__ import annotations

import asyncio
import functools

from msgspec.structs import replace

from pondhatch.kernel import host_and_port
from pondhatch.limits import UNCOUNTED, HeldBytes
from pondhatch.observing import Metrics, NoMetrics
from pondhatch.placement import NO_NOTICE
from pondhatch.requests import (
    AnswerKind,
    AnswerStarted,
    BodySource,
    EngineRefusal,
    NoPathObserver,
    NotRun,
    NoUpstreamView,
    PathObserver,
    RequestHead,
    Target,
    Try,
    Unknown,
    UpstreamDialect,
    UpstreamView,
    deadline_passed,
    is_event_stream,
    new_try,
)
from pondhatch.transport._answer_judge import (
    NoSurplusObserver,
    SurplusObserver,
    UpstreamAnswerJudge,
)
from pondhatch.transport._connecting import Address, NotSent
from pondhatch.transport._dead_peers import UNACKNOWLEDGED_MS, UNREPEATABLE_UNACKNOWLEDGED_MS
from pondhatch.transport._exchange import Exchange
from pondhatch.transport._header_owners import dropped_header_counter
from pondhatch.transport._hooks import IDLE_CONNECTIONS, Hooks
from pondhatch.transport._http_client import HttpClient
from pondhatch.transport._http_heads import Request, ResponseHead
from pondhatch.transport._listen_probe import Listening
from pondhatch.transport._upstream_answer import UpstreamAnswer

OK = 200
#: URLs whose parsed address is cached: twice the number of upstreams that the design allows
#: for. Parsing one costs more than the rest of the search for an idle connection.
MAX_CACHED_URLS = 4096


class _NotSendable(Exception):
    """A request may no longer be sent, by what was learned since its grant."""

    def __init__(self, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class HttpUpstreams:
    """Sends requests to upstreams over pooled connections; see Upstreams."""

    def __init__(
        self,
        client: HttpClient,
        dialect: UpstreamDialect,
        metrics: Metrics | None = None,
        view: UpstreamView | None = None,
        held: HeldBytes | None = None,
        paths: PathObserver | None = None,
        surplus_observer: SurplusObserver | None = None,
    ) -> None:
        self.client = client
        #: Counts the bytes buffered here for callers and upstreams.
        self._held = held or HeldBytes()
        self._dialect = dialect
        self._view = view or NoUpstreamView()
        self._paths = paths or NoPathObserver()
        self._surplus_observer = surplus_observer or NoSurplusObserver()
        self._note_dropped = dropped_header_counter(metrics or NoMetrics())

    async def send(
        self, target: Target, head: RequestHead, body: BodySource, patience: float | None = None
    ) -> AnswerStarted | NotRun | Unknown:
        """Make one attempt at a request; see DirectUpstreams."""
        attempt = new_try(target.name)
        deadline = asyncio.get_running_loop().time() + head.deadline
        request = Request(head.method, head.path, self._dialect.request_headers(head, target))
        judge = self._new_judge(target, head)
        exchange: Exchange | None = None
        try:
            async with asyncio.timeout_at(deadline):
                address = _address_of(target.url)
                exchange = await self.client.send(
                    address,
                    request,
                    body,
                    _is_reusable(head),
                    head.needs_new_connection,
                    self._hooks(target, head, patience, judge, deadline),
                )
                attempt.sent()
                response = await exchange.head
        except NotSent as error:
            self._paths.record_failure(target.name)
            return _refusal(attempt, str(error))
        except _NotSendable as error:
            return error.refusal
        except TimeoutError:
            return self._abandon(exchange, attempt, "no answer before the deadline")
        except ConnectionError as error:
            outcome = self._abandon(exchange, attempt, str(error))
            return (
                replace(outcome, connection_lost=True) if isinstance(outcome, Unknown) else outcome
            )
        except BaseException:
            if exchange is not None:
                exchange.cancel()
            raise
        try:
            return self._start_answer(exchange, response, head, attempt, judge, deadline)
        except BaseException:
            # Only this call holds a reference to the exchange so far.
            exchange.cancel()
            raise

    def has_connection(self, target: Target, head: RequestHead) -> bool:
        """Return whether an open connection may carry a request; see DirectUpstreams."""
        if head.needs_new_connection:
            return False
        valid_since = self._paths.connections_valid_since(target.name)
        try:
            address = _address_of(target.url)
        except NotSent:
            return False
        awaited = self._dialect.awaited(head)
        return self.client.has_reusable(address, _is_reusable(head), valid_since, awaited)

    def reconnect(self, target: Target) -> None:
        """Open a connection to an upstream in the background; see DirectUpstreams."""
        try:
            address = _address_of(target.url)
        except NotSent:
            return
        self.client.connect_in_background(address, self._connection_hooks(target))

    def _connection_hooks(self, target: Target) -> Hooks:
        """Return the options of new connections to an upstream."""
        return Hooks(
            on_connected=lambda: self._paths.record_connection(target.name),
            to_upstream=True,
            max_idle=_max_idle(target),
        )

    def _new_judge(self, target: Target, head: RequestHead) -> UpstreamAnswerJudge:
        """Return the judge of the answers to one request."""

        def receive_own_head(answered: ResponseHead) -> None:
            self._paths.record_answer()
            self._receive_notice(target, answered)

        return UpstreamAnswerJudge(
            self._dialect, head, target.name, self._surplus_observer, receive_own_head
        )

    def _hooks(
        self,
        target: Target,
        head: RequestHead,
        patience: float | None,
        judge: UpstreamAnswerJudge,
        deadline: float,
    ) -> Hooks:
        """Return the callbacks and options of one request."""
        return replace(
            self._connection_hooks(target),
            judge=judge,
            deadline_seconds=head.deadline,
            before_send=lambda: self._check_sendable(target, head, deadline),
            new_counter=lambda: self._held.counter(head.account),
            patience=patience,
            max_silent_ms=UNACKNOWLEDGED_MS if head.repeatable else UNREPEATABLE_UNACKNOWLEDGED_MS,
            valid_since=self._paths.connections_valid_since(target.name),
        )

    def is_pooled(self, url: str) -> bool:
        """Return whether a reusable idle connection to an upstream exists."""
        try:
            address = _address_of(url)
        except NotSent:
            return False
        return self.client.has_idle(address)

    async def refuses_connections(self, target: Target) -> bool:
        """Return whether an upstream refuses connections, as a crashed one does; see CrashGuard."""
        try:
            address = _address_of(target.url)
        except NotSent:
            return False
        return await self.client.is_refused(address)

    async def accepts_connections(self, target: Target) -> bool:
        """Return whether something listens at an upstream's address; see CrashProbe."""
        try:
            address = _address_of(target.url)
        except NotSent:
            return False
        return await self.client.probe(address) is Listening.ACCEPTED

    def _check_sendable(self, target: Target, head: RequestHead, deadline: float) -> None:
        """Raise _NotSendable if a request may no longer be sent to its upstream.

        The timeout at its deadline is not enough: after a standstill of this process, a connection
        is found open, and the request written, before any timer has run.
        """
        is_late = asyncio.get_running_loop().time() >= deadline
        refusal = deadline_passed() if is_late else self._view.closed(target.name, head)
        if refusal is not None:
            raise _NotSendable(refusal)

    def _receive_notice(self, target: Target, response: ResponseHead) -> None:
        """Process the upstream's state reported by a response, whatever the request's outcome."""
        notice = self._dialect.notice(response.status, response.value_by_name)
        if notice is not NO_NOTICE:
            self._view.record_refusal_limit(target.name, notice.refusal_limit)
        if notice or notice.pace:
            self._view.receive_notice(target.name, notice)

    def _abandon(self, exchange: Exchange | None, attempt: Try, reason: str) -> NotRun | Unknown:
        if exchange is not None:
            exchange.cancel()
        return _refusal(attempt, reason)

    def _start_answer(
        self,
        exchange: Exchange,
        response: ResponseHead,
        head: RequestHead,
        attempt: Try,
        judge: UpstreamAnswerJudge,
        deadline: float,
    ) -> AnswerStarted | NotRun | Unknown:
        if isinstance(judge.proof, EngineRefusal):
            attempt.refused(judge.proof)
            exchange.cancel()
            return _refusal(attempt, judge.description)
        if judge.proof is not AnswerKind.ANSWERED:
            attempt.crossed()
            exchange.cancel()
            return _refusal(attempt, judge.description)
        attempt.head()
        headers = self._dialect.answer_headers(response.headers, self._note_dropped)
        streams = response.status == OK and is_event_stream(headers)
        last_event = self._dialect.last_event(head) if streams else None
        return AnswerStarted(
            UpstreamAnswer(exchange, response.status, headers, attempt, deadline),
            framing=response.framing(head.method),
            event_counter=self._held.counter(head.account) if streams else UNCOUNTED,
            last_event=last_event,
        )


def _is_reusable(head: RequestHead) -> bool:
    """Return whether a request may be sent on any connection that is kept open."""
    return head.repeatable and not head.needs_new_connection


def _max_idle(target: Target) -> int:
    """Return the maximum number of idle connections to an upstream."""
    return (
        IDLE_CONNECTIONS
        if target.max_idle_connections is None
        else min(target.max_idle_connections, IDLE_CONNECTIONS)
    )


@functools.lru_cache(maxsize=MAX_CACHED_URLS)
def _address_of(url: str) -> Address:
    """Return the address of an upstream. Raises NotSent if its URL is invalid."""
    found = host_and_port(url.removeprefix("http://").rstrip("/"))
    if found is None:
        # The request goes to another upstream: the entry is at fault, not the caller.
        raise NotSent(f"{url!r} names no host and port")
    return Address(*found)


def _refusal(attempt: Try, reason: str) -> NotRun | Unknown:
    outcome = attempt.lost(reason)
    if not isinstance(outcome, NotRun | Unknown):
        raise TypeError(f"a request without an answer cannot end as {outcome}")
    return outcome
