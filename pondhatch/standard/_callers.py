"""Handling of callers' requests to the OpenAI-compatible API and to plain services."""

from __future__ import annotations

import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.iweb import IRequest
from twisted.web.resource import Resource

from pondhatch.kernel import as_deferred
from pondhatch.limits import HeldCounter, Limited
from pondhatch.requests import (
    MalformedChat,
    NotRun,
    ReplayableBody,
    RequestHead,
    WaitLimits,
    digest_of,
    read_chat,
)
from pondhatch.router import (
    Account,
    Admitted,
    admit,
    identify,
    memory_limited_refusal,
    not_ready_refusal,
    service_of_path,
)
from pondhatch.standard._answers import OpenAiAnswers
from pondhatch.standard._header_owners import OWNERS
from pondhatch.transport import (
    AdmittedRequest,
    CallerDependencies,
    CallerRequest,
    RequestRunner,
    as_text,
    dropped_header_counter,
    read_whole,
    serve_guarded,
)

CHAT_PATH = "/v1/chat/completions"
#: Names a request that must run at most once, however often it is sent.
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
BAD_REQUEST = 400
TOO_LARGE = 413

#: Reads as much of a request as its admission needs; returns the admitted request or a refusal.
Prepare = Callable[[CallerRequest, Account, HeldCounter], Awaitable[AdmittedRequest | NotRun]]


