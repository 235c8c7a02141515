"""What tells that two attempts are at the same request."""

from __future__ import annotations

import hashlib

#: Bytes of a digest: among 4,096 remembered ones, one in 4e15 requests is taken for another.
DIGEST_BYTES = 8


def digest_of(account: str, method: str, path: str, body: bytes) -> int:
    """Return the digest of what a caller asks for, never 0.

    Ids, deadlines and the router asked differ from one attempt to the next; these do not. A
    cryptographic digest, so that no account can make a request that passes for another's. Costs
    3 us for each KB of the body on a busy machine (``python -m bench quarantine``).
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (account.encode(), method.encode(), path.encode()):
        digest.update(len(field).to_bytes(4, "big") + field)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") or 1
