"""What callers speak to: the OpenAI-compatible API and the plain services."""

from __future__ import annotations

import math
import time
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.iweb import IRequest

from pondhatch.configuration import CallerLimits
from pondhatch.kernel import as_deferred
from pondhatch.observing import Metrics, log_for
from pondhatch.requests import (
    AnswerStream,
    BodySource,
    CallerGone,
    DecisionNote,
    Headers,
    Lost,
    MalformedChat,
    NotRun,
    Patience,
    Placed,
    Refusal,
    ReplayableBody,
    RequestHead,
    Walk,
    read_chat,
)
from pondhatch.router import Account, Admitted, RouterState, admit, identify, service_of_path
from pondhatch.transport._caller_channel import CallerBody, CallerRequest, CallerWriter

log = log_for("callers")

CHAT_PATH = "/v1/chat/completions"
#: Tells a caller whether its request ran: "not-run" or "unknown".
OUTCOME_HEADER = b"X-Pondhatch-Outcome"
REQUEST_ID_HEADER = b"X-Request-Id"
BAD_REQUEST = 400
TOO_LARGE = 413
#: Caller's headers that are not an upstream's business.
PRIVATE_HEADERS = frozenset({"authorization", "cookie", "x-request-id", "x-priority"})


@dataclass(frozen=True)
class Work:
    """A request that was counted in, ready to be placed."""

    account: Account
    admitted: Admitted
    head: RequestHead
    body: BodySource
    patience: Patience


Prepare = Callable[[CallerRequest, Account], Awaitable[Work | NotRun]]


class Callers:
    """Handles callers' requests."""

    def __init__(self, state: RouterState, limits: CallerLimits, metrics: Metrics) -> None:
        self._state = state
        self._limits = limits
        self._metrics = metrics
        #: Requests that have not ended; a stopping router waits for them.
        self.in_flight = 0
        self.app = Klein()
        self._route()

    def _route(self) -> None:
        @self.app.route(CHAT_PATH, methods=["POST"])
        def chat(request: IRequest) -> Deferred[None]:
            return as_deferred(self._serve(request, self._prepare_chat))

        @self.app.route("/v1/models", methods=["GET"])
        def models(request: IRequest) -> bytes:
            return self._models(request)

        @self.app.route("/healthz", methods=["GET"])
        def health(request: Any) -> bytes:
            request.setResponseCode(503 if self._state.stopping() else 200)
            return b"stopping\n" if self._state.stopping() else b"ok\n"

        @self.app.route("/", branch=True)
        def plain(request: IRequest) -> Deferred[None]:
            return as_deferred(self._serve(request, self._prepare_plain))

    async def _serve(self, request: Any, prepare: Prepare) -> None:
        started = time.monotonic()
        self.in_flight += 1
        try:
            account = identify(self._state, _header(request, "Authorization"))
            found = account if isinstance(account, NotRun) else await prepare(request, account)
            if isinstance(found, NotRun):
                self._refuse(request, found)
                return
            await self._run(request, found, started)
        except CallerGone:
            self._metrics.count("callers.gone")
        finally:
            self.in_flight -= 1

    async def _prepare_chat(self, request: CallerRequest, account: Account) -> Work | NotRun:
        body = await _read_whole(request.body(), self._limits.chat_body_bytes)
        if body is None:
            limit = self._limits.chat_body_bytes
            return NotRun("body-too-large", f"expected at most {limit} bytes", 0.0, TOO_LARGE)
        try:
            chat = read_chat(account.name, body)
        except MalformedChat as error:
            return NotRun("malformed", str(error), 0.0, BAD_REQUEST)
        service = self._state.fleet.service_of_model(chat.model)
        admitted = admit(self._state, account, service)
        if isinstance(admitted, NotRun):
            return admitted
        head = _head(request, account, admitted, CHAT_PATH)
        head = replace(head, chat=chat.chat, repeatable=True)
        context_wait = admitted.context_wait if chat.returning else 0.0
        patience = Patience(context_wait, admitted.queue_wait)
        return Work(account, admitted, head, ReplayableBody(body), patience)

    async def _prepare_plain(self, request: CallerRequest, account: Account) -> Work | NotRun:
        path = request.uri.decode("ascii", "replace")
        service = service_of_path(self._state, path)
        admitted = admit(self._state, account, service)
        if isinstance(admitted, NotRun):
            return admitted
        spec = self._state.fleet.service_by_name[admitted.service]
        head = _head(request, account, admitted, path)
        head = replace(head, repeatable=head.method in spec.repeatable_methods)
        body = request.body()
        replayable = ReplayableBody(b"") if body.length == 0 else body
        return Work(account, admitted, head, replayable, Patience(0.0, admitted.queue_wait))

    async def _run(self, request: CallerRequest, work: Work, started: float) -> None:
        deadline = started + work.admitted.deadline
        walk = Walk(
            self._state,
            self._state.retries,
            work.head,
            work.body,
            lambda: deadline - time.monotonic(),
            work.patience,
        )
        outcome, engine = "caller-gone", None
        try:
            reply = await walk.run()
            if isinstance(reply, Placed):
                engine = reply.engine
                self._metrics.timing("requests.placed", time.monotonic() - started)
                outcome = await self._relay(request, work, reply.reply.answer)
            else:
                outcome = reply.refusal.code
                self._refuse(request, reply.refusal)
        finally:
            self._state.accounts.end(work.account.name)
            self._note(work, walk, engine, outcome, time.monotonic() - started)

    async def _relay(self, request: CallerRequest, work: Work, answer: AnswerStream) -> str:
        """Pass the answer on; return the code of what became of it."""
        request.setResponseCode(answer.status)
        _set_headers(request, answer.headers)
        request.setHeader(REQUEST_ID_HEADER, work.head.request_id.encode())
        writer = CallerWriter(request)
        try:
            while part := await answer.read():
                await writer.write(part)
            return "whole"
        except Lost as lost:
            log.warning("Answer broke off: {}.", lost.outcome.reason)
            self._end_broken(request, lost, _is_stream(answer.headers))
            return lost.outcome.code
        finally:
            answer.cancel()
            writer.close()

    def _end_broken(self, request: CallerRequest, lost: Lost, stream: bool) -> None:
        """End a broken answer so that no caller takes it for a whole one."""
        if stream:
            error = {"message": lost.outcome.reason, "type": "unknown", "code": lost.outcome.code}
            request.write(b"data: " + msgspec.json.encode({"error": error}) + b"\n\n")
            return
        if request.channel is not None:
            request.channel.forceAbortClient()

    def _refuse(self, request: Any, refusal: Refusal) -> None:
        self._metrics.count(f"refusals.{refusal.code}")
        outcome = "not-run" if isinstance(refusal, NotRun) else "unknown"
        request.setResponseCode(refusal.status)
        request.setHeader(b"Content-Type", b"application/json")
        request.setHeader(OUTCOME_HEADER, outcome.encode())
        if isinstance(refusal, NotRun) and refusal.status in (429, 503):
            seconds = max(1, math.ceil(refusal.retry_after))
            request.setHeader(b"Retry-After", str(seconds).encode())
        else:
            request.setHeader(b"X-Should-Retry", b"false")
        error = {"message": refusal.reason, "type": outcome, "code": refusal.code}
        request.write(msgspec.json.encode({"error": error}))

    def _note(
        self, work: Work, walk: Walk, engine: str | None, outcome: str, seconds: float
    ) -> None:
        self._metrics.count(f"requests.{outcome}")
        self._metrics.timing("requests.whole", seconds)
        self._state.decisions.append(
            DecisionNote(
                request_id=work.head.request_id,
                account=work.account.name,
                service=work.head.service,
                engine=engine,
                passed_over=tuple(walk.plan.passed_over),
                outcome=outcome,
                seconds=round(seconds, 4),
                at=time.time(),
            )
        )

    def _models(self, request: Any) -> bytes:
        account = identify(self._state, _header(request, "Authorization"))
        if isinstance(account, NotRun):
            self._refuse(request, account)
            return b""
        request.setHeader(b"Content-Type", b"application/json")
        services = self._state.fleet.policy_by_account[account.name].services
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": service}
            for service in services
            for model in self._state.fleet.service_by_name[service].models
        ]
        return msgspec.json.encode({"object": "list", "data": models})


