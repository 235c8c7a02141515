"""Digests that identify the attempts at the same request."""

from __future__ import annotations

import hashlib

#: Length of a digest in bytes: with 4,096 remembered, one in 4e15 requests collides with another.
DIGEST_BYTES = 8


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
