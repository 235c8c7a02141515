"""What requests take of an engine's memory, as questions to its owner state it."""

from __future__ import annotations

from heapq import nlargest

from pondhatch.placement import OWN_PART, TokenNeed
from pondhatch.requests._grant_requests import GrantRequest
from pondhatch.requests._messages import RequestHead

#: Shared parts of a prompt that a question states: each takes up to 10 bytes of a packet.
MAX_PARTS = 4
#: Bits of a part's key: two of some hundred parts at one engine hardly ever share one.
KEY_BITS = 32


def stated_need(head: RequestHead) -> TokenNeed:
    """Return what a request takes, by what its caller stated.

    The largest shared parts are told apart; the rest of the prompt counts as the request's own.
    """
    shared = nlargest(MAX_PARTS, head.prompt_parts, key=lambda part: part[1])
    parts = [(_key(part_id), tokens) for part_id, tokens in shared if tokens > 0]
    own = head.prompt_tokens - sum(tokens for _, tokens in parts)
    if own > 0:
        parts.append((OWN_PART, own))
    return TokenNeed(head.answer_tokens, tuple(parts))


def asked_need(grant_request: GrantRequest) -> TokenNeed:
    """Return what the request of a question takes."""
    return TokenNeed(grant_request.tokens, grant_request.parts)


def _key(part_id: int) -> int:
    """Return a key that fits into few bytes, and is not that of a request's own part."""
    return part_id % 2**KEY_BITS or 1
