"""How callers of routes speak: what they say in headers, and how refusals are explained."""

from __future__ import annotations

from typing import Protocol

import msgspec

from pondhatch.requests import Headers, Refusal
from pondhatch.transport._header_owners import NoteDropped


class CallerFacts(msgspec.Struct, frozen=True):
    """What a caller says about a routed request in its headers."""

    #: Its id for this attempt; empty where it gave none.
    caller_id: str
    #: Its API key, or None where it shows none.
    key: str | None
    #: Seconds that it waits for the answer, or None where it does not say.
    max_wait: float | None
    #: 64-bit key of the context that the request shares with others; 0 for none.
    context_key: int
    #: Tokens of its prompt, and those that its answer is taken to have; 0 where not said.
    prompt_tokens: int = 0
    answer_tokens: int = 0
    #: Parts of its prompt that other requests share, each as an id and its tokens.
    prompt_parts: tuple[tuple[int, int], ...] = ()


class CallerDialect(Protocol):
    """Names and formats of routed requests; decides nothing."""

    def read(self, headers: Headers) -> CallerFacts:
        """Return what a caller says about its request."""

    def forwarded_headers(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return those of a caller's headers that it may say to an upstream."""

    def is_router_only_call(self, path: str, prefix: str) -> bool:
        """Return whether an upstream could take a path for a call that only routers make.

        ``prefix`` is the one of the route that the path takes.
        """

    def refusal_headers(self, refusal: Refusal) -> Headers:
        """Return the headers that explain a refusal."""
