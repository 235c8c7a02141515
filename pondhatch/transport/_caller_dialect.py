"""The dialect of routed callers: the headers of their requests and of refusals."""

from __future__ import annotations

from typing import Protocol

import msgspec

from pondhatch.requests import Headers, Refusal
from pondhatch.transport._header_owners import NoteDropped


class CallerFacts(msgspec.Struct, frozen=True):
    """What a routed request's headers state about it."""

    #: The caller's id of this attempt; empty if none was given.
    caller_id: str
    #: The API key, or None if none was given.
    api_key: str | None
    #: Seconds that the caller waits for the answer, or None if not stated.
    max_wait: float | None
    #: 64-bit key of the context that the request shares with others, or 0.
    context_key: int
    #: Tokens of the prompt; 0 if not stated.
    prompt_tokens: int = 0
    #: Expected tokens of the answer; 0 if not stated.
    answer_tokens: int = 0
    #: Parts of the prompt that other requests share, each as an id and its number of tokens.
    prompt_parts: tuple[tuple[int, int], ...] = ()
    #: Id of the last event that the caller received of a stream which it resumes; empty if none.
    last_event_id: str = ""
    #: The id that the caller gave the attempt which brought that stream's first event; empty if it
    #: names none.
    resumed_attempt: str = ""


class CallerDialect(Protocol):
    """Header names and formats of routed requests; makes no decisions."""

    def read(self, headers: Headers) -> CallerFacts:
        """Return what a request's headers state about it."""

    def forwarded_headers(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return those of a caller's headers that may be forwarded to an upstream."""

    def is_router_only_call(self, path: str, prefix: str) -> bool:
        """Return whether an upstream could treat a path as a call reserved for routers.

        ``prefix`` is the path prefix of the matched route.
        """

    def refusal_headers(self, refusal: Refusal) -> Headers:
        """Return the headers that describe a refusal."""