class OpenAiCallers:
    """Handles callers' requests; see Callers."""

    def __init__(self, dependencies: CallerDependencies) -> None:
        self._state = dependencies.state
        self._startup_wait = dependencies.startup_wait
        self._limits = dependencies.limits
        self._metrics = dependencies.metrics
        self._note_dropped = dropped_header_counter(dependencies.metrics)
        self._answers = OpenAiAnswers(dependencies.metrics)
        self._request_runner = RequestRunner(dependencies, self._answers)
        #: Requests whose callers are still connected.
        self._connected_requests = 0
        #: Cleared by a stopping router. Not read here: admit() refuses requests
        #: as soon as the router drains.
        self.accepts_requests = True
        self.app = Klein()
        self._add_routes()

    @property
    def in_flight(self) -> int:
        """Requests that have not ended; a stopping router waits for them."""
        return self._connected_requests + len(self._request_runner.detached_tasks)

    def resource(self) -> Resource:
        """Return the resource that a site serves."""
        site_resource: Resource = self.app.resource()
        return site_resource

    def _add_routes(self) -> None:
        @self.app.route(CHAT_PATH, methods=["POST"])
        def chat(request: IRequest) -> Deferred[None]:
            return as_deferred(self._serve(request, self._prepare_chat))

        @self.app.route("/v1/models", methods=["GET"])
        def models(request: IRequest) -> bytes:
            return self._list_models(request)

        @self.app.route("/healthz", methods=["GET"])
        def health(request: Any) -> bytes:
            request.setResponseCode(503 if self._state.is_draining() else 200)
            return b"stopping\n" if self._state.is_draining() else b"ok\n"

        @self.app.route("/", branch=True)
        def plain(request: IRequest) -> Deferred[None]:
            return as_deferred(self._serve(request, self._prepare_plain))

    async def _serve(self, request: Any, prepare: Prepare) -> None:
        """Serve a request; klein finishes an answer that is still open once this returns."""
        self._connected_requests += 1
        try:
            serving = self._run(request, prepare)
            await serve_guarded(serving, request, self._answers, self._metrics)
        finally:
            self._connected_requests -= 1

    async def _run(self, request: Any, prepare: Prepare) -> None:
        started_at = time.monotonic()
        prepared = await self._prepare_request(request, prepare)
        if isinstance(prepared, NotRun):
            self._answers.refuse(request, prepared)
            return
        await self._request_runner.run(request, prepared, started_at)

    async def _prepare_request(self, request: Any, prepare: Prepare) -> AdmittedRequest | NotRun:
        await self._startup_wait.wait()
        refusal = not_ready_refusal(self._state)
        if refusal is not None:
            return refusal
        account = identify(self._state, _header(request, "Authorization"))
        if isinstance(account, NotRun):
            return account
        held_counter = self._state.held_bytes.counter(account.name)
        prepared: AdmittedRequest | NotRun | None = None
        try:
            prepared = await prepare(request, account, held_counter)
        finally:
            if not isinstance(prepared, AdmittedRequest):
                held_counter.close()
        return prepared

    def _memory_refusal(self, limited: Limited) -> NotRun:
        self._metrics.count("held.refused")
        return memory_limited_refusal(limited)

    async def _prepare_chat(
        self, request: CallerRequest, account: Account, held_counter: HeldCounter
    ) -> AdmittedRequest | NotRun:
        limit = self._limits().chat_body_bytes
        body = await read_whole(request.body(), limit, held_counter)
        if isinstance(body, Limited):
            return self._memory_refusal(body)
        if body is None:
            return NotRun("body-too-large", f"expected at most {limit} bytes", 0.0, TOO_LARGE)
        try:
            chat = read_chat(account.name, body)
        except MalformedChat as error:
            return NotRun("malformed", str(error), 0.0, BAD_REQUEST)
        service = self._state.configuration.service_of_model(chat.model)
        admitted = admit(self._state, account, service)
        if isinstance(admitted, NotRun):
            return admitted
        head = self._head(request, account, admitted, CHAT_PATH)
        digest = digest_of(account.name, head.method, head.path, body)
        head = msgspec.structs.replace(
            head, chat=chat.chat, repeatable=True, is_followup=chat.is_followup, digest=digest
        )
        context_wait = admitted.context_wait if chat.is_followup else 0.0
        wait_limits = WaitLimits(context_wait, admitted.queue_wait)
        return AdmittedRequest(
            account, admitted, head, ReplayableBody(body), wait_limits, body_counter=held_counter
        )

    async def _prepare_plain(
        self, request: CallerRequest, account: Account, held_counter: HeldCounter
    ) -> AdmittedRequest | NotRun:
        # Checks whether the account may start another request, whatever its body's size.
        limited = held_counter.try_set(0)
        if limited is not None:
            return self._memory_refusal(limited)
        path = request.uri.decode("ascii", "replace")
        service = service_of_path(self._state, path)
        admitted = admit(self._state, account, service)
        if isinstance(admitted, NotRun):
            return admitted
        spec = self._state.configuration.service_by_name[admitted.service]
        head = self._head(request, account, admitted, path)
        head = msgspec.structs.replace(head, repeatable=head.method in spec.repeatable_methods)
        body = request.body()
        replayable = ReplayableBody(b"") if body.length == 0 else body
        wait_limits = WaitLimits(0.0, admitted.queue_wait)
        # The body is forwarded as it arrives, so only what waits in the request's pipe is counted.
        request.pipe.use_counter(held_counter)
        return AdmittedRequest(
            account,
            admitted,
            head,
            replayable,
            wait_limits,
            _idempotency_key(request, head),
            held_counter,
        )

    def _head(
        self, request: CallerRequest, account: Account, admitted: Admitted, path: str
    ) -> RequestHead:
        # Filtered on arrival, so that no later code can forward headers the caller may not set.
        forwarded = OWNERS.from_caller(request.text_headers(), self._note_dropped)
        return RequestHead(
            request_id=uuid.uuid4().hex,
            account=account.name,
            service=admitted.service,
            chat=0,
            method=request.method.decode("ascii", "replace"),
            path=path,
            headers=forwarded,
            repeatable=False,
            deadline=admitted.deadline,
            priority=admitted.priority,
            weight=admitted.weight,
            regions=admitted.regions,
        )

    def _list_models(self, request: Any) -> bytes:
        account = identify(self._state, _header(request, "Authorization"))
        if isinstance(account, NotRun):
            self._answers.refuse(request, account)
            return b""
        request.setHeader(b"Content-Type", b"application/json")
        services = self._state.configuration.policy_by_account[account.name].services
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": service}
            for service in services
            for model in self._state.configuration.service_by_name[service].models
        ]
        return msgspec.json.encode({"object": "list", "data": models})


def _header(request: Any, name: str) -> str | None:
    """Return a header's value with one character per byte, None if it is missing."""
    value: bytes | None = request.getHeader(name.encode())
    return None if value is None else as_text(value)


def _idempotency_key(request: CallerRequest, head: RequestHead) -> str | None:
    """Return the idempotency key, prefixed by the account: keys of two accounts never collide.

    None if the request has no key or may be repeated anyway.
    """
    key = _header(request, IDEMPOTENCY_KEY_HEADER)
    if key is None or head.repeatable:
        return None
    return f"{head.account}:{key}"
