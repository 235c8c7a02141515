"""What callers speak to: the OpenAI-compatible API and the plain services."""

from __future__ import annotations

import asyncio
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
from pondhatch.observing import log_for
from pondhatch.requests import (
    CallerGone,
    Headers,
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
    CallerParts,
    CallerRequest,
    RequestRunner,
    as_text,
    dropped_header_counter,
    read_whole,
    refuse_after_failure,
)

log = log_for("callers")

CHAT_PATH = "/v1/chat/completions"
#: Names a request that must run at most once, however often it is sent.
KEY_HEADER = "Idempotency-Key"
BAD_REQUEST = 400
TOO_LARGE = 413


Prepare = Callable[[CallerRequest, Account, HeldCounter], Awaitable[AdmittedRequest | NotRun]]


class OpenAiCallers:
    """Handles callers' requests."""

    def __init__(self, parts: CallerParts) -> None:
        self._state = parts.state
        self._starting = parts.startup_wait
        self._limits = parts.limits
        self._metrics = parts.metrics
        self._note_dropped = dropped_header_counter(parts.metrics)
        self._answers = OpenAiAnswers(parts.metrics)
        self._serving = RequestRunner(parts, self._answers)
        #: Requests whose callers are there.
        self._attended = 0
        #: Kept for a stopping router; it refuses requests by its state at once.
        self.accepts_requests = True
        self.app = Klein()
        self._route()

    @property
    def in_flight(self) -> int:
        """Requests that have not ended; a stopping router waits for them."""
        return self._attended + len(self._serving.detached_tasks)

    def resource(self) -> Resource:
        """Return what a site serves."""
        found: Resource = self.app.resource()
        return found

    def _route(self) -> None:
        @self.app.route(CHAT_PATH, methods=["POST"])
        def chat(request: IRequest) -> Deferred[None]:
            return as_deferred(self._serve(request, self._prepare_chat))

        @self.app.route("/v1/models", methods=["GET"])
        def models(request: IRequest) -> bytes:
            return self._models(request)

        @self.app.route("/healthz", methods=["GET"])
        def health(request: Any) -> bytes:
            request.setResponseCode(503 if self._state.is_draining() else 200)
            return b"stopping\n" if self._state.is_draining() else b"ok\n"

        @self.app.route("/", branch=True)
        def plain(request: IRequest) -> Deferred[None]:
            return as_deferred(self._serve(request, self._prepare_plain))

    async def _serve(self, request: Any, prepare: Prepare) -> None:
        started = time.monotonic()
        self._attended += 1
        try:
            found = await self._admitted(request, prepare)
            if isinstance(found, NotRun):
                self._answers.refuse(request, found)
                return
            await self._serving.run(request, found, started)
        except CallerGone:
            self._metrics.count("callers.gone")
            request.abort()
        except asyncio.CancelledError:
            # Whatever answer is open is finished by klein once this returns. Where the caller
            # is still there, as when this router ends, what was sent must not look whole.
            self._metrics.count("callers.gone")
            request.abort()
            raise
        except Exception:
            log.exception("A request ended in an error of this router.")
            self._metrics.count("requests.router-failed")
            refuse_after_failure(request, self._answers)
        finally:
            self._attended -= 1

    async def _admitted(self, request: Any, prepare: Prepare) -> AdmittedRequest | NotRun:
        await self._starting.wait()
        unready = not_ready_refusal(self._state)
        if unready is not None:
            return unready
        account = identify(self._state, _header(request, "Authorization"))
        if isinstance(account, NotRun):
            return account
        hold = self._state.held_bytes.counter(account.name)
        work: AdmittedRequest | NotRun | None = None
        try:
            work = await prepare(request, account, hold)
        finally:
            if not isinstance(work, AdmittedRequest):
                hold.close()
        return work

    def _limited(self, limited: Limited) -> NotRun:
        self._metrics.count("held.refused")
        return memory_limited_refusal(limited)

    async def _prepare_chat(
        self, request: CallerRequest, account: Account, hold: HeldCounter
    ) -> AdmittedRequest | NotRun:
        limit = self._limits().chat_body_bytes
        body = await read_whole(request.body(), limit, hold)
        if isinstance(body, Limited):
            return self._limited(body)
        if body is None:
            return NotRun("body-too-large", f"expected at most {limit} bytes", 0.0, TOO_LARGE)
        try:
            chat = read_chat(account.name, body)
        except MalformedChat as error:
            return NotRun("malformed", str(error), 0.0, BAD_REQUEST)
        service = self._state.fleet.service_of_model(chat.model)
        admitted = admit(self._state, account, service)
        if isinstance(admitted, NotRun):
            return admitted
        head = self._head(request, account, admitted, CHAT_PATH)
        digest = digest_of(account.name, head.method, head.path, body)
        head = msgspec.structs.replace(
            head, chat=chat.chat, repeatable=True, is_followup=chat.is_followup, digest=digest
        )
        context_wait = admitted.context_wait if chat.is_followup else 0.0
        patience = WaitLimits(context_wait, admitted.queue_wait)
        return AdmittedRequest(
            account, admitted, head, ReplayableBody(body), patience, body_counter=hold
        )

    async def _prepare_plain(
        self, request: CallerRequest, account: Account, hold: HeldCounter
    ) -> AdmittedRequest | NotRun:
        limited = hold.try_set(0)
        if limited is not None:
            return self._limited(limited)
        path = request.uri.decode("ascii", "replace")
        service = service_of_path(self._state, path)
        admitted = admit(self._state, account, service)
        if isinstance(admitted, NotRun):
            return admitted
        spec = self._state.fleet.service_by_name[admitted.service]
        head = self._head(request, account, admitted, path)
        head = msgspec.structs.replace(head, repeatable=head.method in spec.repeatable_methods)
        body = request.body()
        replayable = ReplayableBody(b"") if body.length == 0 else body
        patience = WaitLimits(0.0, admitted.queue_wait)
        # Its body is passed on as it comes: what waits of it, waits in the request's pipe.
        request.pipe.use_counter(hold)
        return AdmittedRequest(
            account, admitted, head, replayable, patience, _key(request, head), hold
        )

    def _head(
        self, request: CallerRequest, account: Account, admitted: Admitted, path: str
    ) -> RequestHead:
        # On the way in, so that nothing behind this can pass on what the caller may not say.
        passed_on = OWNERS.from_caller(_headers(request), self._note_dropped)
        return RequestHead(
            request_id=uuid.uuid4().hex,
            account=account.name,
            service=admitted.service,
            chat=0,
            method=request.method.decode("ascii", "replace"),
            path=path,
            headers=passed_on,
            repeatable=False,
            deadline=admitted.deadline,
            priority=admitted.priority,
            weight=admitted.weight,
            regions=admitted.regions,
        )

    def _models(self, request: Any) -> bytes:
        account = identify(self._state, _header(request, "Authorization"))
        if isinstance(account, NotRun):
            self._answers.refuse(request, account)
            return b""
        request.setHeader(b"Content-Type", b"application/json")
        services = self._state.fleet.policy_by_account[account.name].services
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": service}
            for service in services
            for model in self._state.fleet.service_by_name[service].models
        ]
        return msgspec.json.encode({"object": "list", "data": models})


def _headers(request: CallerRequest) -> Headers:
    return tuple(
        (as_text(name), as_text(value))
        for name, values in request.requestHeaders.getAllRawHeaders()
        for value in values
    )


def _header(request: Any, name: str) -> str | None:
    """Return a header's value, one character for each of its bytes."""
    value: bytes | None = request.getHeader(name.encode())
    return None if value is None else as_text(value)


def _key(request: CallerRequest, head: RequestHead) -> str | None:
    """Return the key of a request that must not run twice; two accounts' keys never meet."""
    key = _header(request, KEY_HEADER)
    if key is None or head.repeatable:
        return None
    return f"{head.account}:{key}"