async def _read_whole(body: CallerBody, limit: int) -> bytes | None:
    """Return a body, or None where it is larger than the limit."""
    if body.length is not None and body.length > limit:
        return None
    parts: list[bytes] = []
    size = 0
    while part := await body.read():
        parts.append(part)
        size += len(part)
        if size > limit:
            return None
    return b"".join(parts)


def _head(request: CallerRequest, account: Account, admitted: Admitted, path: str) -> RequestHead:
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in request.requestHeaders.getAllRawHeaders()
        for value in values
        if name.decode("latin-1").lower() not in PRIVATE_HEADERS
    )
    return RequestHead(
        request_id=uuid.uuid4().hex,
        account=account.name,
        service=admitted.service,
        engine="",
        chat=0,
        method=request.method.decode("ascii", "replace"),
        path=path,
        headers=headers,
        repeatable=False,
        deadline=admitted.deadline,
        priority=admitted.priority,
        weight=admitted.weight,
    )


def _set_headers(request: CallerRequest, headers: Headers) -> None:
    request.defaultContentType = None
    passed_on = [(name, value) for name, value in headers if name.lower() != "x-request-id"]
    for name, _ in passed_on:
        request.responseHeaders.removeHeader(name)
    for name, value in passed_on:
        request.responseHeaders.addRawHeader(name, value)


def _is_stream(headers: Headers) -> bool:
    wanted = ("content-type", "text/event-stream")
    return any(name.lower() == wanted[0] and value.startswith(wanted[1]) for name, value in headers)


def _header(request: Any, name: str) -> str | None:
    value: str | None = request.getHeader(name)
    return value
