"""Callers of routes: requests matched by host and path prefix, and forwarded unchanged."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from msgspec.structs import replace
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from pondhatch.configuration import Route, RouteSpec, UnusableRoute
from pondhatch.limits import HeldCounter, Limited
from pondhatch.observing import RequestEnded
from pondhatch.requests import (
    CallerGone,
    Headers,
    NotRun,
    ReplayableBody,
    WaitLimits,
    answer_deadlines,
)
from pondhatch.router import (
    ANONYMOUS,
    MEMORY_LIMITED,
    NO_ROUTE,
    STOPPING,
    Account,
    admit_routed,
    identify_key,
    memory_limited_refusal,
    not_in_force_refusal,
    not_ready_refusal,
    unknown_entry_refusal,
)
from pondhatch.transport._admitted_request import AdmittedRequest
from pondhatch.transport._caller_channel import CallerRequest, drain, read_whole
from pondhatch.transport._caller_dialect import CallerDialect, CallerFacts
from pondhatch.transport._caller_limits import value_or
from pondhatch.transport._guarded_request import serve_guarded
from pondhatch.transport._header_owners import dropped_header_counter
from pondhatch.transport._interface import CallerDependencies
from pondhatch.transport._outcome_recorder import CALLER_GONE
from pondhatch.transport._request_runner import RequestRunner
from pondhatch.transport._routed_answers import RoutedAnswers
from pondhatch.transport._routed_heads import requested_host, routed_head

TOO_LARGE = 413
#: Bytes of a refused request's body that are read and discarded so that its connection can
#: be reused; a connection with more left is closed.
MAX_DRAINED_BYTES = 256 * 1024


class RoutedCallers(Resource):
    """Serves requests by the routes of the configuration in force."""

    isLeaf = True

    def __init__(self, dependencies: CallerDependencies, dialect: CallerDialect) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        #: Unfinished requests, which a stopping router waits for.
        self.in_flight = 0
        #: False once a stopping router refuses new requests.
        self.accepts_requests = True
        self._state = dependencies.state
        self._dialect = dialect
        self._limits = dependencies.limits
        self._metrics = dependencies.metrics
        self._note_dropped = dropped_header_counter(dependencies.metrics)
        self._records = dependencies.records
        self._rng = dependencies.rng
        self._tasks = dependencies.tasks
        self._startup_wait = dependencies.startup_wait
        self._answers = RoutedAnswers(dialect, dependencies.metrics, dependencies.state.is_draining)
        self._request_runner = RequestRunner(dependencies, self._answers)

    def resource(self) -> Resource:
        """Return the resource to be served by a site."""
        return self

    def render(self, request: Any) -> int:
        """Start serving a request; it is cancelled as soon as its caller disconnects."""
        task = self._tasks.start(self._serve(request))
        request.notifyFinish().addErrback(lambda _: _cancel(task))
        return NOT_DONE_YET

    async def _serve(self, request: CallerRequest) -> None:
        self.in_flight += 1
        try:
            if await serve_guarded(self._run(request), request, self._answers, self._metrics):
                _finish(request)
        finally:
            self.in_flight -= 1

    async def _run(self, request: CallerRequest) -> None:
        started_at = time.monotonic()
        prepared = await self._read_request(request, started_at)
        if isinstance(prepared, NotRun):
            self._answers.refuse(request, prepared)
            self._record_unserved(request, prepared.code, started_at)
            return
        await self._request_runner.run(request, prepared, started_at)

    async def _read_request(
        self, request: CallerRequest, started_at: float
    ) -> AdmittedRequest | NotRun:
        """Read a request and admit it; return its refusal once the body is read or discarded."""
        try:
            prepared = await self._prepare(request)
            if isinstance(prepared, NotRun):
                await self._drop_body(request, prepared)
        except (CallerGone, asyncio.CancelledError):
            # Without a record, a request that its caller gave up would look lost.
            self._record_unserved(request, CALLER_GONE.code, started_at)
            raise
        return prepared

    async def _drop_body(self, request: CallerRequest, refusal: NotRun) -> None:
        """Read and discard a refused request's body, if that lets its connection be reused.

        If the request was refused for lack of memory, a body larger than MAX_DRAINED_BYTES is not
        read at all.
        """
        body = request.body()
        is_large = body.length is not None and body.length > MAX_DRAINED_BYTES
        if refusal.code != MEMORY_LIMITED or not is_large:
            await drain(body, MAX_DRAINED_BYTES)

    def _record_unserved(self, request: CallerRequest, code: str, started_at: float) -> None:
        """Write the record of a request for which no engine was chosen."""
        facts = self._dialect.read(request.text_headers())
        self._records.write(
            RequestEnded(
                id=facts.caller_id,
                account="",
                service="",
                outcome=code,
                ms=round((time.monotonic() - started_at) * 1000),
                configuration=self._state.configuration.version,
            )
        )

    async def _prepare(self, request: CallerRequest) -> AdmittedRequest | NotRun:
        await self._startup_wait.wait()
        headers = request.text_headers()
        facts = self._dialect.read(headers)
        found = self._route_and_account(request, facts)
        if isinstance(found, NotRun):
            return found
        _, account = found
        counter = self._state.held_bytes.counter(account.name)
        prepared: AdmittedRequest | NotRun | None = None
        try:
            prepared = await self._read_and_admit(request, facts, headers, counter)
        finally:
            if not isinstance(prepared, AdmittedRequest):
                counter.close()
        return prepared

    async def _read_and_admit(
        self, request: CallerRequest, facts: CallerFacts, headers: Headers, counter: HeldCounter
    ) -> AdmittedRequest | NotRun:
        """Read a request's body and admit the request; ``counter`` counts the body's bytes."""
        max_bytes = self._max_body_bytes()
        body = await read_whole(request.body(), max_bytes, counter)
        if body is None:
            refusal = NotRun(
                "body-too-large", f"expected at most {max_bytes} bytes", 0.0, TOO_LARGE
            )
            return unknown_entry_refusal(self._state, "bounds", refusal)
        if isinstance(body, Limited):
            self._metrics.count("held.refused")
            return memory_limited_refusal(body)
        # The configuration may have changed while the body was read.
        found = self._route_and_account(request, facts)
        if isinstance(found, NotRun):
            return found
        route, account = found
        prepared = self._admit(request, route, account, facts, headers, ReplayableBody(body))
        return prepared if isinstance(prepared, NotRun) else replace(prepared, body_counter=counter)

    def _route_and_account(
        self, request: CallerRequest, facts: CallerFacts
    ) -> tuple[Route, Account] | NotRun:
        """Return a request's route and account in the configuration in force, or a refusal."""
        route = self._find_route(request)
        if isinstance(route, NotRun):
            return route
        account = ANONYMOUS if route.spec.public else identify_key(self._state, facts.api_key)
        return account if isinstance(account, NotRun) else (route, account)

    def _find_route(self, request: CallerRequest) -> Route | NotRun:
        refusal = not_ready_refusal(self._state)
        if refusal is not None:
            return refusal
        grace = self._state.grace
        is_too_late = grace is not None and not grace.is_accepting(self._state.clock())
        if is_too_late or not self.accepts_requests:
            return STOPPING
        host = requested_host(request)
        path = request.uri.decode("latin-1")
        route = self._state.configuration.routes.find(host, path)
        if isinstance(route, UnusableRoute):
            return not_in_force_refusal("route")
        if route is None:
            return unknown_entry_refusal(self._state, "route", NO_ROUTE)
        # A route that matches every path must not give callers the engine calls that only routers
        # may make, which move or free an engine's memory.
        is_reserved = self._dialect.is_router_only_call(path, route.spec.path_prefix)
        if is_reserved and self._targets_models(route):
            return NO_ROUTE
        return route

    def _targets_models(self, route: Route) -> bool:
        """Return whether a route has a model service; plain services define their own paths."""
        services = self._state.configuration.service_by_name
        return any(services[target.service].kind == "model" for target in route.spec.targets)

    def _admit(
        self,
        request: CallerRequest,
        route: Route,
        account: Account,
        facts: CallerFacts,
        headers: Headers,
        body: ReplayableBody,
    ) -> AdmittedRequest | NotRun:
        service = route.choose_service(self._rng.random())
        refusal = self._refuse_as_too_long(route.spec, service, facts.max_wait)
        if refusal is not None:
            return refusal
        admitted = admit_routed(self._state, account, route.spec, service, facts.max_wait)
        if isinstance(admitted, NotRun):
            return admitted
        # Filtered on arrival, so that no later step can forward a header callers may not set.
        forwarded = self._dialect.forwarded_headers(headers, self._note_dropped)
        head = routed_head(request, route.spec, account, admitted, facts, forwarded, body)
        context_wait = admitted.context_wait if head.is_followup else 0.0
        spec = route.spec
        deadlines = answer_deadlines(spec.objective, spec.streams, spec.longest_pause)
        wait_limits = WaitLimits(context_wait, admitted.queue_wait, deadlines)
        return AdmittedRequest(account, admitted, head, body, wait_limits)

    def _refuse_as_too_long(
        self, route: RouteSpec, service: str, max_wait: float | None
    ) -> NotRun | None:
        """Refuse a request that may not end before this router, which is stopping, does."""
        grace = self._state.grace
        if grace is None:
            return None
        deadline = route.timeout if max_wait is None else min(max_wait, route.timeout)
        is_repeatable = route.repeats != "never"
        now = self._state.clock()
        return grace.refusal(self._state.work_times, service, is_repeatable, deadline, now)

    def _max_body_bytes(self) -> int:
        default = self._limits().chat_body_bytes
        bounds = self._state.configuration.caller_bounds
        return default if bounds is None else value_or(bounds.body_bytes, default)


def _finish(request: CallerRequest) -> None:
    """Finish a complete answer or a refusal.

    Never call this as a cleanup: the last chunk of a chunked body tells the caller that the
    answer is complete.
    """
    if request.is_open():
        request.finish()


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
