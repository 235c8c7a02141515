"""Heads of routed requests, made of what a caller sent and of the route that it takes."""

from __future__ import annotations

import uuid

from pondhatch.configuration import RouteSpec
from pondhatch.requests import Headers, ReplayableBody, RequestHead, digest_of
from pondhatch.router import Account, Admitted
from pondhatch.transport._caller_channel import CallerRequest
from pondhatch.transport._caller_dialect import CallerFacts


def requested_host(request: CallerRequest) -> str:
    """Return the requested host; bytes that are not UTF-8 match no route's host."""
    raw: bytes = request.getHeader(b"host") or b""
    return raw.decode(errors="replace")


def routed_head(
    request: CallerRequest,
    route: RouteSpec,
    account: Account,
    admitted: Admitted,
    facts: CallerFacts,
    headers: Headers,
    body: ReplayableBody,
) -> RequestHead:
    """Return the head of an admitted request, with headers that callers may set."""
    context = facts.context_key if route.keeps_context else 0
    method, path = request.method.decode("latin-1"), request.uri.decode("latin-1")
    return RequestHead(
        request_id=uuid.uuid4().hex,
        account=account.name,
        service=admitted.service,
        chat=context,
        method=method,
        path=path,
        headers=headers,
        repeatable=route.repeats != "never",
        deadline=admitted.deadline,
        priority=admitted.priority,
        weight=admitted.weight,
        is_followup=context != 0,
        caller_id=facts.caller_id,
        most_tries=route.most_tries,
        resumes_anywhere=route.repeats == "resumed",
        regions=admitted.regions,
        digest=digest_of(account.name, method, path, body.content),
        prompt_tokens=facts.prompt_tokens,
        answer_tokens=facts.answer_tokens,
        prompt_parts=facts.prompt_parts,
        last_event_id=facts.last_event_id,
        resumed_attempt=facts.resumed_attempt,
    )
