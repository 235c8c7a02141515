"""The engine memory that requests need, as stated in grant requests."""

from __future__ import annotations

from heapq import nlargest

from pondhatch.placement import UNSHARED_PART, TokenNeed
from pondhatch.requests._grant_requests import GrantRequest
from pondhatch.requests._messages import RequestHead

#: Maximum number of shared prompt parts in a grant request: each takes up to 10 bytes of a packet.
MAX_PARTS = 4
#: Bits of a part's key: two of some hundred parts at one engine hardly ever collide.
KEY_BITS = 32


def stated_need(head: RequestHead) -> TokenNeed:
    """Return the memory that a request needs according to its caller.

    The largest shared parts are listed; the rest of the prompt counts as the request's own.
    """
    shared = nlargest(MAX_PARTS, head.prompt_parts, key=lambda part: part[1])
    parts = [(_key(part_id), tokens) for part_id, tokens in shared if tokens > 0]
    own = head.prompt_tokens - sum(tokens for _, tokens in parts)
    if own > 0:
        parts.append((UNSHARED_PART, own))
    return TokenNeed(head.answer_tokens, tuple(parts))


def requested_need(grant_request: GrantRequest) -> TokenNeed:
    """Return the memory need stated in a grant request."""
    return TokenNeed(grant_request.tokens, grant_request.parts)


def _key(part_id: int) -> int:
    """Return a short key of a part that differs from the key of unshared parts."""
    return part_id % 2**KEY_BITS or 1
