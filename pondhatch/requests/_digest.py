"""Digests that identify the attempts at the same request, and the parts of prompts."""

from __future__ import annotations

import functools
import hashlib

from pondhatch.requests._messages import RequestHead

#: Length of a digest in bytes: with 4,096 remembered, one in 4e15 requests collides with another.
DIGEST_BYTES = 8
#: Parts whose digests are cached: twice the number of parts that may be suspected.
MAX_CACHED_PARTS = 8192


def digest_of(account: str, method: str, path: str, body: bytes) -> int:
    """Return the digest of a caller's request, never 0.

    It covers only what is equal in all attempts, so not ids, deadlines or the router asked. It is
    cryptographic, so that no account can forge a request with the digest of another's. It costs
    3 us for each KB of the body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (account.encode(), method.encode(), path.encode()):
        digest.update(len(field).to_bytes(4, "big") + field)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") or 1


@functools.lru_cache(maxsize=MAX_CACHED_PARTS)
def part_digest(account: str, service: str, part: int) -> int:
    """Return the digest of a part of an account's prompts for a service, never 0.

    Callers name the parts of their prompts. As the account is covered, no account can bring a part
    of another under quarantine by naming it in requests that crash engines.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, person=b"prompt part")
    for field in (account.encode(), service.encode()):
        digest.update(len(field).to_bytes(4, "big") + field)
    digest.update(f"{part:x}".encode())
    return int.from_bytes(digest.digest(), "big") or 1


def part_digests(head: RequestHead) -> tuple[int, ...]:
    """Return the digests of the parts of a request's prompt that other requests share."""
    return tuple(part_digest(head.account, head.service, part) for part, _ in head.prompt_parts)
