"""The headers of callers' requests, and of answers that the router itself gives."""

from __future__ import annotations

import posixpath
import re
from urllib.parse import unquote

import xxhash

from pondhatch.platform import _names as names
from pondhatch.platform._header_owners import OWNERS
from pondhatch.requests import Headers, NotRun, Refusal
from pondhatch.router import bearer_key
from pondhatch.transport import CallerFacts, NoteDropped

#: Statuses that ask the caller to retry later.
RETRYABLE_STATUSES = (429, 503)
#: A count of tokens; a longer number is invalid, and would take time to convert.
_COUNT = re.compile(r"\s*([0-9]{1,9})\s*", re.ASCII)
#: One part of a prompt: its id in hex, and its number of tokens.
_PART = re.compile(r"\s*([0-9a-fA-F]{1,64}):([0-9]{1,9})\s*", re.ASCII)


class PlatformCallerDialect:
    """See CallerDialect."""

    def read(self, headers: Headers) -> CallerFacts:
        """Return what a caller's headers state about its request."""
        value_by_name = {name.lower(): value for name, value in headers}
        deadline_ms = value_by_name.get(names.DEADLINE_MS.lower(), "")
        prompt, _, max_answer = value_by_name.get(names.TOKENS.lower(), "").partition(",")
        hint = value_by_name.get(names.LENGTH_HINT.lower(), "")
        parts = value_by_name.get(names.PROMPT_PARTS.lower(), "")
        return CallerFacts(
            caller_id=value_by_name.get(names.ATTEMPT_ID.lower(), ""),
            api_key=bearer_key(value_by_name.get(names.AUTHORIZATION.lower(), "")),
            max_wait=float(deadline_ms) / 1000
            if deadline_ms.isascii() and deadline_ms.isdigit()
            else None,
            context_key=_context_key(parts),
            prompt_tokens=_count(prompt) or sum(_part_tokens(parts)),
            answer_tokens=_answer_tokens(_count(hint), _count(max_answer)),
            prompt_parts=_shared_parts(parts),
            last_event_id=value_by_name.get(names.LAST_EVENT_ID.lower(), "").strip(),
            resumed_attempt=value_by_name.get(names.RESUMED_ATTEMPT.lower(), "").strip(),
        )

    def forwarded_headers(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return those of a caller's headers that it may send to an engine."""
        return OWNERS.from_caller(headers, note)

    def is_router_only_call(self, path: str, prefix: str) -> bool:
        """Return whether an engine could interpret a path as a call that only routers may make.

        A route whose own prefix names such a call permits it, as the operator wrote the route.
        """
        segments = _path_segments(path)
        if not segments or names.ROUTER_ONLY_CALLS.get(segments[0]) != len(segments):
            return False
        return _path_segments(prefix)[:1] != segments[:1]

    def refusal_headers(self, refusal: Refusal) -> Headers:
        """Return the headers of a refusal: when to retry, if a retry may help."""
        if not isinstance(refusal, NotRun) or refusal.status not in RETRYABLE_STATUSES:
            return ()
        return ((names.RETRY_AFTER, f"{refusal.retry_after:.3f}"),)


def _path_segments(path: str) -> list[str]:
    """Return a path's segments as an engine may read them: dots resolved, escapes decoded."""
    path_only = path.partition("?")[0]
    if "%" in path_only or "/." in path_only:
        path_only = posixpath.normpath(unquote(path_only))
    return [part for part in path_only.split("/") if part]


def _context_key(parts: str) -> int:
    """Return a hash of the last part that other requests share, or 0 if there is none."""
    ids = [part.partition(":")[0].strip() for part in parts.split(",") if part.strip()]
    if not ids:
        return 0
    shared = ids[-2] if len(ids) > 1 else ids[0]
    return xxhash.xxh64_intdigest(shared.encode()) or 1


def _count(text: str) -> int:
    """Return a count of tokens, or 0 if it cannot be read."""
    match = _COUNT.fullmatch(text)
    return int(match[1]) if match is not None else 0


def _answer_tokens(hint: int, limit: int) -> int:
    """Return the expected tokens of an answer: the caller's estimate, capped at the limit.

    Without an estimate, the answer may grow to the limit.
    """
    return min(hint, limit) if hint and limit else hint or limit


def _part_tokens(parts: str) -> list[int]:
    """Return the number of tokens of each part of a prompt that can be read."""
    return [int(match[2]) for part in parts.split(",") if (match := _PART.fullmatch(part))]


def _shared_parts(parts: str) -> tuple[tuple[int, int], ...]:
    """Return a prompt's parts except the last, which no other request shares."""
    matches = [_PART.fullmatch(part) for part in parts.split(",")[:-1]]
    return tuple((int(match[1], 16), int(match[2])) for match in matches if match is not None)
