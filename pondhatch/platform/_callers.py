"""Clients' requests and the answers that the router gives itself."""

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

#: Statuses that ask the client to come back later.
COME_BACK = (429, 503)
#: A count of tokens; longer ones are no count, and would cost time to read.
_COUNT = re.compile(r"\s*([0-9]{1,9})\s*", re.ASCII)
#: One part of a prompt: its id in hex, and its tokens.
_PART = re.compile(r"\s*([0-9a-fA-F]{1,64}):([0-9]{1,9})\s*", re.ASCII)


class ClientDialect:
    """See CallerDialect."""

    def read(self, headers: Headers) -> CallerFacts:
        """Return what a client says about its request."""
        value_by_name = {name.lower(): value for name, value in headers}
        wait = value_by_name.get(names.DEADLINE_MS.lower(), "")
        prompt, _, most = value_by_name.get(names.TOKENS.lower(), "").partition(",")
        hint = value_by_name.get(names.LENGTH_HINT.lower(), "")
        parts = value_by_name.get(names.PROMPT_PARTS.lower(), "")
        return CallerFacts(
            caller_id=value_by_name.get(names.ATTEMPT_ID.lower(), ""),
            key=bearer_key(value_by_name.get(names.AUTHORIZATION.lower(), "")),
            max_wait=float(wait) / 1000 if wait.isascii() and wait.isdigit() else None,
            context_key=_context(parts),
            prompt_tokens=_count(prompt) or sum(_part_tokens(parts)),
            answer_tokens=_answer_tokens(_count(hint), _count(most)),
            prompt_parts=_shared_parts(parts),
        )

    def forwarded_headers(self, headers: Headers, note: NoteDropped) -> Headers:
        """Return those of a client's headers that it may say to an engine."""
        return OWNERS.from_caller(headers, note)

    def is_router_only_call(self, path: str, prefix: str) -> bool:
        """Return whether an engine could take a path for a call that only routers make.

        A route whose own prefix names such a call is the operator's leave to make it.
        """
        parts = _parts(path)
        if not parts or names.ENGINE_CALLS.get(parts[0]) != len(parts):
            return False
        return _parts(prefix)[:1] != parts[:1]

    def refusal_headers(self, refusal: Refusal) -> Headers:
        """Return the headers of a refusal: when to come back, where that helps."""
        if not isinstance(refusal, NotRun) or refusal.status not in COME_BACK:
            return ()
        return ((names.RETRY_AFTER, f"{refusal.retry_after:.3f}"),)


def _parts(path: str) -> list[str]:
    """Return a path's parts as an engine may read them: dots resolved, escapes decoded."""
    plain = path.partition("?")[0]
    if "%" in plain or "/." in plain:
        plain = posixpath.normpath(unquote(plain))
    return [part for part in plain.split("/") if part]


def _context(parts: str) -> int:
    """Return a key of the last part that other requests share, or 0 where there is none."""
    ids = [part.partition(":")[0].strip() for part in parts.split(",") if part.strip()]
    if not ids:
        return 0
    shared = ids[-2] if len(ids) > 1 else ids[0]
    return xxhash.xxh64_intdigest(shared.encode()) or 1


def _count(text: str) -> int:
    """Return a count of tokens, or 0 where it cannot be read."""
    found = _COUNT.fullmatch(text)
    return int(found[1]) if found is not None else 0


def _answer_tokens(hint: int, most: int) -> int:
    """Return the tokens that an answer is taken to have: as guessed, but no more than may be.

    Without a guess it may grow to the most.
    """
    return min(hint, most) if hint and most else hint or most


def _part_tokens(parts: str) -> list[int]:
    """Return the tokens of each part of a prompt that can be read."""
    return [int(found[2]) for part in parts.split(",") if (found := _PART.fullmatch(part))]


def _shared_parts(parts: str) -> tuple[tuple[int, int], ...]:
    """Return a prompt's parts but the last, which is the request's own."""
    found = [_PART.fullmatch(part) for part in parts.split(",")[:-1]]
    return tuple((int(each[1], 16), int(each[2])) for each in found if each is not None)
